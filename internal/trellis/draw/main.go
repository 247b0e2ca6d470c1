// Command draw writes the page and the picture of how the programs are made, in the repository that it is run in.
package main

import (
	"fmt"
	"os"

	"pepperfall.example/pepperfall/internal/trellis"
)

func main() {
	t, err := trellis.Read(".", trellis.Operators)
	if err == nil {
		err = os.WriteFile(trellis.PicturePath, []byte(t.Picture()), 0o644)
	}
	if err == nil {
		err = os.WriteFile(trellis.PagePath, []byte(t.Page(trellis.PictureName)), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "draw:", err)
		os.Exit(1)
	}
}

// Command draw writes the page and the picture of how the programs are made, in the repository that it is run in.
package main

import (
	"fmt"
	"os"

	"pepperfall.example/pepperfall/internal/testbed/archdiagram"
)

func main() {
	t, err := archdiagram.Read(".", archdiagram.Operators)
	if err == nil {
		err = os.WriteFile(archdiagram.PicturePath, []byte(t.Picture()), 0o644)
	}
	if err == nil {
		err = os.WriteFile(archdiagram.PagePath, []byte(t.Page(archdiagram.PictureName)), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "draw:", err)
		os.Exit(1)
	}
}

package calendar_test

import (
	"fmt"
	"time"

	"pepperfall.example/pepperfall/internal/calendar"
)

// A page is read, a run of it begun, and asked what is to be done by what is seen.
func Example() {
	text := `name = "calm"
title = "Wait for calm"
about = "Waits until control is well."
[limits]
within_s = 60
late = "stop"
orders = 0
harm = "stop"
[[steps]]
name = "well"
kind = "wait"
until = ["settled == true"]
within_s = 30
else = "stop"
`
	book, err := calendar.Read("calm.toml", []byte(text))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(book.Title)
	run, now := &calendar.Run{}, time.Unix(0, 0)
	entries := []calendar.Entry{{Note: calendar.Began, Book: text}, {Note: calendar.Checked}, {Note: calendar.Waits, Step: "well"}}
	for i := range entries {
		entries[i].No, entries[i].At = uint64(i), now
		if err := run.Apply(&entries[i]); err != nil {
			fmt.Println(err)
			return
		}
	}
	for _, settled := range []bool{false, true} {
		fmt.Printf("settled %v: %T\n", settled, run.Decide(calendar.Facts{"settled": settled}, now.Add(time.Second)))
	}
	// Output:
	// Wait for calm
	// settled false: calendar.Pause
	// settled true: calendar.Write
}

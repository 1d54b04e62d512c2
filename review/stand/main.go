//go:build review

package main

import (
	"fmt"
	"os"
)

// cases are the scripts by name. Each reports whether the rule held.
var cases = map[string]func(r *record, trouble bool) bool{
	"upload": playUpload,
	"owner":  playOwner,
}

// main plays a case: stand CASE RECORD. Exit code 0: the rule held; 1: it was broken; 2:
// the case could not run. TROUBLE=0 leaves the disruption out.
func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return 2
	}
	defer func() {
		if reason := recover(); reason != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", reason)
			code = 2
		}
	}()
	r := newRecord(os.Args[2])
	defer r.file.Close()
	if cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0") {
		fmt.Println("the rule held")
		return 0
	}
	fmt.Println("the rule was broken; see", os.Args[2])
	return 1
}

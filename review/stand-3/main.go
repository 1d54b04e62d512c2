//go:build review

// Command stand-3 plays the cases 11 to 15 of the review. It starts the daemons as processes of
// their own; the store, the servers and the clients are stand-ins within this process.
//
// The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// verdicts of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// play plays one case; trouble is unset for a run without the disruption.
type play func(s *site, trouble bool) (verdict int, err error)

var plays = map[string]play{
	"beat":   playBeat,
	"behind": playBehind,
	"inside": playInside,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(p play, folder string, trouble bool) int {
	s, err := newSite(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer s.close()
	s.note("trouble %t", trouble)
	verdict, err := p(s, trouble)
	if err != nil {
		s.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	s.note("verdict %d (0 held, 1 broken)", verdict)
	return verdict
}

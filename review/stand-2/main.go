//go:build review

// Command stand-2 plays the cases of the second review against the project's daemons. Each
// case writes what it has seen to a record and exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. The environment variable TROUBLE=0 leaves out the
// disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var (
	caseName   = flag.String("case", "", "the case to play")
	recordPath = flag.String("record", "record.txt", "the file for what was seen")
	logDir     = flag.String("logs", "", "the folder for the daemons' logs; they are deleted if it is empty")
)

var (
	began = time.Now()
	out   struct {
		mu   sync.Mutex
		file *os.File
	}
	cleanups []func()
	// ending lets only the first of several ends go on.
	ending sync.Mutex
)

// trouble tells whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// record writes a line with the time since the start.
func record(format string, args ...any) {
	out.mu.Lock()
	defer out.mu.Unlock()
	_, _ = fmt.Fprintf(out.file, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// atExit adds a function that runs before the process ends.
func atExit(f func()) { cleanups = append(cleanups, f) }

// end ends the processes that the case has started, and this one.
func end(code int) {
	ending.Lock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	record("exit %d", code)
	os.Exit(code)
}

// cannotRun ends a case that could not run.
func cannotRun(format string, args ...any) {
	record("cannot run: "+format, args...)
	end(exitFailed)
}

// verdict ends a case.
func verdict(broken bool, format string, args ...any) {
	word := "the rule held"
	if broken {
		word = "the rule was broken"
	}
	record(word+": "+format, args...)
	fmt.Printf(word+": "+format+"\n", args...)
	if broken {
		end(exitBroken)
	}
	end(exitHeld)
}

func main() {
	flag.Parse()
	var err error
	if out.file, err = os.Create(*recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	play, ok := cases[*caseName]
	if !ok {
		cannotRun("no case %q", *caseName)
	}
	record("case %s, trouble %v", *caseName, trouble())
	time.AfterFunc(115*time.Second, func() { cannotRun("not done within 115 s") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() { <-stop; cannotRun("stopped by a signal") }()
	play()
}

// cases are the cases by name.
var cases = map[string]func(){
	"silent-sessions":   silentSessions,
	"clock-back":        clockBack,
	"isolated-leader":   isolatedLeader,
	"double-slash":      doubleSlash,
	"pipelined-percent": pipelinedPercent,
}

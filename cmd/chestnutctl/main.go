// Command chestnutctl is the operators' tool. It checks configurations, validates and submits manifests,
// drains and restores targets, VMs and failure domains, explains how keys are
// routed, shows the status of the deployment, and generates load.
//
// Exit codes are stable, for use in scripts; see docs/OPERATORS.md.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// registrations add the commands to the application.
var registrations = []func(*kingpin.Application, *session){
	registerConfig, registerManifest, registerTargets, registerSlices, registerRoute, registerDrain, registerStatus, registerLoad,
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// parserExit is the panic value by which the command line parser ends run with an
// exit code, e.g. after --help.
type parserExit int

// run executes a command line and returns the exit code. It does not exit the
// process, so that tests can call it.
func run(args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if exit, ok := recover().(parserExit); ok {
			code = int(exit)
		}
	}()
	app := kingpin.New("chestnutctl", "Operates a chestnutcourse deployment. Exit codes: 0 done, 1 failed, 2 invalid, "+
		"3 conflict, 4 refused, 5 unavailable, 6 unknown outcome, 7 not found, 8 not in force everywhere.")
	app.UsageWriter(stdout).ErrorWriter(stderr).Terminate(func(code int) { panic(parserExit(code)) })
	app.HelpFlag.Short('h')
	s := &session{stdout: stdout, stderr: stderr}
	s.addFlags(app)
	for _, register := range registrations {
		register(app, s)
	}
	if _, err := app.Parse(args); err != nil {
		return s.fail(err)
	}
	return exitDone
}

// usageError prints an invalid command line's error and returns the exit code.
func usageError(stderr io.Writer, err error) int {
	fmt.Fprintf(stderr, "chestnutctl: %v; see chestnutctl --help\n", err)
	return exitInvalid
}

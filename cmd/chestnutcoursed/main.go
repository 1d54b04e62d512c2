// Command chestnutcoursed is the daemon that runs on every entry VM, in all roles:
// entry, dispatcher and controller.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/internal/process/daemon"
	"github.com/chestnutcourse/chestnutcourse/internal/process/settings"
	"github.com/chestnutcourse/chestnutcourse/internal/process/signals"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/platform"
)

// Exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

func main() {
	app := kingpin.New("chestnutcoursed", "Routes requests to the servers that own their keys. Runs on every entry VM.")
	run := app.Command("run", "Run the daemon until SIGTERM or SIGINT, then stop gracefully.")
	runFile := run.Flag("settings", "JSON file with the settings of this daemon (docs/SETTINGS.md).").Required().String()
	serve := app.Command("serve", "Run the daemon with a settings file of the platform until SIGTERM or SIGINT, then stop gracefully.")
	serveFile := serve.Flag("settings", "Settings file of the platform.").Envar("CHESTNUTCOURSE_CONFIG").Required().String()
	serveAdvertise := serve.Flag("advertise", "host:port that other VMs connect to; the listen address by default.").String()
	check := app.Command("check", "Check a settings file without starting the daemon.")
	checkFile := check.Flag("settings", "Settings file to check.").Required().String()
	checkPlatform := check.Flag("platform", "The file is a settings file of the platform, as for serve, instead of JSON.").Bool()
	dev := app.Command("dev", "Run a sample deployment with sample targets in one process, to try things out.")
	devPort := dev.Flag("port", "Port for callers of the first VM; the next ones are for operators, peers and the other VMs.").Default("8080").Int()

	ctx, stop := context.WithCancel(context.Background())
	go func() {
		<-signals.Stop
		stop()
	}()
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if command != serve.FullCommand() {
		signals.ResetHangUp()
	}
	switch command {
	case run.FullCommand():
		os.Exit(runDaemon(ctx, *runFile))
	case serve.FullCommand():
		os.Exit(runOnPlatform(ctx, *serveFile, *serveAdvertise))
	case check.FullCommand():
		os.Exit(checkSettings(*checkFile, *checkPlatform))
	case dev.FullCommand():
		os.Exit(runDev(ctx, *devPort))
	}
}

// checkSettings checks a settings file and returns the exit code.
func checkSettings(path string, platformFile bool) int {
	load := func() error { _, err := settings.Load(path); return err }
	if platformFile {
		load = func() error { _, err := platform.LoadSettings(path); return err }
	}
	if err := load(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	fmt.Println("the settings are valid")
	return 0
}

// runDaemon runs the daemon until ctx is canceled and returns the exit code.
func runDaemon(ctx context.Context, path string) int {
	s, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	if limit := s.Limits.MemoryMegabytes; limit > 0 {
		debug.SetMemoryLimit(limit << 20)
	}
	d, err := daemon.New(s, store.NewHTTP(s.Store.URL, store.WithCallTimeout(s.StoreTimeout())), logger(s))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// logger returns a logger that writes JSON lines to standard error.
func logger(s *settings.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil || s.Log.Level == "" {
		level = zerolog.InfoLevel
	}
	return zerolog.New(daemon.NewLogWriter(os.Stderr)).Level(level).With().Timestamp().Str("vm", s.VM).Logger()
}

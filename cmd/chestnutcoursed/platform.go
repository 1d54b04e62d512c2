package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/internal/process/daemon"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/gateway"
	"github.com/chestnutcourse/chestnutcourse/internal/process/observer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/signals"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/request/quota"
	"github.com/chestnutcourse/chestnutcourse/platform"
)

const (
	// platformDeployment is the name of the deployment in sessions between VMs.
	// It can be constant: VMs discover each other in the platform's store, which
	// belongs to one deployment.
	platformDeployment = "platform"
	// memoryLimitShare is the share of the VM's memory that is the runtime's soft
	// limit; close to it the runtime collects garbage more often.
	memoryLimitShare = 0.7
	// gcPercent is the heap growth in percent that starts a garbage collection.
	// It is below Go's default of 100, because memory costs more than processor
	// time on the platform.
	gcPercent = 50
)

// configureRuntime configures the Go runtime for the cores and memory of the VM.
// With more threads than cores, an eighth of the processor time of a deployment at
// 570 requests/s is spent on threads that wake each other up.
func configureRuntime(s *platform.Settings) {
	runtime.GOMAXPROCS(max(int(math.Ceil(s.Processor)), 1))
	debug.SetGCPercent(gcPercent)
	if s.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMegabytes<<20)))
	}
}

// runOnPlatform runs the daemon with a settings file of the platform until ctx is
// canceled and returns the exit code. advertised is the address for other VMs to
// connect to; empty means the listen address.
func runOnPlatform(ctx context.Context, path, advertised string) int {
	s, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	configureRuntime(s)
	out := daemon.NewLogWriter(os.Stdout)
	defer out.Close()
	logger := zerolog.New(out).With().Timestamp().Str("vm", s.VM).Logger()
	g, err := gateway.New(gatewaySettings(s, advertised), gatewayPlatform(s, &logger), logger)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	go recheckSettings(signals.HangUp, path, s, &logger)
	if err := g.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// recheckSettings loads the settings file again on each SIGHUP, until the process
// ends, and logs whether it is valid and differs from the settings in force. A
// changed file takes effect at the next start; configuration that may change at
// runtime is in the store.
func recheckSettings(hangUps <-chan os.Signal, path string, current *platform.Settings, logger *zerolog.Logger) {
	for range hangUps {
		loaded, err := platform.LoadSettings(path)
		if err != nil {
			events.SettingsInvalid.Log(logger).Err(err).Send()
			continue
		}
		events.SettingsRead.Log(logger).Bool("differs", *loaded != *current).Send()
	}
}

// gatewaySettings converts the platform's settings to those of the gateway.
func gatewaySettings(s *platform.Settings, advertised string) gateway.Settings {
	var loads *admission.Loads
	if s.Bounds.EvenLoad {
		loads = admission.NewLoads()
	}
	return gateway.Settings{
		VM: s.VM, FailureDomain: s.FailureDomain,
		Callers: s.CallersAddress, Ready: s.ReadyAddress, Peers: s.PeersAddress, Advertised: advertised, Metrics: s.MetricsAddress,
		Deployment: platformDeployment, Processor: s.Processor, LinkRate: s.LinkRate,
		Broker: admission.Config{
			Budget: admission.Budget{
				Ratio: s.Bounds.RetryRatio, Allowance: s.Bounds.RetryAllowance, Window: s.Bounds.RetryWindow,
			},
			ColdFactor: s.Bounds.ColdFactor, Loads: loads,
		},
		Quota:       quota.Rule{Window: s.Bounds.QuotaWindow, Over: s.Bounds.QuotaOver, Slack: s.Bounds.QuotaSlack},
		LongestHold: s.Bounds.LongestGrant, StopWithin: s.Bounds.StopTimeout, StartedBefore: s.StartedBefore,
	}
}

// gatewayPlatform returns the platform's implementations that the gateway uses. An
// object of the store that cannot be decoded is logged.
func gatewayPlatform(s *platform.Settings, logger *zerolog.Logger) gateway.Platform {
	logInvalid := func(kind string, err error) {
		events.DeclarationInvalid.Log(logger).Str("kind", kind).Err(err).Send()
	}
	objects := platform.NewStore(s.StoreAddress, logInvalid)
	return gateway.Platform{
		Store: objects, Eras: objects.Eras(), RecordName: platform.RecordName,
		Names: observer.Names{
			Config: platform.ConfigPrefix, Targets: platform.TargetsPrefix, Evacuations: platform.EvacuationsPrefix,
			DecodeConfig: platform.DecodeConfig, DecodeTarget: platform.DecodeTarget, DecodeEvacuation: platform.DecodeEvacuation,
		},
		Targets: platform.NewOrders(), Dialect: platform.Dialect{},
	}
}

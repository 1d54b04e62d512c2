package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutcourse/chestnutcourse/internal/process/daemon"
	"github.com/chestnutcourse/chestnutcourse/internal/process/settings"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// Parameters of the sample deployment that the dev command runs.
const (
	devDeployment        = "dev"
	devRegion            = "region-1"
	devVMs               = 3
	devTargetsPerService = 3
	devSlots             = 2
	devConnections       = 16
	devServiceTimeMillis = 5
	// devPortStep is the offset between the ports of one VM and the next.
	devPortStep = 10
	// devStopSeconds is the timeout of a graceful stop. It is short, because
	// nobody depends on the sample deployment.
	devStopSeconds = 2
)

// runDev runs the sample deployment in this process until ctx is canceled and
// returns the exit code.
func runDev(ctx context.Context, port int) int {
	m, closeTargets, err := sampleDeployment()
	if err != nil {
		return fail(err)
	}
	defer closeTargets()
	platform, err := sampleStore(ctx, m)
	if err != nil {
		return fail(err)
	}
	daemons, daemonsCtx := errgroup.WithContext(ctx)
	for i := range devVMs {
		s := sampleSettings(i, port+i*devPortStep)
		d, err := daemon.New(s, platform, logger(s))
		if err != nil {
			return fail(err)
		}
		daemons.Go(func() error { return d.Run(daemonsCtx) })
		fmt.Printf("%s: callers on http://%s, operators on http://%s\n", s.VM, s.Callers.Address, s.Operators.Address)
	}
	fmt.Println("Every VM serves every key. Stop with Ctrl-C. Once the deployment is ready (after a few seconds), try:")
	fmt.Printf("  curl -i http://127.0.0.1:%d/slots/furnace-7\n", port)
	fmt.Printf("  go run ./cmd/chestnutctl --server http://127.0.0.1:%d route --service slots furnace-7\n", port+1)
	if err := daemons.Wait(); err != nil {
		return fail(err)
	}
	return 0
}

// sampleSettings returns the settings of the VM with index i. Its listeners for
// callers, operators and peers use consecutive ports from port on.
func sampleSettings(i, port int) *settings.Settings {
	address := func(offset int) settings.Listener {
		return settings.Listener{Address: fmt.Sprintf("127.0.0.1:%d", port+offset), Plain: true}
	}
	return &settings.Settings{
		Deployment: devDeployment, VM: sampleVM(i), FailureDomain: sampleFailureDomain(i), Region: devRegion,
		Callers: address(0), Operators: address(1), Peers: settings.PeerListener{Listener: address(2)},
		Limits: settings.Limits{StopSeconds: devStopSeconds},
		Log:    settings.Log{Level: "warn"},
	}
}

func sampleVM(i int) string { return fmt.Sprintf("vm-%d", i+1) }

func sampleFailureDomain(i int) string { return fmt.Sprintf("domain-%d", i%devVMs+1) }

// fail prints an error and returns the exit code.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}

// sampleDeployment starts the sample targets and returns a manifest that declares
// them, with one keyed and one freely placed service, and a function that stops
// the targets.
func sampleDeployment() (*manifest.Manifest, func(), error) {
	m := &manifest.Manifest{
		Format: manifest.FormatVersion, Deployment: devDeployment,
		Services: []manifest.Service{
			{
				Name: "slots", Match: manifest.Match{PathPrefix: "/slots"}, Placement: manifest.Keyed,
				Key: &manifest.Key{From: manifest.KeyFromPath}, Fencing: manifest.Checked, Grants: manifest.Expire,
			},
			{
				Name: "roster", Match: manifest.Match{PathPrefix: "/roster"}, Placement: manifest.Free,
				Fencing: manifest.Checked, Grants: manifest.Expire,
			},
		},
	}
	for i := range devVMs {
		m.FailureDomains = append(m.FailureDomains, manifest.FailureDomain{Name: sampleFailureDomain(i), Region: devRegion})
	}
	var servers []*faketarget.Server
	closeAll := func() {
		for _, server := range servers {
			server.Close()
		}
	}
	for i := range m.Services {
		for number := range devTargetsPerService {
			name := fmt.Sprintf("%s-%d", m.Services[i].Name, number+1)
			server, err := faketarget.Listen("127.0.0.1:0", sampleTarget(name, m.Services[i].Placement))
			if err != nil {
				closeAll()
				return nil, nil, err
			}
			servers = append(servers, server)
			m.Targets = append(m.Targets, manifest.Target{
				Name: name, Service: m.Services[i].Name, Address: server.Address(), FailureDomain: sampleFailureDomain(number),
				Slots: devSlots, Connections: devConnections,
			})
		}
	}
	return m, closeAll, nil
}

func sampleTarget(name string, placement manifest.Placement) faketarget.Settings {
	target := faketarget.Settings{Incarnation: name + "-1", Slots: devSlots, ServiceMillis: devServiceTimeMillis, ChecksFences: true}
	if placement == manifest.Keyed {
		target.Grants = faketarget.GrantsExpire
	}
	return target
}

// sampleStore returns an in-memory store that holds the manifest and the
// platform's list of live VMs.
func sampleStore(ctx context.Context, m *manifest.Manifest) (store.Store, error) {
	platform := store.NewMemory()
	value, err := json.Marshal(manifest.Envelope{OperationID: "dev", Manifest: m})
	if err != nil {
		return nil, err
	}
	if _, err := platform.Put(ctx, manifest.ObjectName, value, store.Absent); err != nil {
		return nil, err
	}
	for i := range devVMs {
		if _, err := platform.Put(ctx, "platform/vms/"+sampleVM(i), []byte(`{"state":"live"}`), store.Absent); err != nil {
			return nil, err
		}
	}
	return platform, nil
}

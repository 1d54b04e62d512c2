// Package deployment runs a small deployment on the users' platform for tests:
// real daemons as processes, a stand-in of the store, and targets that check
// fences, with a fault-injecting proxy in front of each.
package deployment

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/cluster"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faultproxy"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/platformstub"
)

// Host is the host of all routes; requests under /read/ and /once/ go to the
// free service, those under /keyed/ to the keyed one.
const Host = "gate.example"

// ColdRate is the number of requests a second that a cold target bears.
const ColdRate = 11

// Deployment is a running deployment. It ends with the test.
type Deployment struct {
	t     testing.TB
	dir   string
	proxy *faultproxy.Proxy
	Store *platformstub.Stub
	store string
	// Teams holds the access keys of each team; the next Configure declares them. If there
	// are any, routes are not public.
	Teams map[string][]string

	mu      sync.Mutex
	VMs     []*VM
	targets map[string]*Target
	version int
}

// VM is one daemon.
type VM struct {
	*cluster.Process
	// Callers and Ready are addresses.
	Callers, Ready, Metrics string
	// Store is the link to the store, Peers the link from the other VMs.
	Store, Peers *faultproxy.Link
	settings     string
}

// SpoilSettings makes the settings file unusable.
func (v *VM) SpoilSettings() {
	if err := os.WriteFile(v.settings, []byte("nodeName="), 0o600); err != nil {
		panic(err)
	}
}

// Target is one server in one life.
type Target struct {
	*fencetarget.Target
	Link    *faultproxy.Link
	Service string
	Born    int64
	server  *httptest.Server
	// ended is set once its process holds nothing any more.
	ended atomic.Bool
}

// New starts the store and writes the first configuration.
func New(t testing.TB) *Deployment {
	d := &Deployment{
		t: t, dir: keptDir(t), proxy: faultproxy.New(t), Store: platformstub.New(), targets: map[string]*Target{},
	}
	server := httptest.NewServer(d.Store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	d.store = strings.TrimPrefix(server.URL, "http://")
	d.Configure(nil)
	return d
}

// keptDir returns a directory that stays if the test fails, with the logs in it.
func keptDir(t testing.TB) string {
	dir, err := os.MkdirTemp("", "chestnutcourse-deployment-")
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs of %s: %s", t.Name(), dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	return dir
}

// Configure writes the next version of the configuration, with more routes by
// prefix and service.
func (d *Deployment) Configure(more map[string]string) {
	d.version += 3
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "kind": kind, "targetLatency": "300ms", "priority": 1, "match": map[string]any{"pathPrefix": prefix},
			"action": map[string]any{"service": service, "timeout": "3s", "maxAttempts": 2},
		}
	}
	routes := []any{route("/read/", "idempotent", "free"), route("/once/", "non_idempotent", "free"), route("/keyed/", "idempotent", "keyed")}
	for prefix, service := range more {
		routes = append(routes, route(prefix, "idempotent", service))
	}
	service := func(name string, keyed bool) map[string]any {
		return map[string]any{
			"name": name, "healthPath": "/health", "maxConnections": 200, "warmup": "3s", "warmupPerS": ColdRate, "sharded": keyed, "warm": "1s",
		}
	}
	var teams []any
	for name, keys := range d.Teams {
		teams = append(teams, map[string]any{"name": name, "apiKeys": keys, "priority": 1, "ratePerS": 1000, "burst": 1000})
	}
	d.Store.Set("config", "main", map[string]any{
		"tenants":   teams,
		"version":   fmt.Sprintf("%08x", d.version),
		"limits":    map[string]any{"headerBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "3s", "idleTimeout": "15s"},
		"listeners": []any{map[string]any{"host": Host, "routeRules": routes}},
		"clusters":  []any{service("free", false), service("keyed", true)},
	}, nil)
}

// AddTarget starts a server at an address of its own and registers it.
func (d *Deployment) AddTarget(id, service string, settings fencetarget.Settings) *Target {
	t := d.startTarget(id, service, settings)
	t.Link = d.proxy.Link(fmt.Sprintf("%s-%d", id, t.Born), strings.TrimPrefix(t.server.URL, "http://"))
	d.enter(t)
	return t
}

func (d *Deployment) startTarget(id, service string, settings fencetarget.Settings) *Target {
	settings.ID, settings.Keyed = id, service == "keyed"
	t := &Target{Target: fencetarget.New(settings), Service: service, Born: time.Now().UnixMilli()}
	t.server = httptest.NewServer(t.Target)
	d.t.Cleanup(t.server.Close)
	d.t.Cleanup(t.server.CloseClientConnections)
	return t
}

// enter makes a server known and registers it.
func (d *Deployment) enter(t *Target) {
	d.mu.Lock()
	d.targets[t.ID] = t
	d.mu.Unlock()
	d.Register(t.ID, "in_service")
}

// end ends the server's process.
func (t *Target) end() {
	t.ended.Store(true)
	t.Stop()
	_ = t.server.Listener.Close()
	t.server.CloseClientConnections()
}

// Target returns a server by its id.
func (d *Deployment) Target(id string) *Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets[id]
}

// coldLeft is how much longer a target is cold.
func (t *Target) coldLeft() time.Duration {
	return max(t.ColdFor-time.Since(time.UnixMilli(t.Born)), 0)
}

// Register writes a server's entry with a state.
func (d *Deployment) Register(id, state string) {
	t := d.Target(id)
	d.Store.Set("servers", id, map[string]any{
		"address": t.Link.Address, "born": t.Born,
		"info": map[string]any{"service": t.Service, "version": "v1", "zone": cmp.Or(t.Domain, "a"), "maxConcurrency": 4},
	}, map[string]any{"state": state, "sequence": time.Now().UnixMilli(), "warmupLeft": fmt.Sprintf("%dms", t.coldLeft().Milliseconds())})
}

// EndTarget ends a server's process: its port refuses connections.
func (d *Deployment) EndTarget(id string) {
	t := d.Target(id)
	t.Link.Break()
	t.end()
}

// RestartTarget ends a server and starts it again under its id: a new life at
// another address that holds nothing.
func (d *Deployment) RestartTarget(id string, settings fencetarget.Settings) *Target {
	d.EndTarget(id)
	return d.AddTarget(id, d.Target(id).Service, settings)
}

// AddVM starts a daemon.
func (d *Deployment) AddVM() *VM {
	d.t.Helper()
	vm := &VM{Callers: faultproxy.FreeAddress(d.t), Ready: faultproxy.FreeAddress(d.t)}
	name := fmt.Sprintf("vm-%d", len(d.VMs))
	vm.Store = d.proxy.Link("store-"+name, d.store)
	peers, metrics := portPair(d.t)
	vm.Metrics = fmt.Sprintf("127.0.0.1:%d", metrics)
	vm.Peers = d.proxy.Link("peers-"+name, fmt.Sprintf("127.0.0.1:%d", peers))
	vm.settings = filepath.Join(d.dir, name+".conf")
	text := strings.Join([]string{
		"nodeName=" + name, "ip=127.0.0.1", "zone=a", "region=r", "zones.a=r", "zones.b=r",
		"endpoints.front=" + vm.Callers, "endpoints.ready=" + vm.Ready,
		fmt.Sprintf("internalPorts=%d,%d", peers, metrics), "limits.cpuShare=1", "limits.memoryMb=200",
		"platform.address=" + vm.Store.Address,
		"ruleParams=drain=2000ms,grace=6s,retryRatio=0.2,retryWindow=10s,retrySlack=100,coldOver=1.5,coldSlack=5,holdMax=10000ms",
	}, "\n")
	assert.NilError(d.t, os.WriteFile(vm.settings, []byte(text), 0o600))
	vm.Process = cluster.StartProcess(d.t, d.dir, name, cluster.DaemonPath(d.t), "serve", "--settings", vm.settings, "--advertise", vm.Peers.Address)
	d.VMs = append(d.VMs, vm)
	return vm
}

// portPair returns two free ports, one after the other.
func portPair(t testing.TB) (first, second int) {
	for {
		a, b := port(t, faultproxy.FreeAddress(t)), port(t, faultproxy.FreeAddress(t))
		if b == a+1 {
			return a, b
		}
	}
}

func port(t testing.TB, address string) int {
	_, text, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	number, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return number
}

// WaitReady waits until all VMs are ready and all keys are owned.
func (d *Deployment) WaitReady(limit time.Duration) {
	d.t.Helper()
	deadline := time.Now().Add(limit)
	for _, vm := range d.VMs {
		for !isReady(vm.Ready) {
			assert.Assert(d.t, time.Now().Before(deadline), "%s is not ready", vm.Name)
			time.Sleep(20 * time.Millisecond)
		}
	}
	for !d.ownsAllKeys() {
		assert.Assert(d.t, time.Now().Before(deadline), "not all keys have an owner")
		time.Sleep(20 * time.Millisecond)
	}
}

func isReady(address string) bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get("http://" + address + "/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// KeyStep is the distance of the keys that tests look at.
const KeyStep = 1021

func (d *Deployment) ownsAllKeys() bool {
	for key := 0; key < 65536; key += KeyStep {
		if d.Holders(key) != 1 {
			return false
		}
	}
	return true
}

// Holders returns how many live servers hold a key now.
func (d *Deployment) Holders(key int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	holders := 0
	for _, t := range d.targets {
		if t.Service == "keyed" && !t.ended.Load() && t.Holds(key) {
			holders++
		}
	}
	return holders
}

// Leader returns the VM that the record names, or nil.
func (d *Deployment) Leader() *VM {
	o, ok := d.Store.Get("chestnutcourse", "record")
	var record struct {
		Leader struct {
			VM string `json:"vm"`
		} `json:"leader"`
	}
	if !ok || json.Unmarshal(o.Spec, &record) != nil {
		return nil
	}
	for _, vm := range d.VMs {
		if vm.Name == record.Leader.VM {
			return vm
		}
	}
	return nil
}

// Package cluster starts a deployment of real processes for a test: the
// stand-in of the platform's store, targets and daemons, each its own process,
// with a fault-injecting link between any two of them.
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/settings"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/certificates"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faultproxy"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/storestub"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

const (
	deployment = "test"
	region     = "region-1"
	// startLimit bounds the time until a process listens.
	startLimit = 20 * time.Second
	// ReadyLimit bounds the time until every VM is ready and every key is served.
	ReadyLimit   = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Options describes a deployment.
type Options struct {
	// VMs is the number of daemons, spread over the failure domains in turn.
	VMs int
	// Domains is the number of failure domains; 0 means 3.
	Domains int
	// Services are the services with their targets.
	Services []Service
	// PeerLinks puts a link between any two VMs; see Cluster.PeerLink.
	PeerLinks bool
	// Authority, if set, secures all listeners of the daemons with TLS. Peers and
	// operators have to show a certificate, callers need not.
	Authority *certificates.Authority
	// Decisions is the setting log.decisions; empty means "all".
	Decisions string
}

// Service is a service with its targets, spread over the failure domains in turn.
type Service struct {
	Declared manifest.Service
	Targets  int
	Slots    int
	// Connections is the limit per target; 0 means 64.
	Connections int
	// Fake is how the targets behave; Incarnation and Slots are filled in.
	Fake faketarget.Settings
}

// Cluster is a running deployment.
type Cluster struct {
	t       testing.TB
	dir     string
	options Options
	proxy   *faultproxy.Proxy
	peers   map[linkKey]*faultproxy.Link

	Store   *Store
	Targets []*Target
	VMs     []*VM
	// Manifest is the manifest that was submitted at the start.
	Manifest *manifest.Manifest
}

type linkKey struct{ from, to int }

// Store is the stand-in of the platform's store.
type Store struct {
	*Process
	// Client reaches the store without any link.
	Client  store.Store
	address string
}

// Target is a target process behind a link.
type Target struct {
	*Process
	Name string
	// Address is the real address, for the test's own questions; dispatchers
	// use the link's.
	Address string
	Link    *faultproxy.Link
}

// VM is a daemon with its link to the store.
type VM struct {
	*Process
	Name          string
	FailureDomain string
	// URL is the base address for callers, Operators that for operators.
	URL       string
	Operators string
	StoreLink *faultproxy.Link

	index    int
	settings settings.Settings
	// operator reaches the operators' interface.
	operator *http.Client
}

// Start starts a deployment and waits until every VM is ready.
func Start(t testing.TB, options Options) *Cluster {
	t.Helper()
	if options.Domains == 0 {
		options.Domains = 3
	}
	c := &Cluster{t: t, dir: t.TempDir(), options: options, proxy: faultproxy.New(t), peers: map[linkKey]*faultproxy.Link{}}
	c.startStore()
	c.Manifest = &manifest.Manifest{Format: manifest.FormatVersion, Deployment: deployment}
	for i := range options.Domains {
		c.Manifest.FailureDomains = append(c.Manifest.FailureDomains, manifest.FailureDomain{Name: domainName(i), Region: region})
	}
	for i := range options.Services {
		c.startService(&options.Services[i])
	}
	c.Submit(c.Manifest)
	c.startVMs()
	c.WaitReady(ReadyLimit)
	return c
}

// PeerAddress returns the address at which the VM accepts other daemons.
func (vm *VM) PeerAddress() string { return vm.settings.Peers.Address }

func domainName(i int) string { return fmt.Sprintf("domain-%d", i+1) }

// VMName returns the name of the VM with the index.
func VMName(i int) string { return fmt.Sprintf("vm-%d", i+1) }

func (c *Cluster) startStore() {
	address := faultproxy.FreeAddress(c.t)
	process := StartProcess(c.t, c.dir, "store", programs(c.t).store, "--listen", address)
	c.Store = &Store{Process: process, Client: store.NewHTTP("http://" + address), address: address}
	waitListening(c.t, process, address)
}

func (c *Cluster) startService(service *Service) {
	c.Manifest.Services = append(c.Manifest.Services, service.Declared)
	connections := service.Connections
	if connections == 0 {
		connections = 64
	}
	for i := range service.Targets {
		target := c.startTarget(fmt.Sprintf("%s-%d", service.Declared.Name, i+1), service)
		c.Manifest.Targets = append(c.Manifest.Targets, manifest.Target{
			Name: target.Name, Service: service.Declared.Name, Cell: i % service.Declared.CellCount(),
			Address: target.Link.Address, FailureDomain: domainName(i % c.options.Domains),
			Slots: service.Slots, Connections: connections,
		})
	}
}

func (c *Cluster) startTarget(name string, service *Service) *Target {
	fake := service.Fake
	fake.Incarnation = name + "-1"
	fake.Slots = service.Slots
	document, err := json.Marshal(fake)
	assert.NilError(c.t, err)
	address := faultproxy.FreeAddress(c.t)
	process := StartProcess(c.t, c.dir, name, programs(c.t).target, "--listen", address, "--settings", string(document))
	waitListening(c.t, process, address)
	target := &Target{Process: process, Name: name, Address: address, Link: c.proxy.Link(name, address)}
	c.Targets = append(c.Targets, target)
	return target
}

// Submit writes a manifest to the store, as an operator does.
func (c *Cluster) Submit(m *manifest.Manifest) int64 {
	c.t.Helper()
	envelope := manifest.Envelope{OperationID: fmt.Sprintf("test-%d", time.Now().UnixNano()), Manifest: m}
	value, err := json.Marshal(envelope)
	assert.NilError(c.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	expected := store.Absent
	if found, err := c.Store.Client.Get(ctx, manifest.ObjectName); err == nil {
		expected = found.Version
	}
	version, err := c.Store.Client.Put(ctx, manifest.ObjectName, value, expected)
	assert.NilError(c.t, err)
	return version
}

func (c *Cluster) startVMs() {
	for i := range c.options.VMs {
		c.VMs = append(c.VMs, c.prepareVM(i))
	}
	for _, vm := range c.VMs {
		c.linkPeers(vm)
		path := filepath.Join(c.dir, vm.Name+".json")
		content, err := json.Marshal(vm.settings)
		assert.NilError(c.t, err)
		assert.NilError(c.t, os.WriteFile(path, content, 0o600))
		vm.Process = StartProcess(c.t, c.dir, vm.Name, programs(c.t).daemon, "run", "--settings", path)
	}
}

func (c *Cluster) prepareVM(i int) *VM {
	vm := &VM{Name: VMName(i), FailureDomain: domainName(i % c.options.Domains), index: i}
	vm.StoreLink = c.proxy.Link("store-"+vm.Name, c.Store.address)
	vm.settings = settings.Settings{
		Deployment: deployment, VM: vm.Name, FailureDomain: vm.FailureDomain, Region: region,
		Callers:   settings.Listener{Address: faultproxy.FreeAddress(c.t), Plain: true},
		Operators: settings.Listener{Address: faultproxy.FreeAddress(c.t), Plain: true},
		Peers:     settings.PeerListener{Listener: settings.Listener{Address: faultproxy.FreeAddress(c.t), Plain: true}},
		Store:     settings.Store{URL: "http://" + vm.StoreLink.Address},
		Log:       settings.Log{Decisions: c.options.Decisions},
	}
	vm.operator = http.DefaultClient
	scheme := "http://"
	if c.options.Authority != nil {
		scheme = "https://"
		c.secure(vm)
	}
	vm.URL = scheme + vm.settings.Callers.Address
	vm.Operators = scheme + vm.settings.Operators.Address
	c.SetPlatformState(vm.Name, "live")
	return vm
}

// secure gives every listener of a VM a key pair.
func (c *Cluster) secure(vm *VM) {
	pair := c.options.Authority.Pair(vm.Name)
	withoutAuthority := *pair
	withoutAuthority.AuthorityFile = ""
	vm.settings.Callers.TLS, vm.settings.Callers.Plain = &withoutAuthority, false
	vm.settings.Operators.TLS, vm.settings.Operators.Plain = pair, false
	vm.settings.Peers.TLS, vm.settings.Peers.Plain = pair, false
	config := c.options.Authority.Client(c.options.Authority.Pair("operator-of-" + vm.Name))
	vm.operator = &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
}

// linkPeers names the seed peers of a VM and, with PeerLinks, gives it a link
// of its own to every other VM.
func (c *Cluster) linkPeers(vm *VM) {
	for _, other := range c.VMs {
		if other == vm {
			continue
		}
		address := other.settings.Peers.Address
		if c.options.PeerLinks {
			link := c.proxy.Link(vm.Name+"-"+other.Name, address)
			c.peers[linkKey{vm.index, other.index}] = link
			address = link.Address
			if vm.settings.Peers.Overrides == nil {
				vm.settings.Peers.Overrides = map[string]string{}
			}
			vm.settings.Peers.Overrides[other.Name] = address
		}
		if len(vm.settings.SeedPeers) < 3 {
			vm.settings.SeedPeers = append(vm.settings.SeedPeers, address)
		}
	}
}

// PeerLinks returns the links between two VMs: the one that a dials b through,
// and the one that b dials a through. A partition cuts both.
func (c *Cluster) PeerLinks(a, b int) [2]*faultproxy.Link {
	return [2]*faultproxy.Link{c.peers[linkKey{a, b}], c.peers[linkKey{b, a}]}
}

// Partition cuts all traffic between two VMs, in both directions.
func (c *Cluster) Partition(a, b int) {
	for _, link := range c.PeerLinks(a, b) {
		link.CutBoth()
	}
}

// CutOneWay cuts the traffic from VM a to VM b; b still reaches a.
func (c *Cluster) CutOneWay(a, b int) {
	links := c.PeerLinks(a, b)
	links[0].Cut(faultproxy.ToServer)
	links[1].Cut(faultproxy.ToClient)
}

// Heal removes the faults between two VMs.
func (c *Cluster) Heal(a, b int) {
	for _, link := range c.PeerLinks(a, b) {
		link.Heal()
	}
}

// TargetNamed returns a target by its name and fails the test if there is none.
func (c *Cluster) TargetNamed(name string) *Target {
	c.t.Helper()
	for _, target := range c.Targets {
		if target.Name == name {
			return target
		}
	}
	c.t.Fatalf("no target %s", name)
	return nil
}

// SetPlatformState writes the state of a VM in the platform's list; "" removes it.
func (c *Cluster) SetPlatformState(vm, state string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	name := "platform/vms/" + vm
	expected := store.Absent
	if found, err := c.Store.Client.Get(ctx, name); err == nil {
		expected = found.Version
	}
	if state == "" {
		assert.NilError(c.t, c.Store.Client.Delete(ctx, name, expected))
		return
	}
	_, err := c.Store.Client.Put(ctx, name, fmt.Appendf(nil, `{"state":%q}`, state), expected)
	assert.NilError(c.t, err)
}

// SetFaults sets how the store misbehaves.
func (s *Store) SetFaults(t testing.TB, faults storestub.Faults) {
	t.Helper()
	putJSON(t, http.MethodPut, "http://"+s.address+storestub.PathFaults, faults)
}

// Set changes settings of the target.
func (target *Target) Set(t testing.TB, change any) {
	t.Helper()
	putJSON(t, http.MethodPost, "http://"+target.Address+faketarget.PathSettings, change)
}

// ReadRecord reads what the target has executed.
func (target *Target) ReadRecord(t testing.TB) faketarget.Record {
	t.Helper()
	response, err := http.Get("http://" + target.Address + faketarget.PathRecord)
	assert.NilError(t, err)
	defer response.Body.Close()
	var record faketarget.Record
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&record))
	return record
}

// WaitReady waits until every running VM says that it is ready.
func (c *Cluster) WaitReady(limit time.Duration) {
	c.t.Helper()
	for _, vm := range c.VMs {
		vm.WaitReady(c.t, limit)
	}
}

// WaitReady waits until the VM says that it is ready.
func (vm *VM) WaitReady(t testing.TB, limit time.Duration) {
	t.Helper()
	Eventually(t, limit, vm.Name+" is ready", func() error {
		response, err := vm.operator.Get(vm.Operators + "/ready")
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %s", response.Status)
		}
		return nil
	})
}

// Eventually repeats a check until it passes; it fails the test after the limit.
func Eventually(t testing.TB, limit time.Duration, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s: %v", limit, what, err)
		}
		time.Sleep(pollInterval)
	}
}

func waitListening(t testing.TB, process *Process, address string) {
	t.Helper()
	Eventually(t, startLimit, process.Name+" listens", func() error {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		return connection.Close()
	})
}

package distribution

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
)

const (
	// statusTimeout bounds a query whose caller sets no deadline.
	statusTimeout = 5 * time.Second
	// statusShare is the share of its own time that a VM leaves to the VMs below
	// it, so that a part of the answer is still in time.
	statusShare = 0.7
	// statusDepth bounds how far a query travels.
	statusDepth = 16
	// statusParallel bounds the direct queries to VMs that the tree missed.
	statusParallel = 16
)

// Status says where a version of the manifest is in force.
type Status struct {
	// ManifestVersion is the version that was asked for.
	ManifestVersion int64 `json:"manifestVersion"`
	// InForce counts the VMs with that version or a later one, of Total
	// registered VMs.
	InForce int `json:"inForce"`
	Total   int `json:"total"`
	// VMs lists all registered VMs by name.
	VMs []VMStatus `json:"vms"`
}

// VMStatus is what a VM reported of itself.
type VMStatus struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failureDomain"`
	// Answered is false for a VM that could not be asked.
	Answered        bool   `json:"answered"`
	Incarnation     string `json:"incarnation,omitempty"`
	ManifestVersion int64  `json:"manifestVersion,omitempty"`
	Ready           bool   `json:"ready"`
	Reason          string `json:"reason,omitempty"`
	// InForce is set if the VM has the version asked for, or a later one.
	InForce bool `json:"inForce"`
}

// Status asks all VMs, over the trees of the failure domains and then one by
// one where a tree gave no answer. Version 0 stands for the version in force here.
func (d *Distribution) Status(ctx context.Context, version int64) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if snapshot := d.Snapshot(); version == 0 && snapshot != nil {
		version = snapshot.ManifestVersion
	}
	found := &statusSet{vms: map[string]*peerv1.VMStatus{}}
	found.add(d.ownStatus())
	d.askTrees(ctx, found)
	d.askMissing(ctx, found)
	return d.summarise(version, found), ctx.Err()
}

// statusSet collects the answers.
type statusSet struct {
	mu  sync.Mutex
	vms map[string]*peerv1.VMStatus
}

func (s *statusSet) add(vms ...*peerv1.VMStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range vms {
		s.vms[vm.Vm] = vm
	}
}

func (s *statusSet) has(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms[vm] != nil
}

// askTrees asks one VM of each failure domain for all VMs below it.
func (d *Distribution) askTrees(ctx context.Context, found *statusSet) {
	ctx, cancel := shorter(ctx)
	defer cancel()
	var roots []string
	var own []string
	d.config.Loop.Call(func() {
		for _, domain := range d.roster.domains {
			if domain == d.config.Self.FailureDomain {
				own = d.answeringOnly(d.ownTree(d.config.Self.Name), d.config.Self.Name)
			} else if entries := d.entryPoints(domain); len(entries) > 0 {
				roots = append(roots, entries[0])
			}
		}
	})
	var group sync.WaitGroup
	for _, root := range roots {
		group.Go(func() { found.add(d.askStatus(ctx, root, root, statusDepth)...) })
	}
	for _, child := range own {
		group.Go(func() { found.add(d.askStatus(ctx, child, d.config.Self.Name, statusDepth)...) })
	}
	group.Wait()
}

// askMissing asks the VMs that the trees did not reach.
func (d *Distribution) askMissing(ctx context.Context, found *statusSet) {
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for vm := range d.VMs() {
		if !found.has(vm) {
			group.Go(func() error {
				found.add(d.askStatus(ctx, vm, "", 0)...)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// askStatus asks a VM for itself and, up to the depth, the VMs below it in the
// tree of the root.
func (d *Distribution) askStatus(ctx context.Context, vm, root string, depth uint32) []*peerv1.VMStatus {
	if depth == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
	}
	deadline, _ := ctx.Deadline()
	query := &peerv1.StatusQuery{Depth: depth, Root: root, RemainingMs: time.Until(deadline).Milliseconds()}
	answer, err := d.config.Sender.Call(ctx, vm, &peerv1.Control{Kind: &peerv1.Control_StatusQuery{StatusQuery: query}})
	if err != nil {
		return nil
	}
	return answer.GetStatusReply().GetVms()
}

// serveStatus answers a query once the VMs below have answered. It runs on the
// loop and leaves the waiting to another goroutine.
func (d *Distribution) serveStatus(from peer.Peer, call uint64, query *peerv1.StatusQuery) {
	var children []string
	if query.Depth > 0 {
		children = d.answeringOnly(d.ownTree(query.Root), d.config.Self.Name)
	}
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, time.Duration(query.RemainingMs)*time.Millisecond)
		defer cancel()
		below, cancelBelow := shorter(ctx)
		defer cancelBelow()
		found := &statusSet{vms: map[string]*peerv1.VMStatus{}}
		found.add(d.ownStatus())
		var group sync.WaitGroup
		for _, child := range children {
			group.Go(func() { found.add(d.askStatus(below, child, query.Root, query.Depth-1)...) })
		}
		group.Wait()
		reply := &peerv1.StatusReply{}
		for _, vm := range found.vms {
			reply.Vms = append(reply.Vms, vm)
		}
		d.config.Sender.Send(from.VM, &peerv1.Control{ReplyTo: call, Kind: &peerv1.Control_StatusReply{StatusReply: reply}})
	}()
}

// ownStatus reports what is in force on this node.
func (d *Distribution) ownStatus() *peerv1.VMStatus {
	reason, ready := d.Ready()
	status := &peerv1.VMStatus{Vm: d.config.Self.Name, Incarnation: d.config.Self.Incarnation, Ready: ready, Reason: string(reason)}
	if snapshot := d.Snapshot(); snapshot != nil {
		status.ManifestVersion = snapshot.ManifestVersion
	}
	return status
}

// summarise lists every registered VM, with its answer if there is one.
func (d *Distribution) summarise(version int64, found *statusSet) Status {
	status := Status{ManifestVersion: version}
	for name, vm := range d.VMs() {
		row := VMStatus{VM: name, FailureDomain: vm.FailureDomain}
		if answer := found.vms[name]; answer != nil {
			row.Answered, row.Incarnation, row.ManifestVersion = true, answer.Incarnation, answer.ManifestVersion
			row.Ready, row.Reason = answer.Ready, answer.Reason
			row.InForce = version > 0 && answer.ManifestVersion >= version
		}
		if row.InForce {
			status.InForce++
		}
		status.VMs = append(status.VMs, row)
	}
	status.Total = len(status.VMs)
	slices.SortFunc(status.VMs, func(a, b VMStatus) int { return cmp.Compare(a.VM, b.VM) })
	return status
}

// shorter leaves a part of the time to the caller.
func shorter(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	return context.WithTimeout(ctx, time.Duration(statusShare*float64(time.Until(deadline))))
}

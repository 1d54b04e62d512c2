package coordinator

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// If a port refuses connections, its process has ended, or a network partition
// refuses connections instead of dropping packets. While a failure domain is cut off,
// a VM inside it can tell the two apart. While a single machine is cut off, nobody can.

const (
	// nearWitnesses and farWitnesses are the maximum numbers of VMs that are asked, in
	// the failure domain of a port and in others.
	nearWitnesses = 2
	farWitnesses  = 1
	// probeTimeout bounds a witness's attempt to connect.
	probeTimeout = 150 * time.Millisecond
	// reachCheckInterval is the interval at which the leader tries to connect to an
	// unreachable target that has no keys to order about any more.
	reachCheckInterval = time.Second
)

// witnesses are the VMs that are asked to connect to a port. near are in the port's
// failure domain and far in others. selfNear is set if this VM is in the port's failure
// domain.
type witnesses struct {
	selfNear  bool
	near, far []string
}

// chooseWitnesses chooses VMs to ask about a port in a failure domain. They do not include
// this VM and exclude.
func (c *Coordinator) chooseWitnesses(domain string, view *fleet.View, exclude string) witnesses {
	w := witnesses{selfNear: domain == c.config.Self.FailureDomain}
	for vm, m := range view.Members {
		switch {
		case vm == c.config.Self.VM || vm == exclude:
		case m.FailureDomain == domain && len(w.near) < nearWitnesses:
			w.near = append(w.near, vm)
		case m.FailureDomain != domain && len(w.far) < farWitnesses:
			w.far = append(w.far, vm)
		}
	}
	return w
}

// portClosed reports whether a port that refused a connection of this VM refuses those of
// other VMs, too. That requires a refusal by a VM in the port's failure domain, a second
// refusal if there are other VMs to ask, and no successful connection. It runs outside the
// loop.
func (c *Coordinator) portClosed(address string, w witnesses) bool {
	type answer struct {
		reply *peerv1.ProbeReply
		near  bool
	}
	answers := make(chan answer, len(w.near)+len(w.far))
	ask := func(vms []string, near bool) {
		for _, vm := range vms {
			go func() { answers <- answer{c.probe(vm, address), near} }()
		}
	}
	ask(w.near, true)
	ask(w.far, false)
	near, refused, open := w.selfNear, 0, false
	for range cap(answers) {
		a := <-answers
		open = open || a.reply.GetOpen()
		if a.reply.GetRefused() {
			refused++
			near = near || a.near
		}
	}
	return near && !open && (refused > 0 || cap(answers) == 0)
}

// probe asks another VM to connect to an address. It returns nil if the VM does not
// answer.
func (c *Coordinator) probe(vm, address string) *peerv1.ProbeReply {
	reply, err := c.call(vm, &peerv1.Control{Kind: &peerv1.Control_ProbeRequest{ProbeRequest: &peerv1.ProbeRequest{Address: address}}})
	if err != nil {
		return nil
	}
	return reply.GetProbeReply()
}

// answerProbe connects to an address on behalf of another VM and sends it the result. It
// runs outside the loop.
func (c *Coordinator) answerProbe(from peer.Peer, call uint64, address string) {
	ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
	defer cancel()
	err := c.config.Dial(ctx, address)
	c.config.Sender.Send(from.VM, &peerv1.Control{ReplyTo: call, Kind: &peerv1.Control_ProbeReply{ProbeReply: &peerv1.ProbeReply{
		Open: err == nil, Refused: errors.Is(err, syscall.ECONNREFUSED),
	}}})
}

// checkTargetUnreachable checks whether other VMs cannot connect to a target either whose
// port refuses connections of this VM. If so, its keys are not ready any more and move to
// other targets. That proves nothing about its process: a network partition around the target
// looks the same from every VM, and so does a leaving target that closes its port before its
// last requests have completed. Its keys are granted to others only as for a target that does
// not answer, once its grants have expired or it has answered a release.
func (c *Coordinator) checkTargetUnreachable(life fleet.Life) {
	l, target := c.lead, c.view.Targets[life.ID]
	if target == nil || target.Life != life || l.reachChecks[life] || l.leaseTable.isUnreachable(life) {
		return
	}
	l.reachChecks[life] = true
	w, address, domain := c.chooseWitnesses(target.FailureDomain, c.view, ""), target.Address, target.FailureDomain
	service := target.Service
	go func() {
		closed := c.portClosed(address, w)
		c.config.Loop.Post(func() {
			if c.lead != l {
				return
			}
			delete(l.reachChecks, life)
			observed, _ := c.config.Observe(service, life.ID)
			events.TargetReachChecked.Log(c.config.Logger).Str("target", life.ID).Int64("born", life.Born).
				Str("failure_domain", domain).Strs("near", w.near).Strs("far", w.far).Bool("self_near", w.selfNear).
				Bool("unreachable", closed).Int("running", observed.Running).Send()
			if closed && observed.Running == 0 {
				l.leaseTable.markUnreachable(life)
				c.publishSlicesSoon()
			}
		})
	}()
}

// recheckUnreachable tries to connect to the unreachable targets to which no orders are due,
// so that they can be given keys again.
func (c *Coordinator) recheckUnreachable(now time.Time) {
	l := c.lead
	for _, life := range l.leaseTable.unreachableWithoutOrders(now) {
		target := c.view.Targets[life.ID]
		if target == nil || target.Life != life {
			delete(l.leaseTable.unreachable, life)
			continue
		}
		l.leaseTable.unreachable[life] = now.Add(reachCheckInterval)
		address := target.Address
		go func() {
			ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
			defer cancel()
			err := c.config.Dial(ctx, address)
			c.config.Loop.Post(func() {
				if c.lead == l && err == nil {
					delete(l.leaseTable.unreachable, life)
				}
			})
		}()
	}
}

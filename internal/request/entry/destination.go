package entry

import (
	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// Ways in which a destination is found, as the decision log names them.
const (
	byOwner    = "owner"
	byRedirect = "redirect"
	byLoad     = "load"
)

// destination is where one attempt goes.
type destination struct {
	route routing.Route
	// vm dispatches to the target; other is the VM to try when vm cannot serve,
	// "" if none is known.
	vm, other string
	by        string
	// load is set for a target of a freely placed service.
	load *targetLoad
}

// holderHint remembers which of a target's two holders served last, for one
// version of the cell's assignment.
type holderHint struct {
	version int64
	vm      string
}

// destination returns where the next attempt goes. It reports false if the
// snapshot knows no target for the request.
func (x *exchange) destination(history *history) (destination, bool) {
	if x.service.Declared.Placement == manifest.Free {
		return x.chooseTarget(history)
	}
	route, ok := x.snapshot.Route(x.service, x.params.key)
	if route.Cell == "" {
		return destination{}, false
	}
	if redirect := x.handler.redirects.overlay(x.params.key, &route); redirect != nil {
		return x.redirected(route, redirect), true
	}
	if !ok {
		return destination{}, false
	}
	d := x.handler.holderOf(route)
	d.by = byOwner
	return d, true
}

// redirected returns the destination that a redirect names. The target's dispatcher is
// that of the record if it is a later one: the sender of a redirect may have an older record.
func (x *exchange) redirected(route routing.Route, redirect *peerv1.Redirect) destination {
	d := destination{route: route, vm: redirect.Dispatcher, by: byRedirect}
	d.route.Target, d.route.Fence, d.route.Epoch = redirect.Target, redirect.Fence, redirect.Epoch
	if cell := x.cell(route.Cell); cell != nil {
		if named, ok := cell.RouteTo(redirect.Target); ok {
			if named.Epoch > redirect.Epoch && redirect.Epoch != 0 {
				d.vm, d.route.Epoch = named.Dispatcher.VM, named.Epoch
			}
			d.other = otherHolder(named, d.vm)
		}
	}
	return d
}

// cell returns a cell of the service by its ID, or nil.
func (x *exchange) cell(id string) *routing.Cell {
	for _, cell := range x.service.Cells {
		if cell != nil && cell.Assignment.ID == id {
			return cell
		}
	}
	return nil
}

// holderOf returns the destination of a route: the dispatcher, or the backup if
// it was the one that served last.
func (h *Handler) holderOf(route routing.Route) destination {
	d := destination{route: route, vm: route.Dispatcher.VM}
	if hint, ok := h.holders.Load(route.Target); ok {
		hint := hint.(holderHint)
		if hint.version == route.Version && hint.vm == route.Backup.VM {
			d.vm = hint.vm
		}
	}
	d.other = otherHolder(route, d.vm)
	return d
}

// otherHolder returns the one of a route's two holders that is not vm.
func otherHolder(route routing.Route, vm string) string {
	if vm == route.Backup.VM {
		return route.Dispatcher.VM
	}
	return route.Backup.VM
}

// noteHolder remembers that a VM served a target.
func (h *Handler) noteHolder(d destination) {
	if d.vm == d.route.Dispatcher.VM {
		if _, ok := h.holders.Load(d.route.Target); ok {
			h.holders.Delete(d.route.Target)
		}
		return
	}
	h.holders.Store(d.route.Target, holderHint{version: d.route.Version, vm: d.vm})
}

// noteRefusal remembers to try a target's other holder first if the one just
// tried cannot serve it.
func (h *Handler) noteRefusal(d destination, reason outcome.Reason) {
	switch reason {
	case outcome.PeerUnreachable, outcome.LeaseLapsed, outcome.NotOwner:
		if d.other != "" {
			h.noteHolder(destination{route: d.route, vm: d.other})
		}
	}
}

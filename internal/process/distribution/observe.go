package distribution

import (
	"context"

	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
)

// Object returns the newest known version of an object; a deleted object is
// returned with Deleted set. It is called on the loop.
func (d *Distribution) Object(name string) (store.Object, bool) {
	object, known := d.table.objects[name]
	return object, known
}

// IsSilent reports whether the last call of this node to a VM failed. It is
// called on the loop.
func (d *Distribution) IsSilent(vm string) bool { return d.contacts.isSilent(vm) }

// Unreachable reports whether the last call of this node to a VM failed, though most VMs
// answer; otherwise this node may be the one that is cut off. It is called on the loop.
func (d *Distribution) Unreachable(vm string) bool {
	return d.contacts.isSilent(vm) && 2*len(d.contacts.silent) < len(d.VMs())
}

// SilentVMs returns the VMs that did not answer this node's last call. It is
// called on the loop.
func (d *Distribution) SilentVMs() []string {
	silent := make([]string, 0, len(d.contacts.silent))
	for vm := range d.contacts.silent {
		silent = append(silent, vm)
	}
	return silent
}

// IsFirst reports whether this VM is the first live one of its failure domain.
// It is called on the loop.
func (d *Distribution) IsFirst() bool { return d.watching != nil && d.rank.liveBefore == 0 }

// Ping asks a VM for a sign of life, and records whether it gave one.
func (d *Distribution) Ping(ctx context.Context, vm string) bool {
	digest := d.digestFromLoop()
	return digest != nil && d.exchange(ctx, vm, digest) != nil
}

package distribution

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// PlatformState is what the platform's lagging list says of a VM.
type PlatformState string

// The states of VMs. A VM that is not listed is PlatformGone.
const (
	PlatformLive    PlatformState = "live"
	PlatformLeaving PlatformState = "leaving"
	PlatformGone    PlatformState = ""
)

// platformVM is the value of an object under PlatformPrefix.
type platformVM struct {
	State PlatformState `json:"state"`
}

// view is the decoded form of the table. A value that cannot be read leaves
// the one before it in place.
type view struct {
	manifest        *manifest.Manifest
	manifestVersion int64
	operationID     string
	cells           map[string]*routing.Cell
	vms             map[string]routing.VM
	platform        map[string]PlatformState
}

func newView() *view {
	return &view{cells: map[string]*routing.Cell{}, vms: map[string]routing.VM{}, platform: map[string]PlatformState{}}
}

// apply decodes an object into the view.
func (v *view) apply(object store.Object) error {
	switch name := object.Name; {
	case name == manifest.ObjectName:
		return v.applyManifest(object)
	case strings.HasPrefix(name, assignment.ObjectPrefix):
		return v.applyCell(strings.TrimPrefix(name, assignment.ObjectPrefix), object)
	case strings.HasPrefix(name, routing.VMPrefix):
		return v.applyVM(strings.TrimPrefix(name, routing.VMPrefix), object)
	case strings.HasPrefix(name, PlatformPrefix):
		return v.applyPlatform(strings.TrimPrefix(name, PlatformPrefix), object)
	}
	return nil
}

// applyManifest keeps the manifest in force when the object was deleted: a
// deployment cannot be undeclared.
func (v *view) applyManifest(object store.Object) error {
	if object.Deleted {
		return nil
	}
	envelope, err := manifest.DecodeEnvelope(object.Value)
	if err != nil {
		return err
	}
	v.manifest, v.manifestVersion, v.operationID = envelope.Manifest, object.Version, envelope.OperationID
	return nil
}

func (v *view) applyCell(id string, object store.Object) error {
	if object.Deleted {
		delete(v.cells, id)
		return nil
	}
	cell, err := assignment.Decode(object.Value)
	if err == nil {
		v.cells[id] = &routing.Cell{Version: object.Version, Assignment: cell}
	}
	return err
}

func (v *view) applyVM(name string, object store.Object) error {
	if object.Deleted {
		delete(v.vms, name)
		return nil
	}
	var vm routing.VM
	err := json.Unmarshal(object.Value, &vm)
	if err == nil {
		vm.Name = name
		v.vms[name] = vm
	}
	return err
}

func (v *view) applyPlatform(name string, object store.Object) error {
	if object.Deleted {
		delete(v.platform, name)
		return nil
	}
	var vm platformVM
	err := json.Unmarshal(object.Value, &vm)
	if err == nil {
		v.platform[name] = vm.State
	}
	return err
}

// snapshot builds the immutable form; nil while there is no manifest.
func (v *view) snapshot() *routing.Snapshot {
	if v.manifest == nil {
		return nil
	}
	return routing.New(v.manifest, v.manifestVersion, maps.Clone(v.cells), maps.Clone(v.vms))
}

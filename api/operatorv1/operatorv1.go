// Package operatorv1 defines the JSON messages of the operators' HTTP API,
// which the daemon serves and chestnutctl uses.
package operatorv1

import (
	"encoding/json"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// Paths of the API.
const (
	PathStatus         = "/status"
	PathReady          = "/ready"
	PathMetrics        = "/metrics"
	PathManifest       = "/manifest"
	PathManifestStatus = "/manifest/status"
	PathRoutes         = "/routes"
	PathTargets        = "/targets"
	PathSlices         = "/slices"
	PathDrain          = "/drain"
	PathRestore        = "/restore"
)

// Query parameters of the API.
const (
	ParamVersion = "version"
	ParamService = "service"
	ParamKey     = "key"
)

// Submission is the body of POST /manifest.
type Submission struct {
	// OperationID identifies the submission; repeating it changes nothing.
	OperationID string `json:"operationId"`
	// Replaces is the version that the manifest was derived from; 0 for the first.
	Replaces int64 `json:"replaces"`
	// Force submits a manifest that takes out more than the load can spare.
	Force    bool            `json:"force,omitempty"`
	Manifest json.RawMessage `json:"manifest"`
}

// DrainRequest is the body of POST /drain and POST /restore.
type DrainRequest struct {
	OperationID string         `json:"operationId"`
	Scope       manifest.Scope `json:"scope"`
	Name        string         `json:"name"`
	Force       bool           `json:"force,omitempty"`
}

// Accepted answers a change.
type Accepted struct {
	// Version is the version of the manifest that holds the change.
	Version int64 `json:"version"`
	// Repeated is set if the change had been accepted or was in force before.
	Repeated bool `json:"repeated,omitempty"`
}

// Manifest answers GET /manifest.
type Manifest struct {
	Version  int64              `json:"version"`
	Manifest *manifest.Manifest `json:"manifest"`
}

// Error answers a request that was refused or failed.
type Error struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy"`
	// Problems lists every error of a manifest.
	Problems manifest.Problems `json:"problems,omitempty"`
	// CurrentVersion is the version of the manifest that won, on a conflict.
	CurrentVersion int64 `json:"currentVersion,omitempty"`
}

// Status answers GET /status.
type Status struct {
	VM            string `json:"vm"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	Deployment    string `json:"deployment"`
	UptimeSeconds int64  `json:"uptimeSeconds"`
	Ready         bool   `json:"ready"`
	Reason        string `json:"reason,omitempty"`
	// ManifestVersion is the version in force here; 0 if there is none.
	ManifestVersion int64 `json:"manifestVersion"`
	// StoreContactAgeMillis is how long ago the store is known to have
	// answered, along the chain of peers; -1 if never.
	StoreContactAgeMillis int64 `json:"storeContactAgeMillis"`
	// VMs lists the registered VMs, sorted by name.
	VMs []VM `json:"vms"`
}

// VM is a registered VM as this node knows it.
type VM struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	PeerAddress   string `json:"peerAddress"`
	Leaving       bool   `json:"leaving,omitempty"`
	// Platform is what the platform's lagging list says; empty if not listed.
	Platform string `json:"platform,omitempty"`
}

// Ready answers GET /ready, with status 200 or 503.
type Ready struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Route answers GET /routes: where a key goes and why.
type Route struct {
	Service         string `json:"service"`
	Placement       string `json:"placement"`
	Key             string `json:"key,omitempty"`
	ManifestVersion int64  `json:"manifestVersion"`
	// Hash is the position of the key in the key space.
	Hash uint64 `json:"hash,string"`
	// Cell and CellVersion name the assignment that decides.
	Cell        string `json:"cell,omitempty"`
	CellVersion int64  `json:"cellVersion,omitempty"`
	// Slice is the slice that holds the key.
	Slice *Slice `json:"slice,omitempty"`
	// Target is the owner with its dispatch rights.
	Target *Target `json:"target,omitempty"`
	// Explanation says in words how the route came about, or why there is none.
	Explanation string `json:"explanation"`
}

// Slice is a slice of a cell.
type Slice struct {
	Cell      string `json:"cell"`
	First     uint64 `json:"first,string"`
	Last      uint64 `json:"last,string"`
	Key       string `json:"key,omitempty"`
	Owner     string `json:"owner"`
	Fence     uint64 `json:"fence"`
	Next      string `json:"next"`
	NextFence uint64 `json:"nextFence"`
	Moving    bool   `json:"moving,omitempty"`
}

// Target is a target with who may dispatch to it.
type Target struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	Cell          string `json:"cell"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Slots         int    `json:"slots"`
	// Draining is set if the manifest drains the target or its failure domain.
	Draining bool `json:"draining,omitempty"`
	// Slices and HotKeys count what the target owns.
	Slices  int `json:"slices"`
	HotKeys int `json:"hotKeys"`
	// Epoch, Dispatcher, Backup and Witness are empty until a controller has
	// assigned them.
	Epoch      uint64 `json:"epoch,omitempty"`
	Dispatcher string `json:"dispatcher,omitempty"`
	Backup     string `json:"backup,omitempty"`
	Witness    string `json:"witness,omitempty"`
	// HandingOver names the dispatcher that still has to hand over.
	HandingOver string `json:"handingOver,omitempty"`
}

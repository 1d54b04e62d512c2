// Package routing defines the immutable snapshot from which entries route.
//
// A Snapshot is built by the control goroutine from one set of object versions
// and published atomically; a request uses one snapshot from its start to its
// first attempt. Lookups allocate nothing.
package routing

import (
	"net"
	"strings"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// VM is an entry VM as the others reach it. It is the value of the store
// object VMPrefix+Name, written by the VM itself when it starts.
type VM struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// PeerAddress is host:port of the peer listener.
	PeerAddress string `json:"peerAddress"`
	// Leaving is set once a graceful stop has begun.
	Leaving bool `json:"leaving,omitempty"`
}

// VMPrefix is the prefix of the store objects that VMs write about themselves.
const VMPrefix = "vms/"

// Snapshot is what an entry knows at one moment.
type Snapshot struct {
	Manifest        *manifest.Manifest
	ManifestVersion int64
	Services        map[string]*Service
	// VMs are the known VMs by name.
	VMs map[string]VM
	// Targets are the manifest's targets by name.
	Targets map[string]*manifest.Target
	// Domains are the manifest's failure domains by name.
	Domains map[string]*manifest.FailureDomain
}

// Service is a service with the assignments of its cells.
type Service struct {
	Declared *manifest.Service
	// Cells are indexed by cell number; nil where no assignment exists yet.
	Cells []*Cell
}

// Cell is the assignment of one cell at one version.
type Cell struct {
	Version    int64
	Assignment *assignment.Cell
}

// Route says where a request goes.
type Route struct {
	Cell    string
	Version int64
	Target  string
	Fence   uint64
	// Epoch is that at which Dispatcher dispatches to Target.
	Epoch      uint64
	Dispatcher assignment.Holder
	Backup     assignment.Holder
	// Next is the target that owns the key after Target.
	Next string
}

// Recency returns how new the knowledge is that the route rests on.
func (r *Route) Recency() assignment.Recency {
	return assignment.Recency{Fence: r.Fence, Epoch: r.Epoch}
}

// New builds a snapshot. cells are keyed by cell ID; the maps are kept and must
// not be changed afterwards.
func New(m *manifest.Manifest, manifestVersion int64, cells map[string]*Cell, vms map[string]VM) *Snapshot {
	s := &Snapshot{
		Manifest: m, ManifestVersion: manifestVersion,
		Services: make(map[string]*Service, len(m.Services)),
		VMs:      vms,
		Targets:  make(map[string]*manifest.Target, len(m.Targets)),
		Domains:  make(map[string]*manifest.FailureDomain, len(m.FailureDomains)),
	}
	for i := range m.Services {
		declared := &m.Services[i]
		service := &Service{Declared: declared, Cells: make([]*Cell, declared.CellCount())}
		for number := range service.Cells {
			service.Cells[number] = cells[assignment.CellID(declared.Name, number)]
		}
		s.Services[declared.Name] = service
	}
	for i := range m.Targets {
		s.Targets[m.Targets[i].Name] = &m.Targets[i]
	}
	for i := range m.FailureDomains {
		s.Domains[m.FailureDomains[i].Name] = &m.FailureDomains[i]
	}
	return s
}

// Match returns the first service that a request with the host and path
// belongs to, or nil.
func (s *Snapshot) Match(host, path string) *Service {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for i := range s.Manifest.Services {
		declared := &s.Manifest.Services[i]
		if declared.Match.Matches(host, path) {
			return s.Services[declared.Name]
		}
	}
	return nil
}

// Route returns where a key of a keyed service goes. It reports false if the
// cell has no assignment yet or the owner has no dispatcher.
func (s *Snapshot) Route(service *Service, key string) (Route, bool) {
	hash := assignment.HashKey(key)
	cell := service.Cells[assignment.CellOf(hash, len(service.Cells))]
	if cell == nil {
		return Route{}, false
	}
	slice := cell.Assignment.Find(key, hash)
	if slice == nil {
		return Route{}, false
	}
	route, ok := cell.RouteTo(slice.Owner)
	route.Fence = slice.Fence
	route.Next = slice.Next
	return route, ok
}

// RouteTo returns the route to a target of the cell.
func (c *Cell) RouteTo(target string) (Route, bool) {
	rights := c.Assignment.RightsOf(target)
	if rights == nil {
		return Route{}, false
	}
	return Route{
		Cell: c.Assignment.ID, Version: c.Version, Target: target, Epoch: rights.Epoch,
		Dispatcher: rights.Dispatcher, Backup: rights.Backup,
	}, true
}

// ServiceOfCell returns the service name in a cell ID.
func ServiceOfCell(cellID string) string {
	service, _, _ := strings.Cut(cellID, "/")
	return service
}

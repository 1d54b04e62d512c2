package operators

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chestnutcourse/chestnutcourse/api/operatorv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// explainRoute says where a key of a service goes and why.
func explainRoute(s *routing.Snapshot, serviceName, key string) (*operatorv1.Route, error) {
	service := s.Services[serviceName]
	if service == nil {
		return nil, fault.New(fault.NotFound, "list the services with chestnutctl manifest show", "the manifest has no service %q", serviceName)
	}
	route := &operatorv1.Route{
		Service: serviceName, Placement: string(service.Declared.Placement), Key: key, ManifestVersion: s.ManifestVersion,
	}
	if service.Declared.Placement == manifest.Free {
		route.Explanation = "the service is placed freely: each request goes to the target with the shortest expected wait; chestnutctl targets lists them"
		return route, nil
	}
	route.Hash = assignment.HashKey(key)
	number := assignment.CellOf(route.Hash, len(service.Cells))
	route.Cell = assignment.CellID(serviceName, number)
	cell := service.Cells[number]
	if cell == nil {
		route.Explanation = fmt.Sprintf("cell %s has no assignment yet; its controller writes one within seconds if the store answers", route.Cell)
		return route, nil
	}
	route.CellVersion = cell.Version
	explainSlice(s, route, cell)
	return route, nil
}

// explainSlice fills in the slice, its owner and the explanation.
func explainSlice(s *routing.Snapshot, route *operatorv1.Route, cell *routing.Cell) {
	slice := cell.Assignment.Find(route.Key, route.Hash)
	if slice == nil {
		route.Explanation = "no slice of the cell holds the key"
		return
	}
	row := sliceRow(cell, slice)
	route.Slice = &row
	if declared := s.Targets[slice.Owner]; declared != nil {
		target := targetRow(s, declared)
		route.Target = &target
	}
	kind := "its hash range"
	if slice.Key != "" {
		kind = "a slice of its own, as a hot key"
	}
	route.Explanation = fmt.Sprintf("the key lies in %s; target %s owns it at fence %d, and %s is next at fence %d", kind, slice.Owner, slice.Fence, slice.Next, slice.NextFence)
	switch {
	case slice.Moving:
		route.Explanation += "; the slice is being moved to the next owner"
	case route.Target == nil:
		route.Explanation += "; the owner is no longer in the manifest, so the controller moves the slice"
	case route.Target.Dispatcher == "":
		route.Explanation += "; the owner has no dispatcher yet"
	}
}

// targetRows lists the targets of a service, or of all services if it is empty.
func targetRows(s *routing.Snapshot, service string) []operatorv1.Target {
	rows := []operatorv1.Target{}
	for i := range s.Manifest.Targets {
		if t := &s.Manifest.Targets[i]; service == "" || t.Service == service {
			rows = append(rows, targetRow(s, t))
		}
	}
	return rows
}

// targetRow describes a target with its rights and what it owns.
func targetRow(s *routing.Snapshot, t *manifest.Target) operatorv1.Target {
	domain := s.Domains[t.FailureDomain]
	row := operatorv1.Target{
		Name: t.Name, Service: t.Service, Cell: assignment.CellID(t.Service, t.Cell), Address: t.Address,
		FailureDomain: t.FailureDomain, Slots: t.Slots, Draining: t.Drain || domain != nil && domain.Out,
	}
	cell := cellOf(s, t)
	if cell == nil {
		return row
	}
	row.Slices, row.HotKeys = countOwned(cell.Assignment.Slices, t.Name), countOwned(cell.Assignment.HotKeys, t.Name)
	if rights := cell.Assignment.RightsOf(t.Name); rights != nil {
		row.Epoch, row.Dispatcher, row.Backup, row.Witness = rights.Epoch, rights.Dispatcher.VM, rights.Backup.VM, rights.Witness.VM
		if rights.Previous != nil {
			row.HandingOver = rights.Previous.Dispatcher.VM
		}
	}
	return row
}

// cellOf returns the assignment of a target's cell, or nil.
func cellOf(s *routing.Snapshot, t *manifest.Target) *routing.Cell {
	service := s.Services[t.Service]
	if service == nil || t.Cell >= len(service.Cells) {
		return nil
	}
	return service.Cells[t.Cell]
}

func countOwned(owned []assignment.Slice, target string) int {
	count := 0
	for i := range owned {
		if owned[i].Owner == target {
			count++
		}
	}
	return count
}

// sliceRows lists the slices of a service, or of all services if it is empty.
func sliceRows(s *routing.Snapshot, serviceName string) []operatorv1.Slice {
	rows := []operatorv1.Slice{}
	for name, service := range s.Services {
		if serviceName != "" && name != serviceName {
			continue
		}
		for _, cell := range service.Cells {
			if cell == nil {
				continue
			}
			for i := range cell.Assignment.Slices {
				rows = append(rows, sliceRow(cell, &cell.Assignment.Slices[i]))
			}
			for i := range cell.Assignment.HotKeys {
				rows = append(rows, sliceRow(cell, &cell.Assignment.HotKeys[i]))
			}
		}
	}
	slices.SortStableFunc(rows, func(a, b operatorv1.Slice) int { return cmp.Compare(a.Cell, b.Cell) })
	return rows
}

func sliceRow(cell *routing.Cell, s *assignment.Slice) operatorv1.Slice {
	return operatorv1.Slice{
		Cell: cell.Assignment.ID, First: s.First, Last: s.Last, Key: s.Key, Owner: s.Owner, Fence: s.Fence,
		Next: s.Next, NextFence: s.NextFence, Moving: s.Moving,
	}
}

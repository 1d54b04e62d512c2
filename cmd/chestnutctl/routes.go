package main

import (
	"fmt"
	"io"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutcourse/chestnutcourse/api/operatorv1"
)

func registerTargets(app *kingpin.Application, s *session) {
	command := app.Command("targets", "List the targets with their dispatchers and the number of slices and hot keys that they own.")
	service := command.Flag("service", "Only targets of this service.").String()
	command.Action(func(*kingpin.ParseContext) error {
		var rows []operatorv1.Target
		return s.show(operatorv1.PathTargets, serviceQuery(*service), &rows, func(w io.Writer) {
			fmt.Fprintln(w, "TARGET\tSERVICE\tFAILURE DOMAIN\tSLOTS\tDRAINING\tSLICES\tHOT KEYS\tEPOCH\tDISPATCHER\tBACKUP\tWITNESS")
			for _, t := range rows {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%d\t%d\t%d\t%s\t%s\t%s\n", t.Name, t.Service, t.FailureDomain, t.Slots, t.Draining,
					t.Slices, t.HotKeys, t.Epoch, t.Dispatcher, t.Backup, t.Witness)
			}
		})
	})
}

func registerSlices(app *kingpin.Application, s *session) {
	command := app.Command("slices", "List the slices with their owners.")
	service := command.Flag("service", "Only slices of this service.").String()
	command.Action(func(*kingpin.ParseContext) error {
		var rows []operatorv1.Slice
		return s.show(operatorv1.PathSlices, serviceQuery(*service), &rows, func(w io.Writer) {
			fmt.Fprintln(w, "CELL\tFIRST\tLAST\tKEY\tOWNER\tFENCE\tNEXT\tNEXT FENCE\tMOVING")
			for _, slice := range rows {
				fmt.Fprintf(w, "%s\t%016x\t%016x\t%s\t%s\t%d\t%s\t%d\t%t\n", slice.Cell, slice.First, slice.Last, slice.Key, slice.Owner,
					slice.Fence, slice.Next, slice.NextFence, slice.Moving)
			}
		})
	})
}

func registerRoute(app *kingpin.Application, s *session) {
	command := app.Command("route", "Explain to which target a key is routed, and why.")
	key := command.Arg("key", "The key.").Required().String()
	service := command.Flag("service", "The service.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		var route operatorv1.Route
		query := serviceQuery(*service)
		query.Set(operatorv1.ParamKey, *key)
		return s.show(operatorv1.PathRoutes, query, &route, func(w io.Writer) { printRoute(w, &route) })
	})
}

func printRoute(w io.Writer, route *operatorv1.Route) {
	fmt.Fprintf(w, "%s\n", route.Explanation)
	fmt.Fprintf(w, "manifest version\t%d\n", route.ManifestVersion)
	if route.Slice == nil {
		return
	}
	fmt.Fprintf(w, "hash\t%016x\n", route.Hash)
	fmt.Fprintf(w, "cell\t%s at version %d\n", route.Cell, route.CellVersion)
	fmt.Fprintf(w, "slice\t%016x to %016x\n", route.Slice.First, route.Slice.Last)
	fmt.Fprintf(w, "owner\t%s at fence %d\n", route.Slice.Owner, route.Slice.Fence)
	fmt.Fprintf(w, "next\t%s at fence %d\n", route.Slice.Next, route.Slice.NextFence)
	if route.Target != nil {
		fmt.Fprintf(w, "dispatcher\t%s at epoch %d\n", route.Target.Dispatcher, route.Target.Epoch)
		fmt.Fprintf(w, "backup\t%s\n", route.Target.Backup)
		fmt.Fprintf(w, "witness\t%s\n", route.Target.Witness)
	}
}

func registerStatus(app *kingpin.Application, s *session) {
	command := app.Command("status", "Show the state of the server and the VMs that it knows.")
	command.Action(func(*kingpin.ParseContext) error {
		var status operatorv1.Status
		return s.show(operatorv1.PathStatus, nil, &status, func(w io.Writer) {
			fmt.Fprintf(w, "VM %s in %s, incarnation %s, up %d s\n", status.VM, status.FailureDomain, status.Incarnation, status.UptimeSeconds)
			fmt.Fprintf(w, "ready %t %s, manifest version %d, store answered %d ms ago\n", status.Ready, status.Reason, status.ManifestVersion, status.StoreContactAgeMillis)
			fmt.Fprintln(w, "VM\tFAILURE DOMAIN\tADDRESS\tLEAVING\tPLATFORM")
			for _, vm := range status.VMs {
				fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\n", vm.Name, vm.FailureDomain, vm.PeerAddress, vm.Leaving, vm.Platform)
			}
		})
	})
}

// show reads a resource into result and prints it; text prints the text form.
func (s *session) show(path string, query url.Values, result any, text func(io.Writer)) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	if err := c.get(path, query, result); err != nil {
		return err
	}
	return s.print(result, text)
}

func serviceQuery(service string) url.Values {
	query := url.Values{}
	if service != "" {
		query.Set(operatorv1.ParamService, service)
	}
	return query
}

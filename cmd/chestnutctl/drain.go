package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutcourse/chestnutcourse/api/operatorv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

func registerDrain(app *kingpin.Application, s *session) {
	registerDrainChange(app, s, "drain", operatorv1.PathDrain, "Take a target, VM or failure domain out of service; nothing in flight is cut.")
	registerDrainChange(app, s, "restore", operatorv1.PathRestore, "Bring a target, VM or failure domain back into service.")
}

// registerDrainChange adds drain or restore.
func registerDrainChange(app *kingpin.Application, s *session, name, path, help string) {
	command := app.Command(name, help)
	scope := command.Arg("scope", "What is named: target, vm or failure-domain.").Required().
		Enum(string(manifest.ScopeTarget), string(manifest.ScopeVM), string(manifest.ScopeFailureDomain))
	subject := command.Arg("name", "Its name.").Required().String()
	operation := command.Flag("operation", "Id of the change; a new one by default.").String()
	force := command.Flag("force", "Make the change although it takes out more than the load can spare.").Bool()
	wait := command.Flag("wait", "Wait up to this long until the change is in force on all VMs.").Duration()
	command.Action(func(*kingpin.ParseContext) error {
		request := operatorv1.DrainRequest{OperationID: operationID(*operation), Scope: manifest.Scope(*scope), Name: *subject, Force: *force}
		return s.change(path, request.OperationID, request, *wait)
	})
}

package events

import "github.com/rs/zerolog"

// Events of placement.
var (
	ControllerElected     = register(5001, "controller-elected", zerolog.InfoLevel, "This VM has taken the controller lease of a cell.")
	ControllerSuperseded  = register(5002, "controller-superseded", zerolog.InfoLevel, "Another VM has taken the controller lease of a cell; this VM no longer plans it.")
	ControllerReleased    = register(5003, "controller-released", zerolog.InfoLevel, "This VM is leaving and has given up the controller lease of a cell.")
	CellWaiting           = register(5004, "cell-waiting", zerolog.WarnLevel, "A cell cannot get its first assignment yet; the reason names what is missing.")
	CellCreated           = register(5005, "cell-created", zerolog.InfoLevel, "The first assignment of a cell was written.")
	AssignmentWritten     = register(5010, "assignment-written", zerolog.InfoLevel, "A new version of a cell's assignment was written.")
	AssignmentConflict    = register(5011, "assignment-conflict", zerolog.InfoLevel, "Another writer changed the assignment first; the controller plans again from the new version.")
	AssignmentUnknown     = register(5012, "assignment-write-unknown", zerolog.WarnLevel, "The outcome of a write is unknown; the controller reads the assignment back.")
	AssignmentUnavailable = register(5013, "assignment-write-failed", zerolog.WarnLevel, "The store did not accept a write; the controller retries in the next round.")
	TargetReported        = register(5014, "target-reported", zerolog.InfoLevel, "A dispatcher reports a change in whether its target is lost or cold; slices are placed accordingly.")
	PlacementDecided      = register(5020, "placement-decided", zerolog.InfoLevel, "One placement decision with its kind and reason; it is in force with the assignment version named.")
	ReportRejected        = register(5030, "report-rejected", zerolog.DebugLevel, "A load report reached a VM that does not control the cell.")
	PartnersLost          = register(5031, "partners-lost", zerolog.WarnLevel, "A holder of dispatch rights is known to be gone, from the platform's list of VMs or because it has restarted.")
)

package events

import "github.com/rs/zerolog"

// Events of the ownership protocol.
var (
	TargetGranted       = register(4001, "target-granted", zerolog.InfoLevel, "A target has confirmed the set of slices that it owns.")
	GrantRefused        = register(4002, "grant-refused", zerolog.WarnLevel, "A target has seen a dispatcher of a higher epoch; this VM stops sending to it.")
	TargetSuspected     = register(4003, "target-suspected", zerolog.InfoLevel, "A target did not answer; its grant is left to expire while probes continue.")
	TargetLost          = register(4004, "target-lost", zerolog.WarnLevel, "A target no longer holds a grant and does not answer; its slices are released.")
	TargetFound         = register(4005, "target-found", zerolog.InfoLevel, "A target answers for the first time, again after a loss, or in a new incarnation.")
	SliceReleased       = register(4006, "slice-released", zerolog.InfoLevel, "A slice was taken from its owner and passes to the next owner's dispatcher.")
	SliceAccepted       = register(4007, "slice-accepted", zerolog.InfoLevel, "A slice was accepted for a target of this VM before the record shows it.")
	DispatcherSuspected = register(4008, "dispatcher-suspected", zerolog.InfoLevel, "A dispatcher that this VM backs up is silent; its lease is no longer renewed.")
	SuspicionEnded      = register(4009, "suspicion-ended", zerolog.InfoLevel, "A suspected dispatcher has proved to be alive; its lease is renewed again.")
	TargetTakenOver     = register(4010, "target-taken-over", zerolog.WarnLevel, "The lease of a lost dispatcher has expired; this VM now dispatches to the target.")
	HandoverBegun       = register(4011, "handover-begun", zerolog.InfoLevel, "The record names another dispatcher; this VM has stopped sending to the target and hands over.")
	HandoverAccepted    = register(4012, "handover-accepted", zerolog.InfoLevel, "This VM dispatches to a target after a handover.")
	RecoveryBegun       = register(4013, "recovery-begun", zerolog.WarnLevel, "This VM dispatches to a target without a handover and first asks for past releases.")
	TenureEnded         = register(4014, "tenure-ended", zerolog.InfoLevel, "This VM no longer dispatches to a target.")
	MovePostponed       = register(4015, "move-postponed", zerolog.InfoLevel, "Requests in flight did not end in time for a planned move; the owner keeps serving and the move is retried.")
)

// Events of the leader and of the keys that it grants to targets.
var (
	LeadershipTaken    = register(4101, "leadership-taken", zerolog.InfoLevel, "This VM is the leader; the record in the store names it.")
	LeadershipLost     = register(4102, "leadership-lost", zerolog.InfoLevel, "This VM is no longer the leader; it sends no more orders.")
	LeaderFollowed     = register(4103, "leader-followed", zerolog.InfoLevel, "This VM follows a new leader.")
	LeaderMissed       = register(4104, "leader-missed", zerolog.InfoLevel, "This VM has lost contact with the leader and has read the record; the line says whether this VM takes over, and why.")
	TakeoverFailed     = register(4105, "takeover-failed", zerolog.InfoLevel, "This VM could not write itself into the record as leader; another VM was first, or the store did not answer.")
	RecordUnreadable   = register(4106, "record-unreadable", zerolog.WarnLevel, "This VM has no contact with a leader and cannot read the record.")
	MemberLost         = register(4107, "member-lost", zerolog.InfoLevel, "The leader has not heard from a VM for some seconds and removes it from the members.")
	StoreReach         = register(4108, "store-reach", zerolog.WarnLevel, "The leader has lost or regained contact with the store.")
	LeaderStalled      = register(4109, "leader-stalled", zerolog.WarnLevel, "The leader's process was paused for a while; it sends no orders until it has confirmed again that it is the leader.")
	MovePlanned        = register(4110, "move-planned", zerolog.InfoLevel, "Keys are to move to another owner; the move is in the record.")
	MovesNotWritten    = register(4111, "moves-not-written", zerolog.WarnLevel, "Moves could not be written into the record and were not started.")
	OrderDone          = register(4112, "order-done", zerolog.InfoLevel, "A target has answered a grant or a release, or failed to. fence_next is the higher fence that the slice gets after a failed grant. Renewals that change nothing are not logged.")
	GrantsRanOut       = register(4113, "grants-ran-out", zerolog.InfoLevel, "A former owner did not answer; its grants have expired, so the keys go to the next owner.")
	TargetReachChecked = register(4114, "target-reach-checked", zerolog.InfoLevel, "A target's port refuses connections; VMs inside and outside its failure domain were asked whether they reach it.")
	RecordRecovered    = register(4117, "record-recovered", zerolog.WarnLevel, "The store has been restored from a copy; the leader has written the record again and grants nothing new until no lost grant can be in force.")
	RecoveryEnded      = register(4118, "recovery-ended", zerolog.InfoLevel, "No grant of before the store was restored can be in force any more; the leader moves keys again.")
	TargetsAssumedCold = register(4116, "targets-assumed-cold", zerolog.WarnLevel, "Some targets may have restarted, and the store did not answer whether they have. They get what cold targets bear until they would be warm.")
)

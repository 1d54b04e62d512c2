package events

import "github.com/rs/zerolog"

// Events of the ownership protocol.
var (
	TargetGranted       = register(4001, "target-granted", zerolog.InfoLevel, "A target has confirmed the set of slices that it owns.")
	GrantRefused        = register(4002, "grant-refused", zerolog.WarnLevel, "A target knows a dispatcher of a higher epoch; this VM stops sending to it.")
	TargetSuspected     = register(4003, "target-suspected", zerolog.InfoLevel, "A target did not answer; its grant is left to lapse while probes go on.")
	TargetLost          = register(4004, "target-lost", zerolog.WarnLevel, "A target holds no grant any more and does not answer; its slices are released.")
	TargetFound         = register(4005, "target-found", zerolog.InfoLevel, "A target answers, for the first time, after a loss or in a new incarnation.")
	SliceReleased       = register(4006, "slice-released", zerolog.InfoLevel, "A slice was taken from its owner and passes to the next owner's dispatcher.")
	SliceAccepted       = register(4007, "slice-accepted", zerolog.InfoLevel, "A slice was accepted for a target of this VM ahead of the record.")
	DispatcherSuspected = register(4008, "dispatcher-suspected", zerolog.InfoLevel, "A dispatcher that this VM backs up is silent; its lease is not renewed any more.")
	SuspicionEnded      = register(4009, "suspicion-ended", zerolog.InfoLevel, "A suspected dispatcher is alive; its lease is renewed again.")
	TargetTakenOver     = register(4010, "target-taken-over", zerolog.WarnLevel, "The lease of a lost dispatcher has lapsed; this VM dispatches to the target.")
	HandoverBegun       = register(4011, "handover-begun", zerolog.InfoLevel, "The record names another dispatcher; this VM has stopped sending and hands over.")
	HandoverAccepted    = register(4012, "handover-accepted", zerolog.InfoLevel, "This VM dispatches to a target after a handover.")
	RecoveryBegun       = register(4013, "recovery-begun", zerolog.WarnLevel, "This VM dispatches to a target without a handover and asks for releases of the past first.")
	TenureEnded         = register(4014, "tenure-ended", zerolog.InfoLevel, "This VM does not dispatch to a target any more.")
	MovePostponed       = register(4015, "move-postponed", zerolog.InfoLevel, "Requests in flight did not end in time for a planned move; the owner goes on and the move is tried again.")
)

// Events of the leader and of the keys that it gives to targets.
var (
	LeadershipTaken  = register(4101, "leadership-taken", zerolog.InfoLevel, "This VM is the leader; the record in the store names it.")
	LeadershipLost   = register(4102, "leadership-lost", zerolog.InfoLevel, "This VM leads no longer; it sends no more orders.")
	LeaderFollowed   = register(4103, "leader-followed", zerolog.InfoLevel, "This VM follows another leader than before.")
	LeaderMissed     = register(4104, "leader-missed", zerolog.InfoLevel, "This VM does not hear the leader and has read the record; the line has what it decided and why.")
	TakeoverFailed   = register(4105, "takeover-failed", zerolog.InfoLevel, "This VM could not write itself into the record; another VM was first, or the store did not answer.")
	RecordUnreadable = register(4106, "record-unreadable", zerolog.WarnLevel, "This VM does not hear a leader and cannot read the record.")
	MemberLost       = register(4107, "member-lost", zerolog.InfoLevel, "The leader has not heard a VM for some seconds and forgets it.")
	StoreReach       = register(4108, "store-reach", zerolog.WarnLevel, "The leader has lost or regained the store.")
	LeaderStalled    = register(4109, "leader-stalled", zerolog.WarnLevel, "The leader's process was stopped for a while; it sends no orders until it has heard anew that it leads.")
	MovePlanned      = register(4110, "move-planned", zerolog.InfoLevel, "Keys are to move to another owner; the move is in the record.")
	MovesNotWritten  = register(4111, "moves-not-written", zerolog.WarnLevel, "Moves could not be written into the record and did not begin.")
	OrderDone        = register(4112, "order-done", zerolog.InfoLevel, "A target has answered a grant or a release, or failed to. fence_next is the higher fence of a slice whose grant failed. Renewals without news are not logged.")
	GrantsRanOut     = register(4113, "grants-ran-out", zerolog.InfoLevel, "A former owner did not answer; its grants have run out, so the keys go to the next owner.")
	TargetEndChecked = register(4114, "target-end-checked", zerolog.InfoLevel, "A target's port refuses connections; VMs near it and elsewhere were asked whether it has ended.")
)

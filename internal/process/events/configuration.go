package events

import "github.com/rs/zerolog"

// Events of the configuration and of membership.
var (
	ManifestInForce      = register(6001, "manifest-in-force", zerolog.InfoLevel, "A manifest version is in force on this VM.")
	ObjectRejected       = register(6002, "object-rejected", zerolog.ErrorLevel, "An object of the store cannot be read; the version before it stays in force.")
	WatcherStarted       = register(6003, "watcher-started", zerolog.InfoLevel, "This VM watches the store for its failure domain.")
	WatcherStopped       = register(6004, "watcher-stopped", zerolog.InfoLevel, "This VM no longer watches the store.")
	StoreUnreachable     = register(6005, "store-unreachable", zerolog.WarnLevel, "A watcher cannot reach the store; it retries.")
	StoreReached         = register(6006, "store-reached", zerolog.InfoLevel, "The store answers a watcher again.")
	ConfigurationLoaded  = register(6007, "configuration-loaded", zerolog.InfoLevel, "A starting VM has loaded the configuration, from the store or from several peers.")
	ConfigurationMissing = register(6008, "configuration-missing", zerolog.WarnLevel, "A starting VM has reached neither the store nor enough peers and waits.")
	ReadinessChanged     = register(6009, "readiness-changed", zerolog.InfoLevel, "The VM has become ready, or has stopped accepting new work.")
	StoreCallRelayed     = register(6010, "store-call-relayed", zerolog.InfoLevel, "A call to the store went through a peer because the store cannot be reached directly.")
	ObjectsRepaired      = register(6011, "objects-repaired", zerolog.InfoLevel, "A comparison with a peer supplied objects that the distribution tree had not delivered.")

	VMRegistered       = register(6101, "vm-registered", zerolog.InfoLevel, "The VM has registered its incarnation in the store.")
	VMRegistrationLate = register(6102, "vm-registration-late", zerolog.WarnLevel, "The VM cannot register in the store yet; it retries.")
	VMLeaving          = register(6103, "vm-leaving", zerolog.InfoLevel, "The VM has marked itself as leaving.")
	VMRemoved          = register(6104, "vm-removed", zerolog.InfoLevel, "The registration of a VM was removed, by itself or because the VM is gone.")
	VMReplaced         = register(6105, "vm-replaced", zerolog.ErrorLevel, "Another daemon has registered under this VM's name; this one must stop.")
	VMSilent           = register(6106, "vm-silent", zerolog.WarnLevel, "A VM no longer answers; it is not considered for new roles.")
	VMHeard            = register(6107, "vm-heard", zerolog.InfoLevel, "A silent VM answers again.")

	ManifestAccepted = register(6201, "manifest-accepted", zerolog.InfoLevel, "An operator's change of the manifest was accepted by the store.")
	ManifestRefused  = register(6202, "manifest-refused", zerolog.WarnLevel, "An operator's change of the manifest was refused.")
	ManifestUnknown  = register(6203, "manifest-unknown", zerolog.WarnLevel, "It is not known whether an operator's change was accepted; submitting it again with the same operation id is safe.")
)

// Events of the objects that the platform declares in its store.
var (
	ConfigurationObserved = register(6301, "configuration-observed", zerolog.InfoLevel, "The leader has read a new version of the configuration from the store.")
	DeclarationInvalid    = register(6302, "declaration-invalid", zerolog.WarnLevel, "An object in the store cannot be read; it is ignored, the other objects stay in force.")
	TargetObserved        = register(6303, "target-observed", zerolog.InfoLevel, "A target's entry is new, is of a new incarnation of the target, or changes whether it is leaving.")
	TargetGone            = register(6304, "target-gone", zerolog.InfoLevel, "A target's entry is missing; the target gets no new requests and its keys go to others.")
	DomainTakenOut        = register(6305, "domain-taken-out", zerolog.InfoLevel, "A failure domain is evacuated; it gets no requests until it is restored.")
	DomainRestored        = register(6306, "domain-restored", zerolog.InfoLevel, "A failure domain gets requests again; its targets are treated as cold for a while.")
)

// Events of the teams in the configuration.
var (
	TeamInvalid = register(6310, "team-invalid", zerolog.WarnLevel, "The entry of a team in the configuration is invalid and left out, or an access key belongs to several teams and identifies none; the rest of the configuration is in force.")
)

// Events of the watches of those objects.
var (
	StoreRestored    = register(6311, "store-restored", zerolog.WarnLevel, "The store has been restored from a copy: entries that its list lacks, or that undo what is known, are waited for.")
	WatchInterrupted = register(6308, "watch-interrupted", zerolog.WarnLevel, "A list or watch of declarations failed or was interrupted; it is retried, or the objects are listed again.")
)

// Events of a VM that follows the leader.
var (
	ConfigurationInForce = register(6307, "configuration-in-force", zerolog.InfoLevel, "This VM routes requests by a new version of the configuration.")
)

// Package observer watches the platform's declarations in the store: the
// configuration, the targets and the failure domains that are evacuated.
//
// Guarantees: the configuration never goes back to a lower version; an entry
// that cannot be decoded does not affect the others; a target whose entry is
// missing after a store outage counts as removed only once the entry has had time
// to reappear. Any other removal takes effect at once. A store that comes back from a copy
// undoes nothing that is known (see restored.go).
package observer

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/internal/process/contain"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// reappearTime is how long entries may take to reappear after a store outage. The
	// platform documents about two seconds.
	reappearTime = 2300 * time.Millisecond
	// eventReappearTime is the same for an entry whose removal a running watch reports after
	// a store outage: the store may expire entries only once it is back. The time of such a
	// removal is known, so the remaining 0.8 s of the 2 s within which it must take effect
	// are left for the other VMs, including one lost message.
	eventReappearTime = 1200 * time.Millisecond
	// outageMin is the time without an answer after which the store counts as having been
	// unavailable. Entries of live targets, which reappear within about two seconds, do not
	// expire sooner, and a leader that alone is cut off is replaced before that. A cut of
	// 0.6 s with resets stays below it: up to 0.5 s of a poll before it, and the pause of
	// the first of three watches to return.
	outageMin = 2 * time.Second
	// callMax is the longest duration of a failed call to the store, failurePause the longest
	// time between two failed calls of a VM that keeps trying.
	callMax      = 1500 * time.Millisecond
	failurePause = 2500 * time.Millisecond
	// removedRetention is how long a removed target is remembered, so that its keys
	// can be taken back from it.
	removedRetention = 30 * time.Second
	// confirmPause is the pause before the entries of targets that are assumed to be cold
	// are read, so that one read serves many: a new leader assumes it of all owners of keys.
	confirmPause = 100 * time.Millisecond
)

// Names holds the store prefixes of the watched objects and their decoders.
type Names struct {
	Config, Targets, Evacuations string

	DecodeConfig func(store.Object) (*fleet.Config, error)
	// DecodeTarget decodes a target's entry; the second argument is the current time.
	DecodeTarget func(store.Object, time.Time) (*fleet.Target, error)
	// DecodeEvacuation returns the failure domain that an entry evacuates.
	DecodeEvacuation func(store.Object) string
}

// Config configures an Observer.
type Config struct {
	Names  Names
	Store  store.Store
	Loop   *loop.Loop
	Logger *zerolog.Logger
	// Changed is called on the loop after each list and each batch of changes.
	Changed func()
	// Contact is called on the loop after each call to the store, with its error.
	Contact func(error)
	// Uptime returns the time since the VM's start, including time suspended.
	Uptime func() time.Duration
	// Eras are the eras of the store; nil if it is never restored.
	Eras *store.Eras
}

// Observer holds the latest declarations. Its methods must be called on the loop.
type Observer struct {
	config Config
	// watchContext is the context of the watches, which cancel ends.
	watchContext context.Context
	cancel       context.CancelFunc
	// cautious is set while only the configuration is watched; see StartCautiously.
	cautious bool
	// knownAt holds the uptime of the last answer to each watch since Start that is applied.
	knownAt map[string]time.Duration

	fleetConfig *fleet.Config
	targets     map[string]*fleet.Target
	// removedAt holds when targets that are still remembered were removed.
	removedAt map[string]time.Time
	evacuated map[string]bool
	// declaredEvacuations are the failure domains with an entry in the store, and
	// evacuationRevisions the revisions of the entries that were last read.
	declaredEvacuations map[string]bool
	evacuationRevisions map[string]int64
	// evacuationEndedAt holds when the last evacuation of a failure domain ended.
	evacuationEndedAt map[string]time.Time
	// reappearUntil is the time until which missing entries may still reappear after
	// an outage.
	reappearUntil time.Time
	// answeredAt is when the store last answered a call of this VM. failingSince is when the
	// first of the calls since then failed, failedAt when the last one did; both are zero if
	// none has.
	answeredAt, failingSince, failedAt time.Time
	// missing holds the targets whose entries are absent but may reappear, each with the
	// time until which it may.
	missing map[string]time.Time
	// assumed holds the targets that are assumed to be cold, by ID. confirming is set while
	// their entries are read, askAgain if they have to be read once more after that.
	assumed              map[string]assumption
	confirming, askAgain bool
	// copiedTargets and copiedEvacuations tell what of the lists may stem from a copy from
	// which the store has been restored. heldBack holds the entries of targets that are
	// ignored for that, by ID.
	copiedTargets, copiedEvacuations copiedList
	heldBack                         map[string]store.Object
}

// assumption is that a target may have restarted and be cold, although its entry does not
// say so yet.
type assumption struct {
	life fleet.Life
	// coldUntil is when the target is warm again.
	coldUntil time.Time
}

// New returns an observer that watches nothing yet.
func New(config Config) *Observer {
	return &Observer{
		config: config, knownAt: map[string]time.Duration{}, targets: map[string]*fleet.Target{}, removedAt: map[string]time.Time{},
		evacuated: map[string]bool{}, evacuationEndedAt: map[string]time.Time{}, missing: map[string]time.Time{},
		assumed: map[string]assumption{}, declaredEvacuations: map[string]bool{}, evacuationRevisions: map[string]int64{}, heldBack: map[string]store.Object{},
	}
}

// Watching reports whether the observer is between Start and Stop.
func (o *Observer) Watching() bool { return o.cancel != nil }

// Complete reports whether all prefixes have been listed since Start and a
// configuration is known.
func (o *Observer) Complete() bool { return len(o.knownAt) == 3 && o.fleetConfig != nil }

// KnownAt returns the uptime up to which all changes of the declarations are known: that of
// the oldest of the last answers to the watches. It reports false unless Complete.
func (o *Observer) KnownAt() (time.Duration, bool) {
	if !o.Complete() {
		return 0, false
	}
	return min(o.knownAt[o.config.Names.Config], o.knownAt[o.config.Names.Targets], o.knownAt[o.config.Names.Evacuations]), true
}

// Seed takes over the declarations in a view. It is called before Start. The targets of
// the view replace those of a former watch, which may have left since; only a later
// process of a target is kept. era is the era of the store that the view is of.
func (o *Observer) Seed(view *fleet.View, era string) {
	o.copiedTargets.seed(era)
	o.copiedEvacuations.seed(era)
	if view.Config != nil && (o.fleetConfig == nil || view.Config.Version > o.fleetConfig.Version) {
		o.fleetConfig = view.Config
	}
	if view.Targets != nil {
		o.seedTargets(view.Targets)
		clear(o.evacuated)
	}
	for domain := range view.Evacuated {
		o.evacuated[domain] = true
	}
}

func (o *Observer) seedTargets(targets map[string]*fleet.Target) {
	maps.DeleteFunc(o.targets, func(id string, _ *fleet.Target) bool { return targets[id] == nil })
	maps.DeleteFunc(o.removedAt, func(id string, _ time.Time) bool { return targets[id] == nil || !targets[id].Leaving })
	for id, t := range targets {
		if known := o.targets[id]; known == nil || known.Born <= t.Born {
			copied := *t
			o.targets[id] = &copied
		}
	}
}

// Start begins to watch. Entries that are missing may still reappear if the calls passed
// to NoteStoreAnswer show that an outage of the store has just ended.
func (o *Observer) Start(ctx context.Context) {
	if o.begin(ctx) {
		o.watchConfig()
		o.watchOthers()
	}
}

// StartCautiously begins to watch like Start, but lists only the configuration until the
// store has answered that: a VM that cannot reach the store makes a single call.
func (o *Observer) StartCautiously(ctx context.Context) {
	if o.begin(ctx) {
		o.cautious = true
		o.watchConfig()
	}
}

// begin prepares to watch and reports whether the observer was not watching before.
func (o *Observer) begin(ctx context.Context) bool {
	if o.cancel != nil {
		return false
	}
	clear(o.missing)
	clear(o.assumed)
	ctx, o.cancel = context.WithCancel(ctx)
	o.watchContext = ctx
	return true
}

func (o *Observer) watchConfig() {
	o.watchPrefix(o.watchContext, o.config.Names.Config, o.configListed, o.configChanged)
}

func (o *Observer) watchOthers() {
	o.cautious = false
	o.watchPrefix(o.watchContext, o.config.Names.Targets, o.targetsListed, o.targetsChanged)
	o.watchPrefix(o.watchContext, o.config.Names.Evacuations, o.evacuationsListed, o.evacuationsChanged)
}

// Stop ends the watches; what they have found is kept.
func (o *Observer) Stop() {
	if o.cancel == nil {
		return
	}
	o.cancel()
	o.cancel, o.cautious = nil, false
	clear(o.knownAt)
}

// watchPrefix runs one watch. Its callbacks are posted to the loop and dropped once
// the watch has been stopped.
func (o *Observer) watchPrefix(ctx context.Context, prefix string, listed func([]store.Object, int64), changed func([]store.Object)) {
	post := func(f func()) {
		o.config.Loop.Post(func() {
			if ctx.Err() == nil {
				f()
			}
		})
	}
	// postAnswer posts an answer to the watch; apply is nil if it changes nothing.
	postAnswer := func(apply func([]store.Object), objects []store.Object) {
		answered := o.config.Uptime()
		post(func() {
			o.knownAt[prefix] = answered
			if apply != nil {
				apply(objects)
				o.config.Changed()
			}
		})
	}
	go store.Follow(ctx, o.config.Store, prefix, store.Follower{
		Listed: func(objects []store.Object, version int64) {
			postAnswer(func(objects []store.Object) { listed(objects, version) }, objects)
		},
		Changed: func(objects []store.Object) {
			if len(objects) == 0 {
				postAnswer(nil, nil)
				return
			}
			postAnswer(changed, objects)
		},
		Contact: func(err error) { post(func() { o.recordContact(prefix, err) }) },
	})
}

// AssumeCold records that a target may have restarted, so that it is cold from now on. It
// reports whether that is news. ConfirmEntries ends the assumption if it is wrong.
func (o *Observer) AssumeCold(life fleet.Life, now time.Time) bool {
	t := o.targets[life.ID]
	if t == nil || t.Life != life || o.cancel == nil {
		return false
	}
	until := o.coldUntil(t, now)
	if !until.After(t.ColdUntil) {
		return false
	}
	o.assumed[life.ID] = assumption{life: life, coldUntil: until}
	return true
}

// ConfirmEntries reads the entries of the targets that are assumed to be cold: that of a
// target that has restarted has changed. If the store does not answer, the assumptions hold
// until they have run out.
func (o *Observer) ConfirmEntries() {
	if o.confirming || o.cancel == nil {
		o.askAgain = true
		return
	}
	o.confirming, o.askAgain = true, false
	o.config.Loop.PostAfter(confirmPause, o.readAssumed)
}

// readAssumed reads the entries of the targets that are assumed to be cold.
func (o *Observer) readAssumed() {
	if o.cancel == nil {
		o.confirming = false
		return
	}
	asked, ctx := maps.Clone(o.assumed), o.watchContext
	o.askAgain = false
	go func() {
		objects, version, err := o.config.Store.List(ctx, o.config.Names.Targets)
		o.config.Loop.Post(func() {
			o.confirming = false
			switch {
			case ctx.Err() != nil:
				return
			case err != nil:
				events.TargetsAssumedCold.Log(o.config.Logger).Int("targets", len(asked)).Err(err).Send()
			case o.mayBeCopied(version, time.Now()):
				// The entries may be those of former processes.
			case o.endAssumptions(asked, objects):
				o.config.Changed()
			}
			if o.askAgain {
				o.ConfirmEntries()
			}
		})
	}()
}

// DeclaredCold reports whether a target is cold by its entry.
func (o *Observer) DeclaredCold(id string, now time.Time) bool {
	t := o.targets[id]
	return t != nil && now.Before(t.ColdUntil)
}

// endAssumptions ends the assumptions about targets whose entries are still those of the
// process that was known. It reports whether there were any. The entries are not applied:
// the watch may have brought later ones.
func (o *Observer) endAssumptions(asked map[string]assumption, objects []store.Object) bool {
	ended := false
	for _, object := range objects {
		id := o.targetID(object)
		if a, assumed := asked[id]; !assumed || o.assumed[id] != a {
			continue
		}
		t, err := o.config.Names.DecodeTarget(object, time.Now())
		if err == nil && t.Life == asked[id].life {
			delete(o.assumed, id)
			ended = true
		}
	}
	return ended
}

// recordContact records the result of a call of a watch to the store.
func (o *Observer) recordContact(prefix string, err error) {
	if err != nil {
		events.WatchInterrupted.Log(o.config.Logger).Str("prefix", prefix).Err(err).Send()
	}
	o.NoteStoreAnswer(err, time.Now())
	o.config.Contact(err)
}

// NoteStoreAnswer records the result of a call of this VM to the store, also of those that
// are not the observer's. After a time of at least outageMin without an answer, missing
// entries may still reappear for a while. Shorter times do not count: a single failed call,
// or a cut of this VM's link, says nothing about the entries.
func (o *Observer) NoteStoreAnswer(err error, now time.Time) {
	if now.Sub(o.failedAt) > failurePause {
		// Nothing is known of the time since.
		o.failingSince, o.failedAt = time.Time{}, time.Time{}
	}
	if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.UnknownOutcome) {
		if o.failingSince.IsZero() {
			o.failingSince = now
		}
		o.failedAt = now
		return
	}
	if !o.failingSince.IsZero() && now.Sub(laterOf(o.answeredAt, o.failingSince.Add(-callMax))) >= outageMin {
		o.reappearUntil = now.Add(reappearTime)
		for id := range o.missing {
			o.missing[id] = o.reappearUntil
		}
	}
	o.answeredAt, o.failingSince, o.failedAt = now, time.Time{}, time.Time{}
}

// NoteStoreReached records that the store has answered another VM at a time.
func (o *Observer) NoteStoreReached(at time.Time) { o.answeredAt = laterOf(o.answeredAt, at) }

// Tick marks targets whose entries did not reappear in time as removed, forgets targets
// after removedRetention, and reports whether anything changed. While the store does not
// answer, no entry can reappear.
func (o *Observer) Tick(now time.Time) bool {
	changed := false
	for id, until := range o.missing {
		if o.failingSince.IsZero() && now.After(until) {
			delete(o.missing, id)
			o.markRemoved(id, now)
			changed = true
		}
	}
	for id, at := range o.removedAt {
		if now.Sub(at) > removedRetention {
			delete(o.removedAt, id)
			delete(o.targets, id)
			changed = true
		}
	}
	return o.tickRestored(now) || changed
}

// Config returns the configuration, or nil if none is known.
func (o *Observer) Config() *fleet.Config { return o.fleetConfig }

// Targets returns a copy of the map of the targets by ID. The targets themselves are
// shared and must not be changed.
func (o *Observer) Targets() map[string]*fleet.Target {
	targets := maps.Clone(o.targets)
	for id, a := range o.assumed {
		if t := targets[id]; t != nil && t.Life == a.life && a.coldUntil.After(t.ColdUntil) {
			copied := *t
			copied.ColdUntil = a.coldUntil
			targets[id] = &copied
		}
	}
	return targets
}

// Evacuated returns a copy of the set of evacuated failure domains.
func (o *Observer) Evacuated() map[string]bool { return maps.Clone(o.evacuated) }

func (o *Observer) configListed(objects []store.Object, _ int64) {
	o.configChanged(objects)
	if o.cautious {
		o.watchOthers()
	}
}

func (o *Observer) configChanged(objects []store.Object) {
	o.eachObject(objects, func(object store.Object) {
		if object.Deleted {
			return
		}
		config, err := o.config.Names.DecodeConfig(object)
		if err != nil {
			events.DeclarationInvalid.Log(o.config.Logger).Str("object", object.Name).Err(err).Send()
			return
		}
		if !config.Supersedes(o.fleetConfig) {
			return
		}
		o.fleetConfig = config
		events.ConfigurationObserved.Log(o.config.Logger).Uint64("version", config.Version).
			Int("routes", len(config.Routes)).Int64("revision", object.Version).Send()
		for _, problem := range config.InvalidTeams {
			events.TeamInvalid.Log(o.config.Logger).Uint64("version", config.Version).Str("problem", problem).Send()
		}
	})
}

// eachObject calls f for each object. An object for which f panics is skipped, like one
// that cannot be decoded.
func (o *Observer) eachObject(objects []store.Object, f func(store.Object)) {
	for _, object := range objects {
		contain.Run(o.config.Logger, "entry "+object.Name, func() { f(object) })
	}
}

func (o *Observer) targetsListed(objects []store.Object, version int64) {
	o.noteList(o.config.Names.Targets, &o.copiedTargets, version)
	present := map[string]bool{}
	o.eachObject(objects, func(object store.Object) {
		// An entry that is invalid or older says nothing new about the target, but it has
		// not been removed either.
		present[o.targetID(object)] = true
		o.applyTarget(object)
	})
	until := laterOf(o.reappearUntil, o.copiedTargets.rewrittenBy())
	for id := range o.targets {
		if !present[id] {
			o.handleMissing(id, until)
		}
	}
}

func (o *Observer) targetsChanged(objects []store.Object) {
	removedUntil := time.Now().Add(eventReappearTime)
	if o.reappearUntil.Before(removedUntil) {
		removedUntil = o.reappearUntil
	}
	o.eachObject(objects, func(object store.Object) {
		if object.Deleted {
			delete(o.heldBack, o.targetID(object))
			o.handleMissing(o.targetID(object), removedUntil)
			return
		}
		o.applyTarget(object)
	})
}

// targetID returns the ID of the target that an entry is about.
func (o *Observer) targetID(object store.Object) string {
	return strings.TrimPrefix(object.Name, o.config.Names.Targets)
}

// applyTarget applies one entry unless it is invalid or older than what is known.
func (o *Observer) applyTarget(object store.Object) {
	now := time.Now()
	t, err := o.config.Names.DecodeTarget(object, now)
	if err == nil {
		err = o.checkService(t)
	}
	if err != nil {
		events.DeclarationInvalid.Log(o.config.Logger).Str("object", object.Name).Err(err).Send()
		return
	}
	known := o.targets[t.ID]
	if known != nil && known.Born > t.Born {
		return
	}
	delete(o.heldBack, t.ID)
	if known != nil && known.Life == t.Life && o.copiedTargets.includes(object.Version, now) {
		t.ColdUntil = laterOf(t.ColdUntil, known.ColdUntil)
		if known.Leaving && !t.Leaving {
			o.heldBack[t.ID] = object
			return
		}
	}
	if known == nil || known.Life != t.Life || known.Leaving != t.Leaving {
		events.TargetObserved.Log(o.config.Logger).Str("target", t.ID).Int64("born", t.Born).Str("service", t.Service).
			Str("address", t.Address).Bool("leaving", t.Leaving).Dur("cold", time.Until(t.ColdUntil)).Int64("revision", object.Version).Send()
	}
	if ended, ok := o.evacuationEndedAt[t.FailureDomain]; ok && known != nil && known.Life == t.Life {
		t.ColdUntil = laterOf(t.ColdUntil, o.coldUntil(t, ended))
	}
	delete(o.missing, t.ID)
	delete(o.removedAt, t.ID)
	o.targets[t.ID] = t
}

// checkService rejects an entry under a known target's ID that names another service
// if that service is not declared: such an entry was written by mistake and does not
// mean that the target has restarted.
func (o *Observer) checkService(t *fleet.Target) error {
	known := o.targets[t.ID]
	if known == nil || known.Service == t.Service || o.fleetConfig == nil || o.fleetConfig.Service(t.Service) != nil {
		return nil
	}
	return fault.New(fault.Invalid, "the entry is ignored; correct its writer", "target %q belongs to service %q, but its entry names the undeclared service %q", t.ID, known.Service, t.Service)
}

// handleMissing handles a target whose entry is missing and may reappear until a time,
// which has passed unless the store has been unavailable. The target is marked as removed
// at once or, if the entry has not reappeared by then, by Tick.
func (o *Observer) handleMissing(id string, until time.Time) {
	if o.targets[id] == nil || !o.removedAt[id].IsZero() {
		return
	}
	now := time.Now()
	if now.Before(until) {
		if known, waiting := o.missing[id]; !waiting || until.Before(known) {
			o.missing[id] = until
		}
		return
	}
	delete(o.missing, id)
	o.markRemoved(id, now)
}

// markRemoved marks a target whose entry has been removed as leaving. The target is
// remembered for a while, since it may still hold keys.
func (o *Observer) markRemoved(id string, now time.Time) {
	t := o.targets[id]
	if t == nil {
		return
	}
	copied := *t
	copied.Leaving = true
	o.targets[id] = &copied
	o.removedAt[id] = now
	events.TargetGone.Log(o.config.Logger).Str("target", id).Int64("born", t.Born).Str("service", t.Service).Send()
}

func (o *Observer) evacuationsListed(objects []store.Object, version int64) {
	o.noteList(o.config.Names.Evacuations, &o.copiedEvacuations, version)
	now := time.Now()
	clear(o.declaredEvacuations)
	for _, object := range objects {
		domain := o.config.Names.DecodeEvacuation(object)
		o.declaredEvacuations[domain] = true
		ended := !o.evacuated[domain] && o.evacuationRevisions[domain] == store.Revision(object.Version)
		if !ended || !o.copiedEvacuations.includes(object.Version, now) {
			o.evacuate(domain)
			o.evacuationRevisions[domain] = store.Revision(object.Version)
		}
	}
	for domain := range o.evacuated {
		if !o.declaredEvacuations[domain] && !now.Before(o.copiedEvacuations.rewrittenBy()) {
			o.restore(domain)
		}
	}
}

func (o *Observer) evacuationsChanged(objects []store.Object) {
	for _, object := range objects {
		domain := o.config.Names.DecodeEvacuation(object)
		if object.Deleted {
			delete(o.declaredEvacuations, domain)
			o.restore(domain)
			continue
		}
		o.declaredEvacuations[domain] = true
		o.evacuationRevisions[domain] = store.Revision(object.Version)
		o.evacuate(domain)
	}
}

func (o *Observer) evacuate(domain string) {
	if o.evacuated[domain] {
		return
	}
	o.evacuated[domain] = true
	events.DomainTakenOut.Log(o.config.Logger).Str("failure_domain", domain).Send()
}

// restore ends the evacuation of a failure domain. Its targets may have turned cold
// in the meantime, which their entries may report only later.
func (o *Observer) restore(domain string) {
	if !o.evacuated[domain] {
		return
	}
	delete(o.evacuated, domain)
	now := time.Now()
	o.evacuationEndedAt[domain] = now
	for id, t := range o.targets {
		if t.FailureDomain != domain {
			continue
		}
		copied := *t
		copied.ColdUntil = laterOf(copied.ColdUntil, o.coldUntil(t, now))
		o.targets[id] = &copied
	}
	events.DomainRestored.Log(o.config.Logger).Str("failure_domain", domain).Send()
}

// coldUntil returns when a target that turned cold at the given time is warm again.
func (o *Observer) coldUntil(t *fleet.Target, since time.Time) time.Time {
	if o.fleetConfig == nil {
		return since
	}
	service := o.fleetConfig.Service(t.Service)
	if service == nil {
		return since
	}
	return since.Add(service.Cold)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

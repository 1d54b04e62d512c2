package distribution

import (
	"context"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
)

const (
	// loadListTimeout bounds one list at the start, before peers are asked.
	loadListTimeout = 2 * time.Second
	// loadRetry is the pause between attempts to load.
	loadRetry = 300 * time.Millisecond
	// loadPatience is how long a starting node waits for more peers once a
	// first one has answered.
	loadPatience = 2 * time.Second
	// loadPeers is the number of peers whose tables a starting node compares
	// when the store is out of reach.
	loadPeers = 3
	// loadWarning is how long a load may take before it is reported.
	loadWarning = 5 * time.Second
)

// load brings the configuration to a starting node: from the store, or else
// from several peers, of which it takes the highest versions. Nothing is
// published before, so that a restart during an outage never shows an older
// version because of one lagging peer.
func (d *Distribution) load(ctx context.Context) {
	started, warned := time.Now(), false
	peers := peerLoad{d: d, answered: map[string]bool{}}
	for ctx.Err() == nil {
		if d.loadFromStore(ctx) {
			d.finishLoad("store", 0)
			return
		}
		if peers.round(ctx) {
			d.finishLoad("peers", len(peers.answered))
			return
		}
		if !warned && time.Since(started) > loadWarning {
			warned = true
			events.ConfigurationMissing.Log(d.config.Logger).Int("peers", len(peers.answered)).Send()
		}
		sleep(ctx, loadRetry)
	}
}

// loadFromStore lists every distributed part of the store.
func (d *Distribution) loadFromStore(ctx context.Context) bool {
	type part struct {
		prefix   string
		objects  []store.Object
		revision int64
	}
	var parts []part
	for _, prefix := range prefixes {
		listCtx, cancel := context.WithTimeout(ctx, loadListTimeout)
		objects, revision, err := d.direct().List(listCtx, prefix)
		cancel()
		if err != nil {
			return false
		}
		parts = append(parts, part{prefix, objects, revision})
	}
	return d.config.Loop.Call(func() {
		for _, p := range parts {
			d.apply(append(d.table.missingFrom(p.prefix, p.objects, p.revision), p.objects...))
		}
	})
}

// finishLoad allows the configuration to be published.
func (d *Distribution) finishLoad(source string, peers int) {
	d.config.Loop.Post(func() {
		d.loaded = true
		events.ConfigurationLoaded.Log(d.config.Logger).Str("source", source).Int("peers", peers).Int64("highest", d.table.highest).Send()
		d.publishSoon()
	})
}

// peerLoad collects the tables of peers that have the whole configuration.
type peerLoad struct {
	d *Distribution
	// answered holds the names of the VMs whose tables were merged.
	answered map[string]bool
	first    time.Time
}

// round asks every peer that has not answered yet, up to the number needed,
// and reports whether enough have.
func (p *peerLoad) round(ctx context.Context) bool {
	for _, name := range p.candidates() {
		if p.enough() {
			break
		}
		if p.answered[name] {
			continue
		}
		if vm := p.merge(ctx, name); vm != "" && vm != p.d.config.Self.Name {
			if len(p.answered) == 0 {
				p.first = time.Now()
			}
			p.answered[vm] = true
		}
	}
	return p.enough()
}

// candidates returns the VMs that are known by now, and the seeds.
func (p *peerLoad) candidates() []string {
	return append(p.others(), p.d.config.SeedPeers...)
}

// others returns the names of the other VMs that are known by now.
func (p *peerLoad) others() []string {
	var names []string
	for name := range p.d.VMs() {
		if name != p.d.config.Self.Name {
			names = append(names, name)
		}
	}
	return names
}

// enough reports whether the peers that answered suffice. All up to loadPeers
// are wanted; after loadPatience half of the peers, up to loadPeers, will do.
// The seeds count as peers, since a lagging peer may know few others.
func (p *peerLoad) enough() bool {
	peers := max(len(p.others()), len(p.d.config.SeedPeers), 1)
	wanted := min(loadPeers, peers)
	if !p.first.IsZero() && time.Since(p.first) > loadPatience {
		wanted = min(loadPeers, (peers+1)/2)
	}
	return len(p.answered) >= wanted
}

// merge takes over what is newer in a peer's table and returns the peer's
// name. It returns "" if the peer did not answer or is itself starting.
func (p *peerLoad) merge(ctx context.Context, peer string) string {
	digest := p.d.digestFromLoop()
	if digest == nil {
		return ""
	}
	reply := p.d.exchange(ctx, peer, digest)
	if reply == nil || !reply.Loaded || p.d.pull(ctx, peer, reply) != nil {
		return ""
	}
	return reply.Vm
}

package entry

import (
	"sync"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// maxRedirects bounds the remembered redirects.
const maxRedirects = 8192

// term orders what is known of who serves a key: a higher fence names a later owner
// and, at one fence, a higher epoch a later dispatcher of that owner.
type term struct{ fence, epoch uint64 }

func (t term) before(other term) bool {
	return t.fence < other.fence || t.fence == other.fence && t.epoch < other.epoch
}

func termOf(redirect *peerv1.Redirect) term { return term{redirect.Fence, redirect.Epoch} }

// redirectKey names a key within its cell.
type redirectKey struct{ cell, key string }

// redirectCache remembers redirects that are newer than the assignment that
// the snapshot shows. A redirect counts while its term is later.
type redirectCache struct {
	mu    sync.RWMutex
	known map[redirectKey]*peerv1.Redirect
}

func newRedirectCache() *redirectCache {
	return &redirectCache{known: make(map[redirectKey]*peerv1.Redirect)}
}

// add remembers a redirect unless one that is as new is known. When the
// cache is full an arbitrary entry makes room: it is learned again if needed.
func (c *redirectCache) add(key string, redirect *peerv1.Redirect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := redirectKey{cell: redirect.Cell, key: key}
	if old := c.known[at]; old != nil && !termOf(old).before(termOf(redirect)) {
		return
	}
	if len(c.known) >= maxRedirects {
		for other := range c.known {
			delete(c.known, other)
			break
		}
	}
	c.known[at] = redirect
}

// overlay returns the redirect of a key that is newer than a route, or nil. A
// redirect that the record has caught up with is forgotten.
func (c *redirectCache) overlay(key string, route *routing.Route) *peerv1.Redirect {
	at := redirectKey{cell: route.Cell, key: key}
	c.mu.RLock()
	redirect := c.known[at]
	c.mu.RUnlock()
	if redirect == nil || (term{route.Fence, route.Epoch}).before(termOf(redirect)) {
		return redirect
	}
	c.forget(key, route.Cell, termOf(redirect))
	return nil
}

// forget removes the redirect of a key unless a later one is known.
func (c *redirectCache) forget(key, cell string, until term) {
	at := redirectKey{cell: cell, key: key}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.known[at]; known != nil && !until.before(termOf(known)) {
		delete(c.known, at)
	}
}

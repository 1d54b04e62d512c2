package entry

import (
	"sync"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// maxRedirects bounds the remembered redirects.
const maxRedirects = 8192

func recencyOf(redirect *peerv1.Redirect) assignment.Recency {
	return assignment.Recency{Fence: redirect.Fence, Epoch: redirect.Epoch}
}

// redirectKey names a key within its cell.
type redirectKey struct{ cell, key string }

// redirectCache remembers redirects that are newer than the assignment that
// the snapshot shows. A redirect counts while it is more recent.
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
	if old := c.known[at]; old != nil && !recencyOf(old).Before(recencyOf(redirect)) {
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
	if redirect == nil || route.Recency().Before(recencyOf(redirect)) {
		return redirect
	}
	c.forget(key, route.Cell, recencyOf(redirect))
	return nil
}

// forget removes the redirect of a key unless a later one is known.
func (c *redirectCache) forget(key, cell string, until assignment.Recency) {
	at := redirectKey{cell: cell, key: key}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.known[at]; known != nil && !until.Before(recencyOf(known)) {
		delete(c.known, at)
	}
}

// Package faultproxy puts a fault-injecting TCP proxy between the processes of
// a test. It runs Toxiproxy in the test's own process.
package faultproxy

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Direction is the way that data takes through a link.
type Direction string

const (
	// ToServer is from the side that connected to the side that listens.
	ToServer Direction = "upstream"
	// ToClient is the way back.
	ToClient Direction = "downstream"
)

// Proxy is a set of links that is torn down at the end of the test.
type Proxy struct {
	t      testing.TB
	server *toxiproxy.ApiServer
}

// New returns an empty set of links.
func New(t testing.TB) *Proxy {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	return &Proxy{t: t, server: server}
}

// Link is one proxied address.
type Link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
	// Address is where to connect instead of the real address.
	Address string
}

// Link returns a new link to the upstream address.
func (p *Proxy) Link(name, upstream string) *Link {
	p.t.Helper()
	link := &Link{t: p.t, proxy: toxiproxy.NewProxy(p.server, name, "127.0.0.1:0", upstream)}
	assert.NilError(p.t, link.proxy.Start())
	link.Address = link.proxy.Listen
	p.t.Cleanup(link.proxy.Stop)
	return link
}

// Cut drops all data in a direction without closing connections, as a network
// partition does. Heal ends it.
func (l *Link) Cut(direction Direction) {
	l.add("cut-"+string(direction), "timeout", direction, `{"timeout":0}`)
}

// CutBoth drops all data in both directions.
func (l *Link) CutBoth() {
	l.Cut(ToServer)
	l.Cut(ToClient)
}

// Delay adds latency in a direction.
func (l *Link) Delay(direction Direction, latency time.Duration) {
	l.add("delay-"+string(direction), "latency", direction, fmt.Sprintf(`{"latency":%d}`, latency.Milliseconds()))
}

// ResetAfter closes connections after the number of bytes in a direction.
func (l *Link) ResetAfter(direction Direction, bytes int64) {
	l.add("limit-"+string(direction), "limit_data", direction, fmt.Sprintf(`{"bytes":%d}`, bytes))
}

// Break closes all connections and refuses new ones until Restore.
func (l *Link) Break() { l.proxy.Stop() }

// Restore accepts connections again after Break.
func (l *Link) Restore() {
	l.t.Helper()
	l.proxy.Listen = l.Address
	assert.NilError(l.t, l.proxy.Start())
}

// Redirect closes all connections and leads new ones to another address.
func (l *Link) Redirect(upstream string) {
	l.Break()
	l.proxy.Upstream = upstream
	l.Restore()
}

// Heal removes all faults but silence, which is for good. Connections that were cut are
// closed, as their data is lost.
func (l *Link) Heal() {
	l.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, toxic := range l.proxy.Toxics.GetToxicArray() {
		if wrapper := toxic.(*toxics.ToxicWrapper); wrapper.Type != silenceType {
			assert.NilError(l.t, l.proxy.Toxics.RemoveToxic(ctx, wrapper.Name))
		}
	}
}

func (l *Link) add(name, kind string, direction Direction, attributes string) {
	l.t.Helper()
	toxic := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, direction, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	assert.NilError(l.t, err)
}

package faultproxy

import (
	"fmt"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy/v2/toxics"
	"gotest.tools/v3/assert"
)

// silenceType is the name under which silenceToxic is registered.
const silenceType = "silence"

func init() { toxics.Register(silenceType, new(silenceToxic)) }

// silenceToxic makes connections silent for good: their bytes are lost, and neither end
// learns that the other has closed.
type silenceToxic struct {
	// Before is when connections have to have been known to be silent, in nanoseconds since
	// the Unix epoch.
	Before int64 `json:"before"`
}

// silenceState is the state of one direction of a connection.
type silenceState struct {
	// knownAt is when the connection was opened or, if that was before the toxic was added,
	// when it was added.
	knownAt int64
}

// NewState implements toxics.StatefulToxic.
func (t *silenceToxic) NewState() any { return &silenceState{time.Now().UnixNano()} }

// Pipe implements toxics.Toxic. It is called anew when the toxic is updated.
func (t *silenceToxic) Pipe(stub *toxics.ToxicStub) {
	if stub.State.(*silenceState).knownAt >= t.Before {
		new(toxics.NoopToxic).Pipe(stub)
		return
	}
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				<-stub.Interrupt
				return
			}
		}
	}
}

// Silence makes the open connections silent for good, without closing them, while new ones
// work. Heal does not end it.
func (l *Link) Silence() {
	l.t.Helper()
	for _, direction := range []Direction{ToServer, ToClient} {
		name := silenceType + "-" + string(direction)
		if l.proxy.Toxics.GetToxic(name) == nil {
			l.add(name, silenceType, direction, `{"before":0}`)
		}
		update := fmt.Sprintf(`{"toxicity":1,"attributes":{"before":%d}}`, time.Now().UnixNano())
		_, err := l.proxy.Toxics.UpdateToxicJson(name, strings.NewReader(update))
		assert.NilError(l.t, err)
	}
}

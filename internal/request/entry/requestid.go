package entry

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// requestIDs gives every request an id of its own. Ids differ between VMs and
// between starts of one daemon.
type requestIDs struct {
	prefix string
	last   atomic.Uint64
}

func newRequestIDs(self string) *requestIDs {
	var start [6]byte
	_, _ = rand.Read(start[:]) // never fails
	return &requestIDs{prefix: self + "-" + hex.EncodeToString(start[:]) + "-"}
}

func (ids *requestIDs) next() string {
	return ids.prefix + strconv.FormatUint(ids.last.Add(1), 36)
}

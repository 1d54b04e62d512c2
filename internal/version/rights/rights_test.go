package rights

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

func TestLeaseOnlyMovesForward(t *testing.T) {
	var lease Lease
	assert.Assert(t, !lease.Valid())
	lease.Extend(Monotonic() + time.Hour)
	lease.Extend(Monotonic() - time.Hour)
	assert.Assert(t, lease.Valid())
}

func TestRevokedLeaseStaysRevoked(t *testing.T) {
	var lease Lease
	lease.Extend(Monotonic() + time.Hour)
	lease.Revoke()
	lease.Extend(Monotonic() + 2*time.Hour)
	assert.Assert(t, !lease.Valid())
	assert.Assert(t, lease.Remaining(0) < 0)
}

func TestFindPrefersTheHotKey(t *testing.T) {
	hash := assignment.HashKey("furnace-7")
	target := Target{Slices: []Held{
		{Slice: assignment.Slice{First: 0, Last: ^uint64(0)}, Fence: 1},
		{Slice: assignment.Slice{First: hash, Last: hash, Key: "furnace-7"}, Fence: 2},
	}}
	assert.Equal(t, target.Find("furnace-7", hash).Fence, uint64(2))
	assert.Equal(t, target.Find("furnace-8", assignment.HashKey("furnace-8")).Fence, uint64(1))
	target.Slices = target.Slices[1:]
	assert.Assert(t, target.Find("furnace-8", assignment.HashKey("furnace-8")) == nil)
}

func TestFindRedirectByKey(t *testing.T) {
	table := Table{Redirects: map[string][]Redirect{"slots/0": {{Slice: assignment.Slice{First: 0, Last: 10}, Target: "slots-2"}}}}
	assert.Equal(t, table.FindRedirect("slots/0", "any", 10).Target, "slots-2")
	assert.Assert(t, table.FindRedirect("slots/0", "any", 11) == nil)
	assert.Assert(t, table.FindRedirect("slots/1", "any", 10) == nil)
}

// TestFindRedirectReturnsTheNewest guards against the redirect of an earlier move of a key.
func TestFindRedirectReturnsTheNewest(t *testing.T) {
	slice := assignment.Slice{First: 0, Last: 10}
	table := Table{Redirects: map[string][]Redirect{"slots/0": {
		{Slice: slice, Target: "slots-2", Dispatcher: "vm-1", Fence: 3, Epoch: 9},
		{Slice: slice, Target: "slots-3", Dispatcher: "vm-3", Fence: 4, Epoch: 2},
		{Slice: slice, Target: "slots-3", Dispatcher: "vm-2", Fence: 4, Epoch: 1},
	}}}
	assert.Equal(t, table.FindRedirect("slots/0", "any", 5).Dispatcher, "vm-3")
}

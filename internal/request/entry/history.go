package entry

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// history is what has been tried for one request.
type history struct {
	// targets are the targets of a freely placed service that refused.
	targets []string
	// first is the holder that the last destination names first.
	first holder
	// useOther sends the next attempt to the other holder of that destination.
	useOther  bool
	redirects int
	// followed is the recency of the latest redirect that was followed.
	followed assignment.Recency
	retries  int
	repairs  int
	// attempts counts the refused attempts since the last wait of a repair.
	attempts int
	// repairUntil ends the wait for a key to be served again; zero before the first.
	repairUntil time.Time
	// waiting is set while the request counts among the service's repair waits.
	waiting bool
}

// holder is a VM as the dispatcher of a target.
type holder struct{ target, vm string }

func (h *history) tried(target string) bool { return slices.Contains(h.targets, target) }

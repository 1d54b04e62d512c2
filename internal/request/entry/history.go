package entry

import (
	"slices"
	"time"
)

// history is what has been tried for one request.
type history struct {
	// targets are the targets of a freely placed service that refused.
	targets []string
	// useOther sends the next attempt to the target's other holder.
	useOther  bool
	redirects int
	// followed is the highest fence of a redirect that was followed.
	followed uint64
	retries  int
	repairs  int
	// repairUntil ends the wait for a key to be served again; zero before the first.
	repairUntil time.Time
	// waiting is set while the request counts among the service's repair waits.
	waiting bool
}

func (h *history) tried(target string) bool { return slices.Contains(h.targets, target) }

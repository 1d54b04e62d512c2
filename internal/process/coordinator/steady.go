package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// steadyWindow is the time over which the speed of a target is observed before it moves
// keys. A machine that is slow for half a second looks slow for up to 1.4 s, since the broker
// averages over some seven requests and a target gets ten per second; the median over twice
// that is not affected. A target that stays slow is relieved 1.75 s later in exchange.
const steadyWindow = 3 * time.Second

// steadySpeeds are the recently observed speeds of targets. It answers machines that are slow
// for a moment: keys that are moved away and back cost each of them a handover, and requests
// on the way are refused by the former owner.
type steadySpeeds map[fleet.Life][]observedSpeed

type observedSpeed struct {
	at    time.Time
	speed float64
}

// add records the speed of a target, relative to the mean of its service, and returns the
// median over steadyWindow.
func (s steadySpeeds) add(life fleet.Life, speed float64, now time.Time) float64 {
	kept := slices.DeleteFunc(s[life], func(o observedSpeed) bool { return now.Sub(o.at) > steadyWindow })
	kept = append(kept, observedSpeed{now, speed})
	s[life] = kept
	speeds := make([]float64, len(kept))
	for i, o := range kept {
		speeds[i] = o.speed
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

// prune drops the targets that are not in use any more.
func (s steadySpeeds) prune(now time.Time) {
	maps.DeleteFunc(s, func(_ fleet.Life, seen []observedSpeed) bool { return now.Sub(seen[len(seen)-1].at) > steadyWindow })
}

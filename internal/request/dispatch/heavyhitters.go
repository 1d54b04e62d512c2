package dispatch

import "sort"

const (
	// trackedKeys is the number of counters of the sketch. A key with more than
	// 1/trackedKeys of the requests is always among them.
	trackedKeys = 64
	// reportedKeys is the largest number of hot keys in a report.
	reportedKeys = 8
	// hotShare is the least share of a target's requests that makes a key hot.
	hotShare = 0.05
	// keyDecay is what remains of a count after each second.
	keyDecay = 0.9
)

// heavyHitters finds the hottest keys with a fixed number of counters (the
// space-saving algorithm). Counts decay, so that they follow the recent load.
type heavyHitters struct {
	counters map[string]*keyCounter
}

// keyCounter counts a key. The true count lies between count-overcount and count.
type keyCounter struct {
	count     float64
	overcount float64
}

// keyRate is a hot key with its request rate.
type keyRate struct {
	key       string
	perSecond float64
}

func newHeavyHitters() heavyHitters {
	return heavyHitters{counters: make(map[string]*keyCounter, trackedKeys)}
}

// add counts a request of a key.
func (h *heavyHitters) add(key string) {
	if counter, ok := h.counters[key]; ok {
		counter.count++
		return
	}
	if len(h.counters) < trackedKeys {
		h.counters[key] = &keyCounter{count: 1}
		return
	}
	smallestKey, smallest := h.smallest()
	delete(h.counters, smallestKey)
	h.counters[key] = &keyCounter{count: smallest + 1, overcount: smallest}
}

func (h *heavyHitters) smallest() (string, float64) {
	smallestKey, smallest := "", 0.0
	for key, counter := range h.counters {
		if smallestKey == "" || counter.count < smallest {
			smallestKey, smallest = key, counter.count
		}
	}
	return smallestKey, smallest
}

// decay ages all counts by one second.
func (h *heavyHitters) decay() {
	for key, counter := range h.counters {
		counter.count *= keyDecay
		counter.overcount *= keyDecay
		if counter.count < 0.5 {
			delete(h.counters, key)
		}
	}
}

// hottest returns the keys that have at least hotShare of a total rate, the
// hottest first. Only the certain part of a count is reported.
func (h *heavyHitters) hottest(totalPerSecond float64) []keyRate {
	var hot []keyRate
	for key, counter := range h.counters {
		// A steady rate r keeps a decayed count of about r/(1-keyDecay).
		perSecond := (counter.count - counter.overcount) * (1 - keyDecay)
		if perSecond > 0 && perSecond >= hotShare*totalPerSecond {
			hot = append(hot, keyRate{key: key, perSecond: perSecond})
		}
	}
	sort.Slice(hot, func(i, j int) bool {
		if hot[i].perSecond != hot[j].perSecond {
			return hot[i].perSecond > hot[j].perSecond
		}
		return hot[i].key < hot[j].key
	})
	return hot[:min(len(hot), reportedKeys)]
}

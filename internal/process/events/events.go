// Package events numbers everything that the daemon logs, so that operators can
// search, count and alert by number. docs/EVENTS.md lists the same events; a test
// keeps it in step with the code.
//
// Numbers are never reused. Each area has a range and a file of its own:
// 1000 process, 2000 routing, 3000 dispatch, 4000 ownership, 5000 placement,
// 6000 configuration and membership.
package events

import (
	"sort"

	"github.com/rs/zerolog"
)

// Event is one kind of log line.
type Event struct {
	Number int
	// Name is the short name, which never changes, e.g. "request-routed".
	Name string
	// Level is the level at which the event is logged.
	Level zerolog.Level
	// Meaning is one sentence for operators; it appears in the catalogue.
	Meaning string
}

// catalogue maps numbers to all events.
var catalogue = map[int]Event{}

// register adds an event to the catalogue. It panics if the number is in use already,
// which is a programming error.
func register(number int, name string, level zerolog.Level, meaning string) Event {
	if _, taken := catalogue[number]; taken {
		panic("events: number used twice: " + name)
	}
	event := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue[number] = event
	return event
}

// All returns the catalogue sorted by number.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, event := range catalogue {
		all = append(all, event)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Log starts the log line of the event; the caller adds fields and calls Send.
func (e Event) Log(logger *zerolog.Logger) *zerolog.Event {
	return logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

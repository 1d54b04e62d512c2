// Package faketarget is a small target for tests: a server with slots, service
// times, cold starts, grants and faults that can be set, and a record of every
// execution against which outcomes are checked.
//
// It follows docs/TARGETS.md. The record is served at /fake/record; a POST of
// a part of Settings to /fake/settings changes just the named fields.
package faketarget

import "time"

// Paths of the test side of a fake target.
const (
	PathRecord   = "/fake/record"
	PathSettings = "/fake/settings"
)

// Headers by which a request chooses its own treatment.
const (
	// HeaderServiceMillis replaces the service time.
	HeaderServiceMillis = "Fake-Service-Millis"
	// HeaderAnswerBytes replaces the length of the answer.
	HeaderAnswerBytes = "Fake-Answer-Bytes"
	// HeaderFault asks for a fault in the answer.
	HeaderFault = "Fake-Fault"
)

// Fault is a defect of an answer.
type Fault string

// The faults. All but FaultLate leave the connection unusable.
const (
	// FaultNone is a correct answer.
	FaultNone Fault = ""
	// FaultLate delays the answer past the deadline and ignores cancellation.
	FaultLate Fault = "late"
	// FaultCrossed answers with another request's identity.
	FaultCrossed Fault = "crossed"
	// FaultShort ends the connection before the declared length.
	FaultShort Fault = "short"
	// FaultShortChunked ends the connection before the last chunk.
	FaultShortChunked Fault = "short-chunked"
	// FaultEndless declares no length and ends with the connection.
	FaultEndless Fault = "endless"
	// FaultDoubled sends the answer twice.
	FaultDoubled Fault = "doubled"
	// FaultReset resets the connection after the execution, before any answer.
	FaultReset Fault = "reset"
	// FaultGarbage answers with bytes that are not HTTP.
	FaultGarbage Fault = "garbage"
)

// GrantMode says how a fake target treats grants.
type GrantMode string

// The grant modes.
const (
	// GrantsIgnored accepts every key.
	GrantsIgnored GrantMode = "ignored"
	// GrantsExpire accepts keys under a grant that has not lapsed.
	GrantsExpire GrantMode = "expire"
	// GrantsHold accepts keys under a grant until it is revoked.
	GrantsHold GrantMode = "hold"
)

// Settings describe a fake target.
type Settings struct {
	// Incarnation is reported on every answer; a change is a restart. "" reports none.
	Incarnation string `json:"incarnation"`
	// Slots is the number of requests served at once; others wait inside.
	Slots int `json:"slots"`
	// ServiceMillis is the service time of a request.
	ServiceMillis float64 `json:"serviceMillis"`
	// Exponential draws service times from an exponential distribution with
	// the mean ServiceMillis, by the fixed Seed.
	Exponential bool   `json:"exponential"`
	Seed        uint64 `json:"seed"`
	// Slowdown multiplies the service time; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// AnswerBytes is the length of an answer; it has at least its identity line.
	AnswerBytes int `json:"answerBytes"`
	// Chunked sends answers without a declared length.
	Chunked bool `json:"chunked"`
	// ShedAbove refuses requests beyond this number inside; 0 means never.
	ShedAbove int  `json:"shedAbove"`
	Cold      Cold `json:"cold"`
	// Grants and ChecksFences say how ownership is enforced.
	Grants       GrantMode `json:"grants"`
	ChecksFences bool      `json:"checksFences"`
	// IgnoresDeadlines runs requests past their deadline and latest start.
	IgnoresDeadlines bool `json:"ignoresDeadlines"`
	// Journal is a folder in which each start of an execution is written down
	// before it runs, in a file of this incarnation, so that the record
	// survives a kill; "" means none. It is read at the start only.
	Journal string `json:"journal"`
	// Leaving marks the time after which new work is counted as such.
	Leaving bool `json:"leaving"`
	// RefusesWhenLeaving refuses new work as not run while Leaving.
	RefusesWhenLeaving bool `json:"refusesWhenLeaving"`
	// Fault and FaultEvery put a fault into each FaultEvery-th answer; 0 means none.
	Fault      Fault `json:"fault"`
	FaultEvery int   `json:"faultEvery"`
}

// Cold describes the time after a start in which a target bears little.
type Cold struct {
	// Round is raised to turn the target cold again without a new incarnation.
	Round int `json:"round"`
	// Answers is the number of answers after which the target is warm; 0 means
	// that it never is cold.
	Answers int `json:"answers"`
	// Slots is the number of requests that the cold target bears.
	Slots int `json:"slots"`
	// Slowdown multiplies the service time while cold; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// Collapse multiplies it once more while more than Slots are inside; 0
	// means 1. While it lasts, answers do not warm the target.
	Collapse float64 `json:"collapse"`
	// Sheds refuses requests beyond Slots as not run instead of collapsing.
	Sheds bool `json:"sheds"`
}

// serviceTime returns the service time for a state of the target.
func (s *Settings) serviceTime(base time.Duration, cold, overloaded bool) time.Duration {
	factor := orOne(s.Slowdown)
	if cold {
		factor *= orOne(s.Cold.Slowdown)
	}
	if cold && overloaded {
		factor *= orOne(s.Cold.Collapse)
	}
	return time.Duration(float64(base) * factor)
}

func orOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}

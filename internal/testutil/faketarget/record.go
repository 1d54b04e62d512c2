package faketarget

import "time"

// Execution is one request that the target began to run.
type Execution struct {
	RequestID   string    `json:"requestId"`
	Incarnation string    `json:"incarnation"`
	Method      string    `json:"method"`
	URI         string    `json:"uri"`
	Key         string    `json:"key"`
	Fence       uint64    `json:"fence"`
	Epoch       uint64    `json:"epoch"`
	Start       time.Time `json:"start"`
	// End is zero while the request runs.
	End time.Time `json:"end"`
	// BodyBytes and BodyDigest (SHA-256, hexadecimal) describe the body as received.
	BodyBytes  int64  `json:"bodyBytes"`
	BodyDigest string `json:"bodyDigest"`
	// BodyComplete is set if the body was received to its end.
	BodyComplete bool `json:"bodyComplete"`
	// Canceled is set if the sender went away before the end.
	Canceled bool `json:"canceled"`
	Cold     bool `json:"cold"`
}

// Record is what a fake target has seen since its start.
type Record struct {
	Executions []Execution `json:"executions"`
	// Refused counts refusals by the value of the Not-Run header.
	Refused map[string]int `json:"refused"`
	// MaxInside is the largest number of requests inside at once.
	MaxInside int `json:"maxInside"`
	// MaxInsideCold is the same while the target was cold.
	MaxInsideCold int `json:"maxInsideCold"`
	// ColdExceeded counts requests that came while the cold target was full.
	ColdExceeded int `json:"coldExceeded"`
	// SlotsExceeded counts requests that came while all slots were taken.
	SlotsExceeded int `json:"slotsExceeded"`
	// LeavingSince is when the target was told to leave, zero if it was not.
	LeavingSince time.Time `json:"leavingSince"`
	// LastStart is when the last request began.
	LastStart time.Time `json:"lastStart"`
	// Cold is set while the target is cold.
	Cold bool `json:"cold"`
	// Inside is the number of requests inside now.
	Inside int `json:"inside"`
}

// CountByRequest returns how often each request was run.
func (r *Record) CountByRequest() map[string]int {
	counts := make(map[string]int, len(r.Executions))
	for i := range r.Executions {
		counts[r.Executions[i].RequestID]++
	}
	return counts
}

// StartsAfterLeaving counts executions that began later than grace after the
// target was told to leave.
func (r *Record) StartsAfterLeaving(grace time.Duration) int {
	if r.LeavingSince.IsZero() {
		return 0
	}
	count := 0
	for i := range r.Executions {
		if r.Executions[i].Start.After(r.LeavingSince.Add(grace)) {
			count++
		}
	}
	return count
}

// clone returns a copy that later executions do not change.
func (r *Record) clone() Record {
	copied := *r
	copied.Executions = append([]Execution(nil), r.Executions...)
	copied.Refused = make(map[string]int, len(r.Refused))
	for reason, count := range r.Refused {
		copied.Refused[reason] = count
	}
	return copied
}

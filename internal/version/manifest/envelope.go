package manifest

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// Envelope is the stored form of a manifest. The operation id identifies the
// submission, so that a submitter recognises its own write after a lost answer
// and a repeated submission changes nothing.
type Envelope struct {
	OperationID string `json:"operationId"`
	// Earlier lists the operations of the latest versions before this one, the
	// newest last, so that a submission is recognised after it was superseded.
	Earlier  []Operation `json:"earlier,omitempty"`
	Manifest *Manifest   `json:"manifest"`
}

// Operation is an accepted submission with the version that it produced.
type Operation struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
}

// earlierLimit is the number of earlier operations that an envelope keeps.
const earlierLimit = 64

// Next returns the envelope that supersedes this one, which is at the version
// given, with a manifest and its operation id.
func (e *Envelope) Next(version int64, m *Manifest, operationID string) *Envelope {
	earlier := append(slices.Clone(e.Earlier), Operation{ID: e.OperationID, Version: version})
	if len(earlier) > earlierLimit {
		earlier = earlier[len(earlier)-earlierLimit:]
	}
	return &Envelope{OperationID: operationID, Earlier: earlier, Manifest: m}
}

// VersionOf returns the version that an operation produced, if it is the one
// of this envelope, which is at the version given, or one of the earlier ones.
func (e *Envelope) VersionOf(operationID string, version int64) (int64, bool) {
	if e.OperationID == operationID {
		return version, true
	}
	i := slices.IndexFunc(e.Earlier, func(o Operation) bool { return o.ID == operationID })
	if i < 0 {
		return 0, false
	}
	return e.Earlier[i].Version, true
}

// storedEnvelope keeps the manifest's document for strict decoding.
type storedEnvelope struct {
	OperationID string          `json:"operationId"`
	Earlier     []Operation     `json:"earlier,omitempty"`
	Manifest    json.RawMessage `json:"manifest"`
}

// Encode returns the stored form.
func (e *Envelope) Encode() ([]byte, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "report this as a defect", "the manifest cannot be written as JSON")
	}
	return value, nil
}

// DecodeEnvelope reads the stored form and validates the manifest.
func DecodeEnvelope(value []byte) (*Envelope, error) {
	var stored storedEnvelope
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&stored); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "submit a manifest with chestnutctl", "the stored manifest has no envelope")
	}
	m, err := Decode(stored.Manifest)
	if err != nil {
		return nil, err
	}
	return &Envelope{OperationID: stored.OperationID, Earlier: stored.Earlier, Manifest: m}, nil
}

// OperationOf returns the operation id of a stored manifest, or "" if the
// value cannot be read.
func OperationOf(value []byte) string {
	var stored storedEnvelope
	if json.Unmarshal(value, &stored) != nil {
		return ""
	}
	return stored.OperationID
}

// Clone returns a deep copy, to be changed into the next version.
func (m *Manifest) Clone() *Manifest {
	next := *m
	next.FailureDomains = slices.Clone(m.FailureDomains)
	next.Services = slices.Clone(m.Services)
	for i := range next.Services {
		next.Services[i].Match.Hosts = slices.Clone(m.Services[i].Match.Hosts)
		next.Services[i].Classes = slices.Clone(m.Services[i].Classes)
		if key := m.Services[i].Key; key != nil {
			copied := *key
			next.Services[i].Key = &copied
		}
	}
	next.Targets = slices.Clone(m.Targets)
	next.DrainVMs = slices.Clone(m.DrainVMs)
	return &next
}

// sortedNames returns the keys of a JSON object in a stable order.
func sortedNames(fields map[string]any) []string { return slices.Sorted(maps.Keys(fields)) }

package entry

import (
	"sync/atomic"

	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// maxRepairWaits bounds, per service, the requests that wait at once for a key
// to be served again.
const maxRepairWaits = 4096

// serviceState is what an entry remembers of a service from request to request.
type serviceState struct {
	retries budget
	hedges  budget
	// repairWaits counts requests that wait for a key to be served again.
	repairWaits atomic.Int64
	hedgeDelay  quantile
	candidates  atomic.Pointer[candidateList]
}

// serviceState returns the state of a service.
func (h *Handler) serviceState(declared *manifest.Service) *serviceState {
	if state, ok := h.services.Load(declared.Name); ok {
		return state.(*serviceState)
	}
	state := &serviceState{}
	state.retries.refill()
	loaded, _ := h.services.LoadOrStore(declared.Name, state)
	return loaded.(*serviceState)
}

// retryPercent returns the retry budget of a service as a share of first attempts.
func retryPercent(declared *manifest.Service) int {
	if declared.RetryPercent == 0 {
		return manifest.DefaultRetryPercent
	}
	return declared.RetryPercent
}

// beginRepairWait reports whether one more request may wait. The caller then
// calls endRepairWait.
func (s *serviceState) beginRepairWait() bool {
	if s.repairWaits.Add(1) > maxRepairWaits {
		s.repairWaits.Add(-1)
		return false
	}
	return true
}

func (s *serviceState) endRepairWait() { s.repairWaits.Add(-1) }

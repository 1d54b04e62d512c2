package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// Headers that callers may set, in canonical form.
const (
	// DeadlineHeader is the time that the caller gives the request, in milliseconds.
	DeadlineHeader = "Chestnutcourse-Deadline-Ms"
	// IdempotencyHeader makes a request idempotent: two with the same value are one.
	IdempotencyHeader = "Idempotency-Key"
	// RequestIDHeader tells the caller the id under which the request is logged.
	RequestIDHeader = "Chestnutcourse-Request-Id"
)

// params is what routing needs to know of a request.
type params struct {
	key            string
	timeout        time.Duration
	class          string
	idempotencyKey string
	idempotent     bool
}

// readParams reads the parameters of a request. It reports false with the
// reason of a refusal.
func readParams(r *http.Request, service *manifest.Service) (params, outcome.Reason, bool) {
	p := params{
		class:          trafficClass(r, service.Classes),
		idempotencyKey: r.Header.Get(IdempotencyHeader),
	}
	p.idempotent = p.idempotencyKey != "" || idempotentMethod(r.Method)
	if r.Method == http.MethodConnect {
		return p, outcome.BadRequest, false
	}
	var reason outcome.Reason
	var ok bool
	if p.timeout, reason, ok = readTimeout(r, service.Limits); !ok {
		return p, reason, false
	}
	p.key, reason, ok = extractKey(r, service)
	return p, reason, ok
}

// readTimeout returns the time that a request may take, capped by the manifest.
func readTimeout(r *http.Request, limits manifest.Limits) (time.Duration, outcome.Reason, bool) {
	values := r.Header[DeadlineHeader]
	if len(values) == 0 {
		return min(limits.Deadline(), limits.MaxDeadline()), "", true
	}
	millis, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 {
		return 0, outcome.BadRequest, false
	}
	if millis <= 0 {
		return 0, outcome.DeadlinePassed, false
	}
	// The cap comes first, so that the product cannot overflow.
	millis = min(millis, limits.MaxDeadline().Milliseconds())
	return time.Duration(millis) * time.Millisecond, "", true
}

// idempotentMethod reports whether a method is idempotent by definition (RFC 9110, 9.2.2).
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// trafficClass returns the name of the first class that selects the request;
// the last class takes what no other selects.
func trafficClass(r *http.Request, classes []manifest.Class) string {
	for i := range classes {
		if selects(&classes[i], r) {
			return classes[i].Name
		}
	}
	if len(classes) > 0 {
		return classes[len(classes)-1].Name
	}
	return ""
}

func selects(class *manifest.Class, r *http.Request) bool {
	if class.Header != "" {
		return r.Header.Get(class.Header) == class.Value
	}
	return class.Method != "" && class.Method == r.Method
}

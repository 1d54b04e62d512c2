package entry

import (
	"net/http"
	"strings"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/hopbyhop"
)

// internalPrefix begins the names of headers that only the system sets. A
// caller must not be able to forge a fence, nor a target an outcome.
const internalPrefix = "Chestnutcourse-"

// passes reports whether a header is passed on. connection holds the values of
// the Connection header. Content-Length travels in a field of its own.
func passes(name string, connection []string) bool {
	return !hopbyhop.Header(name, connection) && name != "Content-Length" && !strings.HasPrefix(name, internalPrefix)
}

// requestHeaders returns the caller's headers as they travel to the target.
func requestHeaders(from http.Header) []*peerv1.Header {
	connection := from["Connection"]
	count := 0
	for _, values := range from {
		count += len(values)
	}
	// One array for all lines saves an allocation for each.
	lines := make([]peerv1.Header, count)
	headers := make([]*peerv1.Header, 0, count)
	for name, values := range from {
		if !passes(name, connection) {
			continue
		}
		for _, value := range values {
			line := &lines[len(headers)]
			line.Name, line.Value = name, value
			headers = append(headers, line)
		}
	}
	return headers
}

// copyResponseHeaders adds the target's headers to the answer.
func copyResponseHeaders(to http.Header, from []*peerv1.Header) {
	var connection []string
	for _, line := range from {
		if strings.EqualFold(line.Name, "Connection") {
			connection = append(connection, line.Value)
		}
	}
	for _, line := range from {
		name := http.CanonicalHeaderKey(line.Name)
		if passes(name, connection) {
			to[name] = append(to[name], line.Value)
		}
	}
}

package entry

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// extractKey returns the key of a request; empty for a freely placed service.
// Two different keys in one request are refused, since the target might read
// the other one.
func extractKey(r *http.Request, service *manifest.Service) (string, outcome.Reason, bool) {
	if service.Placement != manifest.Keyed || service.Key == nil {
		return "", "", true
	}
	var key string
	var ok bool
	switch service.Key.From {
	case manifest.KeyFromHeader:
		key, ok = single(r.Header.Values(service.Key.Name))
	case manifest.KeyFromPath:
		key, ok = pathSegment(r.URL, service.Match.PathPrefix, service.Key.Segment)
	case manifest.KeyFromQuery:
		key, ok = queryParameter(r.URL.RawQuery, service.Key.Name)
	}
	if !ok {
		return "", outcome.BadRequest, false
	}
	if key == "" {
		return "", outcome.NoKey, false
	}
	return key, "", true
}

// single returns the one value of a list, "" if there is none, and reports
// false if values differ.
func single(values []string) (string, bool) {
	if len(values) == 0 {
		return "", true
	}
	for _, value := range values[1:] {
		if value != values[0] {
			return "", false
		}
	}
	return values[0], true
}

// pathSegment returns a segment of the path, counted from 0 after the prefix.
// Segments are told apart before escapes are decoded, so a key may contain an
// escaped slash.
func pathSegment(u *url.URL, prefix string, segment int) (string, bool) {
	rest := strings.TrimPrefix(u.EscapedPath(), strings.TrimSuffix(prefix, "/"))
	rest = strings.TrimPrefix(rest, "/")
	for range segment {
		_, after, found := strings.Cut(rest, "/")
		if !found {
			return "", true
		}
		rest = after
	}
	escaped, _, _ := strings.Cut(rest, "/")
	key, err := url.PathUnescape(escaped)
	return key, err == nil
}

// queryParameter returns the value of a query parameter.
func queryParameter(query, name string) (string, bool) {
	key, seen := "", false
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		rawName, rawValue, _ := strings.Cut(pair, "=")
		decoded, err := url.QueryUnescape(rawName)
		if err != nil || decoded != name {
			continue
		}
		value, err := url.QueryUnescape(rawValue)
		if err != nil || seen && value != key {
			return "", false
		}
		key, seen = value, true
	}
	return key, true
}

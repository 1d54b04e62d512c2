package target

import (
	"net/http"
	"regexp"
	"strings"
)

// statusLine is the beginning of an answer.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}( |$)`)

// oneHead reports whether a head is that of one answer. One that was cut, with
// another behind it, reads as a single head with the status of the first.
func oneHead(response *http.Response) bool {
	if beginsAnswer(response.Status) {
		return false
	}
	for _, values := range response.Header {
		for _, value := range values {
			if beginsAnswer(value) {
				return false
			}
		}
	}
	for name := range response.Trailer {
		if beginsAnswer(name) {
			return false
		}
	}
	return true
}

// beginsAnswer reports whether a text holds a status line.
func beginsAnswer(text string) bool {
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}

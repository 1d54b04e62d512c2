// Package hopbyhop tells which headers concern one connection only and are not
// passed on (RFC 9110, 7.6.1).
package hopbyhop

import "strings"

var listed = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Header reports whether the header with a canonical name concerns one
// connection only. connection holds the values of the Connection header, which
// names further such headers.
func Header(name string, connection []string) bool {
	if listed[name] {
		return true
	}
	for _, value := range connection {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}

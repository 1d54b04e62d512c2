package manifest

import (
	"fmt"
	"strings"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// Problem is one error of a manifest.
type Problem struct {
	// Path is the JSON path of the field, e.g. "services[2].key.name".
	Path string `json:"path"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Remedy says what to do about it.
	Remedy string `json:"remedy"`
}

// String returns the problem in one line.
func (p Problem) String() string { return p.Path + ": " + p.Message + "; " + p.Remedy }

// Problems are all errors of a manifest, in the order of the document.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error of kind Invalid, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return fault.Wrap(p, fault.Invalid, "correct every field listed and submit the whole manifest again",
		"the manifest has %d problem(s)", len(p))
}

// add records a problem.
func (p *Problems) add(path, remedy, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

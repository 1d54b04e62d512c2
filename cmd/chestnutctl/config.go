package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/platform"
)

// findingsError reports that a configuration has findings. They have been printed.
type findingsError struct {
	errors, warnings int
}

// Error returns the numbers of findings.
func (e *findingsError) Error() string {
	return fmt.Sprintf("the configuration has %d error(s) and %d warning(s)", e.errors, e.warnings)
}

// exitCode returns the exit code of config check.
func (e *findingsError) exitCode() int {
	if e.errors > 0 {
		return exitInvalid
	}
	return exitFailed
}

func registerConfig(app *kingpin.Application, s *session) {
	group := app.Command("config", "Check a configuration.")
	command := group.Command("check", "Check a configuration of the platform, or a manifest, without a server. Exit codes: 0 no findings, 1 warnings only, 2 errors.")
	file := command.Arg("file", "File with the spec of object config/main, with the whole object, or with a manifest.").Required().String()
	against := command.Flag("against", "File with another version of the platform's configuration, usually the one in force; prints what differs.").String()
	command.Action(func(*kingpin.ParseContext) error {
		document, err := readFile(*file)
		if err != nil {
			return err
		}
		var other []byte
		if *against != "" {
			if other, err = readFile(*against); err != nil {
				return err
			}
		}
		return s.checkConfig(document, other)
	})
}

// configCheck is the JSON output of config check.
type configCheck struct {
	Findings []platform.Finding `json:"findings"`
	// Changes is nil without --against.
	Changes []platform.Change `json:"changes,omitzero"`
}

func (s *session) checkConfig(document, against []byte) error {
	result := configCheck{Findings: []platform.Finding{}}
	switch {
	case !isManifest(document):
		findings, changes, err := platform.CheckConfig(document, against)
		if err != nil {
			return err
		}
		result.Findings, result.Changes = append(result.Findings, findings...), changes
	case against != nil:
		return fault.New(fault.Invalid, "leave out --against", "manifests are not compared")
	default:
		var problems manifest.Problems
		if _, err := manifest.Decode(document); errors.As(err, &problems) {
			for _, problem := range problems {
				result.Findings = append(result.Findings, platform.Finding{Severity: platform.SeverityError, Problem: problem})
			}
		}
	}
	if err := s.print(result, func(w io.Writer) { printCheck(w, &result) }); err != nil {
		return err
	}
	counts := &findingsError{}
	for _, finding := range result.Findings {
		if finding.Severity == platform.SeverityError {
			counts.errors++
		} else {
			counts.warnings++
		}
	}
	if counts.errors+counts.warnings > 0 {
		return counts
	}
	return nil
}

func printCheck(w io.Writer, result *configCheck) {
	for _, finding := range result.Findings {
		fmt.Fprintf(w, "%s: %s\n", finding.Severity, finding.Problem)
	}
	if len(result.Findings) == 0 {
		fmt.Fprintln(w, "no findings")
	}
	if result.Changes != nil && len(result.Changes) == 0 {
		fmt.Fprintln(w, "nothing differs")
	}
	for _, change := range result.Changes {
		fmt.Fprintf(w, "%s: %s", change.Kind, change.Path)
		if change.Name != "" {
			fmt.Fprintf(w, " of %q", change.Name)
		}
		if change.Old != change.New {
			fmt.Fprintf(w, ": %q is now %q", change.Old, change.New)
		}
		fmt.Fprintf(w, ": %s\n", change.Effect)
	}
}

// isManifest reports whether a document has fields that manifests have and the platform's
// configuration does not.
func isManifest(document []byte) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal(document, &fields) != nil {
		return false
	}
	for _, name := range []string{"format", "deployment", "failureDomains"} {
		if _, ok := fields[name]; ok {
			return true
		}
	}
	return false
}

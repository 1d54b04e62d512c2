package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/chestnutcourse/chestnutcourse/api/operatorv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/distribution"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// statusPoll is the interval at which --wait asks for the status.
const statusPoll = 200 * time.Millisecond

// notInForceError reports that a version is not in force on all VMs.
type notInForceError struct {
	status distribution.Status
}

// Error names the VMs that are missing.
func (e *notInForceError) Error() string {
	return fmt.Sprintf("version %d is in force on %d of %d VMs; missing: %s", e.status.ManifestVersion, e.status.InForce, e.status.Total,
		strings.Join(missing(e.status), ", "))
}

func missing(status distribution.Status) []string {
	var names []string
	for _, vm := range status.VMs {
		if !vm.InForce {
			names = append(names, vm.VM)
		}
	}
	return names
}

func registerManifest(app *kingpin.Application, s *session) {
	group := app.Command("manifest", "Validate, submit and show the manifest.")
	registerValidate(group, s)
	registerSubmit(group, s)
	registerShow(group, s)
	registerManifestStatus(group, s)
}

func registerValidate(group *kingpin.CmdClause, s *session) {
	command := group.Command("validate", "Check a manifest without a server and print every problem.")
	file := command.Arg("file", "The manifest; - reads standard input.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		document, err := readFile(*file)
		if err != nil {
			return err
		}
		return s.validate(document)
	})
}

// validation is the result of manifest validate.
type validation struct {
	Valid    bool              `json:"valid"`
	Problems manifest.Problems `json:"problems"`
}

func (s *session) validate(document []byte) error {
	_, err := manifest.Decode(document)
	result := validation{Valid: err == nil, Problems: manifest.Problems{}}
	errors.As(err, &result.Problems)
	printErr := s.print(result, func(w io.Writer) {
		for _, problem := range result.Problems {
			fmt.Fprintln(w, problem)
		}
		if result.Valid {
			fmt.Fprintln(w, "the manifest is valid")
		}
	})
	if printErr != nil || result.Valid {
		return printErr
	}
	return fault.New(fault.Invalid, "correct every field listed", "the manifest has %d problem(s)", len(result.Problems))
}

func registerSubmit(group *kingpin.CmdClause, s *session) {
	command := group.Command("submit", "Submit a manifest in place of a version. A lost answer is resolved; repeating a submission with its operation id changes nothing.")
	file := command.Arg("file", "The manifest; - reads standard input.").Required().String()
	replaces := command.Flag("replaces", "Version that the manifest was derived from, as manifest show prints it; 0 for the first.").Required().Int64()
	operation := command.Flag("operation", "Id of the submission; a new one by default.").String()
	force := command.Flag("force", "Submit a manifest that takes out more than the load can spare.").Bool()
	wait := command.Flag("wait", "Wait up to this long until the version is in force on all VMs.").Duration()
	command.Action(func(*kingpin.ParseContext) error {
		document, err := readFile(*file)
		if err != nil {
			return err
		}
		if _, err := manifest.Decode(document); err != nil {
			return err
		}
		submission := operatorv1.Submission{OperationID: operationID(*operation), Replaces: *replaces, Force: *force, Manifest: document}
		return s.change(operatorv1.PathManifest, submission.OperationID, submission, *wait)
	})
}

// change posts a change, prints the accepted version and waits if asked to.
func (s *session) change(path, operation string, body any, wait time.Duration) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	var accepted operatorv1.Accepted
	if err := c.post(path, body, &accepted); err != nil {
		if fault.Is(err, fault.UnknownOutcome) {
			fmt.Fprintf(s.stderr, "chestnutctl: repeat the command with --operation %s\n", operation)
		}
		return err
	}
	err = s.print(accepted, func(w io.Writer) {
		text := "accepted as version %d\n"
		if accepted.Repeated {
			text = "nothing to change; it stands in version %d\n"
		}
		fmt.Fprintf(w, text, accepted.Version)
	})
	if err != nil || wait == 0 {
		return err
	}
	return s.waitInForce(c, accepted.Version, wait)
}

// waitInForce waits until a version is in force on all VMs.
func (s *session) waitInForce(c *client, version int64, wait time.Duration) error {
	for deadline := time.Now().Add(wait); ; time.Sleep(statusPoll) {
		status, err := fetchStatus(c, version)
		if err != nil {
			return err
		}
		if status.Total > 0 && status.InForce == status.Total {
			return nil
		}
		if time.Now().After(deadline) {
			return &notInForceError{status: status}
		}
	}
}

func registerShow(group *kingpin.CmdClause, s *session) {
	command := group.Command("show", "Print the manifest in force. As text it is the document alone, ready to be changed and submitted; its version goes to standard error.")
	command.Action(func(*kingpin.ParseContext) error {
		c, err := s.client()
		if err != nil {
			return err
		}
		var shown operatorv1.Manifest
		if err := c.get(operatorv1.PathManifest, nil, &shown); err != nil {
			return err
		}
		if s.output == outputJSON {
			return s.print(shown, nil)
		}
		fmt.Fprintf(s.stderr, "version %d\n", shown.Version)
		encoder := json.NewEncoder(s.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(shown.Manifest)
	})
}

func registerManifestStatus(group *kingpin.CmdClause, s *session) {
	command := group.Command("status", "Show on how many VMs a version is in force and name the rest. Exits with 8 unless it is in force on all.")
	version := command.Flag("version", "Version to ask for; the one in force on the server by default.").Int64()
	command.Action(func(*kingpin.ParseContext) error {
		c, err := s.client()
		if err != nil {
			return err
		}
		status, err := fetchStatus(c, *version)
		if err != nil {
			return err
		}
		if err := s.print(status, func(w io.Writer) { printStatus(w, status) }); err != nil {
			return err
		}
		if status.InForce < status.Total || status.Total == 0 {
			return &notInForceError{status: status}
		}
		return nil
	})
}

func fetchStatus(c *client, version int64) (distribution.Status, error) {
	query := url.Values{}
	if version != 0 {
		query.Set(operatorv1.ParamVersion, strconv.FormatInt(version, 10))
	}
	var status distribution.Status
	err := c.get(operatorv1.PathManifestStatus, query, &status)
	return status, err
}

func printStatus(w io.Writer, status distribution.Status) {
	fmt.Fprintf(w, "version %d is in force on %d of %d VMs\n", status.ManifestVersion, status.InForce, status.Total)
	fmt.Fprintln(w, "VM\tFAILURE DOMAIN\tVERSION\tREADY\tREASON")
	for _, vm := range status.VMs {
		version, reason := strconv.FormatInt(vm.ManifestVersion, 10), vm.Reason
		if !vm.Answered {
			version, reason = "-", "no answer"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\n", vm.VM, vm.FailureDomain, version, vm.Ready, reason)
	}
}

// readFile reads a file, or standard input for "-".
func readFile(name string) ([]byte, error) {
	var content []byte
	var err error
	if name == "-" {
		content, err = io.ReadAll(os.Stdin)
	} else {
		content, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a file that can be read", "the manifest cannot be read")
	}
	return content, nil
}

// operationID returns the id given, or a new one.
func operationID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

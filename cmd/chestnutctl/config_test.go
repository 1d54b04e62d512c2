package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestConfigCheck guards against an exit code that lets a pipeline send a configuration with
// errors, and against access keys in the output.
func TestConfigCheck(t *testing.T) {
	const clean = `{"version":"0000000a","listeners":[{"host":"h","routeRules":[{"name":"r","kind":"upload","targetLatency":"1s",` +
		`"match":{"pathPrefix":"/"},"action":{"service":"s","timeout":"2s"}}]}],"clusters":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":["secret1"]}]}`
	directory := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(directory, name)
		assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	valid := file("valid", clean)
	warning := file("warning", strings.Replace(clean, `"1s"`, `"3s"`, 1))
	invalid := file("invalid", strings.Replace(clean, `"secret1"]`, `"secret1"],"priority":"secret2"`, 1))
	syntax := file("syntax", strings.Replace(clean, `"secret1"]`, `"secret1"secret2]`, 1))
	next := file("next", strings.NewReplacer("0000000a", "0000000b", "secret1", "secret2").Replace(clean))
	for _, c := range []struct {
		args           []string
		code           int
		stdout, stderr string
	}{
		{[]string{valid}, exitDone, "no findings\n", ""},
		{[]string{exampleFile}, exitDone, "no findings\n", ""},
		{[]string{warning}, 1, "warning: listeners[0].routeRules[0].targetLatency: the aim 3s is longer", "0 error(s) and 1 warning(s)"},
		{[]string{invalid}, 2, "error: tenants[0].priority: ", "1 error(s) and 0 warning(s)"},
		{[]string{syntax}, 2, "error: $: ", ""},
		{[]string{file("manifest", `{"format":1,"targets":5}`)}, 2, "error: targets: ", ""},
		{[]string{valid, "--against", valid}, exitDone, "no findings\nnothing differs\n", ""},
		{[]string{next, "--against", valid}, exitDone, `changed: tenants[0].apiKeys of "t": access key 1 of the old version withdrawn`, ""},
		{[]string{valid, "--against", next}, 2, "error: version: ", ""},
		{[]string{valid, "--against", syntax}, 2, "", "the configuration to compare with cannot be decoded"},
		{[]string{valid, "--against", exampleFile}, 2, "", "the configuration to compare with cannot be decoded"},
		{[]string{exampleFile, "--against", valid}, 2, "", "manifests are not compared"},
		{[]string{filepath.Join(directory, "missing")}, 2, "", "cannot be read"},
		{nil, 2, "", "--help"},
	} {
		for _, format := range []string{outputText, outputJSON} {
			var stdout, stderr bytes.Buffer
			code := run(append([]string{"-o", format, "config", "check"}, c.args...), &stdout, &stderr)
			assert.Equal(t, code, c.code, "%v: %s", c.args, stderr.String())
			assert.Check(t, strings.Contains(stderr.String(), c.stderr), "%v: %s", c.args, stderr.String())
			assert.Check(t, !strings.Contains(stdout.String()+stderr.String(), "secret"), "%s%s", stdout.String(), stderr.String())
			if format == outputText {
				assert.Check(t, strings.Contains(stdout.String(), c.stdout), "%v: %s", c.args, stdout.String())
			} else if c.stdout != "" {
				var result configCheck
				assert.NilError(t, json.Unmarshal(stdout.Bytes(), &result))
				assert.Equal(t, len(result.Findings) > 0, code != exitDone)
			}
		}
	}
}

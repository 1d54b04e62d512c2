package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const valid = `{
  "deployment": "foundation", "vm": "vm-1", "failureDomain": "north-th-a", "region": "north-th",
  "callers": {"address": "127.0.0.1:8080", "plain": true},
  "operators": {"address": "127.0.0.1:8081", "plain": true},
  "peers": {"address": "127.0.0.1:8082", "plain": true},
  "store": {"url": "http://127.0.0.1:8083"}
}`

func TestParseAcceptsValidSettings(t *testing.T) {
	s, err := Parse([]byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, s.PeerAddress(), "127.0.0.1:8082")
	assert.Equal(t, s.StoreTimeout(), DefaultStoreTimeout)
}

func TestParseNamesFieldAndRemedy(t *testing.T) {
	cases := []struct{ name, old, new, field, remedy string }{
		{"unknown field", `"vm": "vm-1"`, `"vm": "vm-1", "vmm": 1`, "vmm", "remove it"},
		{"wrong type", `"vm": "vm-1"`, `"vm": 1`, "vm", "make it a string"},
		{"wrong nested type", `"plain": true},
  "store"`, `"plain": "yes"},
  "store"`, "peers.plain", "make it a bool"},
		{"missing name", `"vm": "vm-1", `, ``, "vm", "set it"},
		{"impossible name", `"vm-1"`, `"VM 1"`, "vm", "lower-case"},
		{"host name", `127.0.0.1:8080`, `localhost:8080`, "callers.address", "IP number"},
		{"neither tls nor plain", `"127.0.0.1:8081", "plain": true`, `"127.0.0.1:8081"`, "operators.tls", "plain"},
		{"unspecified address", `127.0.0.1:8082`, `0.0.0.0:8082`, "peers.advertise", "dial"},
		{"store scheme", `http://127.0.0.1:8083`, `ftp://127.0.0.1`, "store.url", "http"},
		{"seed peer", `"region"`, `"seedPeers": ["a:1"], "region"`, "seedPeers", "IP number"},
		{"range", `"region"`, `"limits": {"stopSeconds": -1}, "region"`, "limits.stopSeconds", "range"},
		{"log level", `"region"`, `"log": {"level": "loud"}, "region"`, "log.level", "debug"},
		{"decisions", `"region"`, `"log": {"decisions": "some"}, "region"`, "log.decisions", "refused"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(valid, c.old))
			_, err := Parse([]byte(strings.Replace(valid, c.old, c.new, 1)))
			assert.Assert(t, fault.Is(err, fault.Invalid), "%v", err)
			assert.ErrorContains(t, err, `"`+c.field+`"`)
			assert.ErrorContains(t, err, c.remedy)
			assert.Assert(t, !strings.Contains(err.Error(), "\n"), "the error has more than one line")
		})
	}
}

func TestParseRefusesTextAfterTheObject(t *testing.T) {
	_, err := Parse([]byte(valid + "{}"))
	assert.ErrorContains(t, err, "text follows")
}

// TestPageListsEveryField checks that docs/SETTINGS.md documents every field.
func TestPageListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	assert.NilError(t, err)
	for _, field := range fieldPaths(reflect.TypeFor[Settings](), "") {
		assert.Assert(t, strings.Contains(string(page), "| `"+field+"` |"), "docs/SETTINGS.md lacks a row for %q", field)
	}
}

// fieldPaths lists the JSON paths of the leaf fields of a struct type.
func fieldPaths(structType reflect.Type, prefix string) []string {
	var paths []string
	for i := range structType.NumField() {
		field := structType.Field(i)
		fieldType := field.Type
		if fieldType.Kind() == reflect.Pointer {
			fieldType = fieldType.Elem()
		}
		if field.Anonymous {
			paths = append(paths, fieldPaths(fieldType, prefix)...)
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if fieldType.Kind() == reflect.Struct {
			paths = append(paths, fieldPaths(fieldType, prefix+name+".")...)
			continue
		}
		paths = append(paths, prefix+name)
	}
	return paths
}

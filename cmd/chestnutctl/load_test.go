package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/loadtool"
)

func TestLoadPrintsWhatItMeasured(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Target", r.URL.Path)
	}))
	defer entry.Close()
	args := []string{"load", "--entry", entry.URL, "--rate", "100", "--duration", "200ms", "--path", "/{key}", "--target-header", "X-Target"}
	code, stdout, _ := startServer(t).execute(args...)
	assert.Equal(t, code, exitDone)
	assert.Assert(t, strings.Contains(stdout, "20 requests") && strings.Contains(stdout, "p99 "), stdout)
	code, stdout, _ = startServer(t).execute(append([]string{"--output", "json"}, args...)...)
	assert.Equal(t, code, exitDone)
	var result loadtool.Result
	assert.NilError(t, json.Unmarshal([]byte(stdout), &result))
	assert.Equal(t, result.Due, int64(20))
	code, _, stderr := startServer(t).execute(append(args, "--rate", "0")...)
	assert.Equal(t, code, exitInvalid)
	assert.Assert(t, strings.Contains(stderr, "rate"))
}

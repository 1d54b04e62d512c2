package contain_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/contain"
)

func TestPanicIsLoggedWithItsPlace(t *testing.T) {
	var log bytes.Buffer
	logger := zerolog.New(&log)
	assert.Assert(t, contain.Run(&logger, "nothing", func() {}))
	assert.Equal(t, log.String(), "")
	assert.Assert(t, !contain.Run(&logger, "a message", func() { var m map[string]int; m["x"] = 1 }))
	for _, part := range []string{"panic-contained", "a message", "assignment to entry in nil map", "contain_test.go"} {
		assert.Assert(t, strings.Contains(log.String(), part), "%s lacks %q", log.String(), part)
	}
}

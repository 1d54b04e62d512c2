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
	assert.Assert(t, !contain.Run(&logger, "a message", func() { panic("the code has a fault") }))
	for _, part := range []string{"panic-contained", "a message", "the code has a fault", "contain_test.go"} {
		assert.Assert(t, strings.Contains(log.String(), part), "%s lacks %q", log.String(), part)
	}
}

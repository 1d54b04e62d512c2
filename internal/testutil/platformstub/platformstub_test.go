package platformstub_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/platformstub"
)

// TestAnswerIsLostAfterItsWriteTookEffect: who reads the object back finds it.
func TestAnswerIsLostAfterItsWriteTookEffect(t *testing.T) {
	for range 100 {
		stub := platformstub.New()
		stub.SetFaults(platformstub.Faults{LoseAnswers: 1})
		request := httptest.NewRequest(http.MethodPost, "/objects/own", strings.NewReader(`{"metadata":{"name":"a"},"spec":{}}`))
		func() {
			defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
			stub.ServeHTTP(httptest.NewRecorder(), request)
		}()
		_, found := stub.Get("own", "a")
		assert.Assert(t, found)
	}
}

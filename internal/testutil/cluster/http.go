package cluster

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// putJSON sends a document and expects a 2xx answer.
func putJSON(t testing.TB, method, url string, document any) {
	t.Helper()
	body, err := json.Marshal(document)
	assert.NilError(t, err)
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode/100, 2, "%s %s: %s", method, url, response.Status)
}

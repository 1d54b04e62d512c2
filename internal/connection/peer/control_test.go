package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

// TestReplyToAFormerProcessAnswersNoCall: a reply that waited for the VM's return must not pass for the answer to another question.
func TestReplyToAFormerProcessAnswersNoCall(t *testing.T) {
	former, present := newCalls(), newCalls()
	for range 9 {
		present.begin("b")
	}
	number, _ := former.begin("a")
	assert.Assert(t, !present.complete(&peerv1.Control{ReplyTo: number}))
}

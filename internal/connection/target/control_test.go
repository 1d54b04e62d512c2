package target_test

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/rawserver"
)

var _ target.Controller = (*target.ControlClient)(nil)

func newControl(t *testing.T) *target.ControlClient {
	control := target.NewControlClient()
	t.Cleanup(control.Close)
	return control
}

func TestGrantRenewalAndRevocation(t *testing.T) {
	server := listen(t, faketarget.Settings{Incarnation: "first", Grants: faketarget.GrantsExpire, ChecksFences: true})
	control := newControl(t)
	whole := []target.GrantedSlice{{First: 0, Last: math.MaxUint64, Fence: 7}}

	reply, err := control.Grant(testContext(t), server.Address(), target.Grant{Epoch: 3, SetNumber: 1, DurationMillis: 600})
	assert.NilError(t, err)
	assert.Assert(t, reply.NeedSet)
	reply, err = control.Grant(testContext(t), server.Address(), target.Grant{Epoch: 3, SetNumber: 1, DurationMillis: 600, Slices: whole})
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, target.GrantReply{Incarnation: "first"})
	reply, err = control.Grant(testContext(t), server.Address(), target.Grant{Epoch: 2, SetNumber: 9, DurationMillis: 600, Slices: whole})
	assert.NilError(t, err)
	assert.Assert(t, reply.Refused)
	assert.Equal(t, reply.HighestEpoch, uint64(3))

	assert.NilError(t, control.Revoke(testContext(t), server.Address(), target.Revocation{Epoch: 3, Slices: whole}))
	pool := newPool(t, server.Address(), 1)
	answer, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
	assert.NilError(t, err)
	assert.Equal(t, answer.Header.Get(target.HeaderNotRun), "fenced")

	health, err := control.Health(testContext(t), server.Address())
	assert.NilError(t, err)
	assert.Equal(t, health.Incarnation, "first")
}

func TestControlErrorsTellARefusedConnectionFromSilence(t *testing.T) {
	server := listen(t, faketarget.Settings{})
	address := server.Address()
	server.Close()
	_, err := newControl(t).Health(testContext(t), address)
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)

	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			socket, err := silent.Accept()
			if err != nil {
				return
			}
			_ = socket.Close()
		}
	}()
	t.Cleanup(func() { _ = silent.Close() })
	_, err = newControl(t).Grant(testContext(t), silent.Addr().String(), target.Grant{Epoch: 1})
	assert.Assert(t, fault.Is(err, fault.UnknownOutcome), "%v", err)
}

// TestEarlierAnswerIsNoRevocation checks that a duplicate of an earlier control reply is
// not taken for the confirmation of a revocation. Otherwise the slices would be granted
// to another target while this one still accepts requests for them.
func TestEarlierAnswerIsNoRevocation(t *testing.T) {
	var revoked atomic.Bool
	address := rawserver.Listen(t, func(socket *net.TCPConn) {
		in := bufio.NewReader(socket)
		for earlier := ""; ; {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
			if request.URL.Path == target.PathRevoke {
				_, _ = io.WriteString(socket, earlier)
				time.Sleep(50 * time.Millisecond)
				revoked.Store(true)
			}
			earlier = answer
			_, _ = io.WriteString(socket, answer)
		}
	})
	control := newControl(t)
	_, err := control.Grant(testContext(t), address, target.Grant{Epoch: 1})
	assert.NilError(t, err)
	assert.NilError(t, control.Revoke(testContext(t), address, target.Revocation{Epoch: 1}))
	assert.Assert(t, revoked.Load())
}

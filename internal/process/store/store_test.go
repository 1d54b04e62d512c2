package store_test

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store/storetest"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/storestub"
)

func TestMemoryConforms(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.CountingStore { return store.NewMemory() })
}

func TestHTTPConforms(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.CountingStore {
		client, _ := openStub(t)
		return client
	})
}

func openStub(t *testing.T, options ...store.HTTPOption) (*store.HTTP, *storestub.Stub) {
	stub := storestub.New()
	server := httptest.NewServer(stub)
	t.Cleanup(server.Close)
	client := store.NewHTTP(server.URL, options...)
	t.Cleanup(client.Close)
	return client, stub
}

func TestOutageHasNoEffect(t *testing.T) {
	client, stub := openStub(t)
	stub.SetFaults(storestub.Faults{Outage: true})
	_, err := client.Put(t.Context(), "manifest", []byte("x"), store.Absent)
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	_, err = client.Get(t.Context(), "manifest")
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	_, _, err = client.Watch(t.Context(), "", 0)
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	stub.SetFaults(storestub.Faults{})
	_, err = client.Get(t.Context(), "manifest")
	assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)
	assert.Equal(t, stub.Calls().Refused, int64(3))
}

func TestOutageEndsWaitingWatch(t *testing.T) {
	client, stub := openStub(t)
	ended := make(chan error, 1)
	go func() {
		_, _, err := client.Watch(t.Context(), "vms/", 0)
		ended <- err
	}()
	for stub.Calls().Watch == 0 {
		time.Sleep(time.Millisecond)
	}
	stub.SetFaults(storestub.Faults{Outage: true})
	assert.Assert(t, fault.Is(<-ended, fault.Unavailable))
}

func TestLostAnswerIsUnknownAndResolved(t *testing.T) {
	client, stub := openStub(t)
	stub.SetFaults(storestub.Faults{LoseAnswers: 1})
	_, err := client.Put(t.Context(), "manifest", []byte("one"), store.Absent)
	assert.Assert(t, fault.Is(err, fault.UnknownOutcome), "%v", err)
	stored, err := client.Get(t.Context(), "manifest")
	assert.NilError(t, err)
	assert.Equal(t, string(stored.Value), "one")

	stub.SetFaults(storestub.Faults{LoseAnswers: 1})
	isOwn := func(value []byte) bool { return string(value) == "two" }
	version, err := store.PutResolved(t.Context(), client, "manifest", []byte("two"), stored.Version, isOwn)
	assert.NilError(t, err)
	assert.Assert(t, version > stored.Version)
}

func TestLostAnswerDuringOutageStaysUnknown(t *testing.T) {
	client, stub := openStub(t)
	stub.SetFaults(storestub.Faults{LoseAnswers: 1, OutageAfterWrites: 1})
	isOwn := func(value []byte) bool { return string(value) == "one" }
	_, err := store.PutResolved(t.Context(), client, "manifest", []byte("one"), store.Absent, isOwn)
	assert.Assert(t, fault.Is(err, fault.UnknownOutcome), "%v", err)
	_, err = stub.Memory().Get(t.Context(), "manifest")
	assert.NilError(t, err)
}

func TestTimeoutOfWriteIsUnknown(t *testing.T) {
	client, stub := openStub(t, store.WithCallTimeout(50*time.Millisecond))
	stub.SetFaults(storestub.Faults{DelayMillis: 60_000})
	_, err := client.Put(t.Context(), "manifest", []byte("x"), store.Absent)
	assert.Assert(t, fault.Is(err, fault.UnknownOutcome), "%v", err)
	_, err = client.Get(t.Context(), "manifest")
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = store.NewHTTP("http://"+address).Put(t.Context(), "manifest", []byte("x"), store.Absent)
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
}

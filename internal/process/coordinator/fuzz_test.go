package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// idleCoordinator returns a coordinator whose loop does not run, as a follower or as a
// leader.
func idleCoordinator(ctx context.Context, leads bool) *Coordinator {
	logger := zerolog.Nop()
	c := New(Config{
		Self: fleet.Member{VM: "a", Incarnation: "1", Address: "a:1"}, Loop: loop.New(), Store: store.NewMemory(), Sender: &recordingSender{},
		Publish: func(*fleet.View) {}, Uptime: func() time.Duration { return time.Minute }, Logger: &logger,
		Repeats: func(time.Time) map[string]admission.RepeatCount { return nil },
		Dial:    func(context.Context, string) error { return nil },
	})
	c.ctx = ctx
	if leads {
		c.lead = newLeadership(fleet.Record{Term: 3, Leader: c.config.Self}, 1, fenceRange{1, 9}, true, c.view, time.Second, time.Now())
		c.lead.orderContext, c.lead.cancelOrders = context.WithCancel(ctx)
	}
	return c
}

// oddMessages are messages that no VM of this release sends.
var oddMessages = []*peerv1.Control{
	{},
	{Kind: &peerv1.Control_FleetState{FleetState: &peerv1.FleetState{Term: 9}}},
	{Kind: &peerv1.Control_FleetState{FleetState: &peerv1.FleetState{
		Term: 9, Leader: &peerv1.VmIdentity{Vm: "b"}, Config: &peerv1.Part{Body: []byte(`{"version":7}`)},
	}}},
	{Kind: &peerv1.Control_FleetState{FleetState: &peerv1.FleetState{
		Term: 9, Leader: &peerv1.VmIdentity{}, Targets: &peerv1.Part{}, Slices: &peerv1.Part{}, Members: &peerv1.Part{},
	}}},
	{Kind: &peerv1.Control_FleetState{FleetState: &peerv1.FleetState{
		Term: 9, Leader: &peerv1.VmIdentity{}, Versions: &peerv1.PartVersions{Targets: 5}, Config: &peerv1.Part{Body: []byte(`[`)},
		Targets: &peerv1.Part{Compressed: true, Body: []byte{0xff, 0xff, 0xff, 0xff, 0x7f}}, Slices: &peerv1.Part{Body: []byte{1}},
	}}},
	{Kind: &peerv1.Control_MemberReport{MemberReport: &peerv1.MemberReport{}}},
	{Kind: &peerv1.Control_MemberReport{MemberReport: &peerv1.MemberReport{Term: 99, HeardMillis: 1 << 63}}},
	{Kind: &peerv1.Control_ProbeRequest{ProbeRequest: &peerv1.ProbeRequest{Address: "\x00"}}},
	{Kind: &peerv1.Control_LeaderQuery{}},
	{Kind: &peerv1.Control_LeaderQuery{LeaderQuery: &peerv1.LeaderQuery{Have: &peerv1.PartVersions{}, SentMillis: 1 << 63}}},
	{Kind: &peerv1.Control_LeaderQueryReply{LeaderQueryReply: &peerv1.LeaderQueryReply{Declarations: &peerv1.FleetState{
		Known: &peerv1.StoreKnowledge{ReportMillis: 1 << 63, AfterMillis: -1 << 62},
	}}}},
}

// TestOddMessagesAreDropped checks that messages that no VM of this release sends are
// handled without a panic.
func TestOddMessagesAreDropped(t *testing.T) {
	for _, message := range oddMessages {
		for _, leads := range []bool{false, true} {
			idleCoordinator(t.Context(), leads).Handle(peer.Peer{VM: "b", Incarnation: "2"}, message)
		}
	}
}

// FuzzMessages passes arbitrary messages of another VM to a follower and to a leader.
func FuzzMessages(f *testing.F) {
	for _, message := range oddMessages {
		encoded, err := proto.Marshal(message)
		assert.NilError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		message := &peerv1.Control{}
		if proto.Unmarshal(content, message) != nil {
			return
		}
		for _, leads := range []bool{false, true} {
			idleCoordinator(t.Context(), leads).Handle(peer.Peer{VM: "b", Incarnation: "2"}, message)
		}
	})
}

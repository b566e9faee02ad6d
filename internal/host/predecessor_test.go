package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/cell"
)

// TestPredecessor guards against a successor that takes the starts of its predecessor for
// recorded although some may not be, and against one that waits although all are.
func TestPredecessor(t *testing.T) {
	owner := ownerRow{Name: "a", Instance: "owner", Epoch: 1}
	reply := func(recorded bool, storeAge time.Duration) *heartbeatReply {
		return &heartbeatReply{Instance: owner.Instance, Owner: true, Recorded: recorded, StoreAge: storeAge.Milliseconds(), Sole: true}
	}
	const long = storeUnavailableAfter + recordMargin
	for _, tc := range []struct {
		name       string
		reply      *heartbeatReply // last one; nil: none
		sentAgo    time.Duration   // how long before its end or the loss of contact
		terminated bool
		age        time.Duration // of this process
		want       cell.Predecessor
		alive      bool
	}{
		{"terminated right after a response", reply(true, 0), 200 * time.Millisecond, true, time.Hour, cell.PredecessorRecorded, false},
		{"not all was recorded", reply(false, 0), 200 * time.Millisecond, true, time.Hour, cell.PredecessorUnrecorded, false},
		{"terminated long after a response", reply(true, 0), long, true, time.Hour, cell.PredecessorUnrecorded, false},
		{"the store had not answered it for long", reply(true, 700*time.Millisecond), 200 * time.Millisecond, true, time.Hour, cell.PredecessorUnrecorded, false},
		{"terminated before a former owner was fenced", &heartbeatReply{Instance: owner.Instance, Owner: true}, 200 * time.Millisecond, true, time.Hour, cell.PredecessorUnrecorded, true},
		{"unresponsive, may be alive", reply(true, 0), 200 * time.Millisecond, false, time.Hour, cell.PredecessorUnrecorded, true},
		{"never heard", nil, 0, true, time.Hour, cell.PredecessorUnrecorded, true},
		{"never heard by a process that has just started", nil, 0, true, time.Second, cell.PredecessorUnknown, false},
		{"never heard by a process that has just started, unresponsive", nil, 0, false, time.Second, cell.PredecessorUnknown, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := New()
			h.started = time.Now().Add(-tc.age)
			h.currentOwner = owner
			if tc.reply != nil {
				h.ownerRecord = newOwnerRecord(tc.reply, bootClock()-tc.sentAgo)
			}
			h.suspectOwner(owner, tc.terminated, nil)
			assert.Equal(t, h.predecessor(owner), predecessor{tc.want, tc.alive})
		})
	}
	h := New()
	h.Name = "b"
	assert.Equal(t, h.predecessor(ownerRow{}), predecessor{cell.PredecessorUnknown, false}, "there was no owner")
	h.ownerRecord = newOwnerRecord(reply(true, 0), bootClock())
	h.currentOwner = owner
	h.suspectOwner(owner, true, nil)
	assert.Equal(t, h.predecessor(ownerRow{Instance: "other"}), predecessor{cell.PredecessorUnknown, true}, "the response was of another owner")
	h.started = time.Now().Add(-time.Hour)
	assert.Equal(t, h.predecessor(ownerRow{Instance: h.instance}), predecessor{cell.PredecessorUnrecorded, true}, "this process has lost its own ownership")
}

// TestIsolated guards against an owner that acts for ever without the store and without any
// other host: its successor may not reach most of the workers and waits for it.
func TestIsolated(t *testing.T) {
	h := New()
	h.Name = "a"
	assert.Assert(t, !h.isolated(), "there is no other host that could replace this one")
	h.applyMember(memberRow{Name: "b", Instance: "b1", Started: 1})
	assert.Assert(t, h.isolated(), "the other host was never heard")
	h.recordHeartbeat(&heartbeatRequest{Member: memberRow{Name: "b", Instance: "b1", Started: 1}})
	assert.Assert(t, !h.isolated())
	last := h.heartbeats["b1"]
	last.bootAt -= cell.MaxIsolation
	h.heartbeats["b1"] = last
	assert.Assert(t, h.isolated(), "the other host is silent, also if the steady clock stood still meanwhile")
}

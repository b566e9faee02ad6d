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
		{"terminated with all recorded before a former owner was fenced", &heartbeatReply{Instance: owner.Instance, Owner: true, Recorded: true}, 200 * time.Millisecond, true, time.Hour, cell.PredecessorRecorded, true},
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
				h.ownerRecord = newOwnerRecord(tc.reply, bootClock()-tc.sentAgo, false)
			}
			h.suspectOwner(owner, tc.terminated, nil)
			assert.Equal(t, h.predecessor(owner), predecessor{tc.want, tc.alive})
		})
	}
	h := New()
	h.Name = "b"
	assert.Equal(t, h.predecessor(ownerRow{}), predecessor{cell.PredecessorUnknown, false}, "there was no owner")
	h.ownerRecord = newOwnerRecord(reply(true, 0), bootClock(), false)
	h.currentOwner = owner
	h.suspectOwner(owner, true, nil)
	assert.Equal(t, h.predecessor(ownerRow{Instance: "other"}), predecessor{cell.PredecessorUnknown, true}, "the response was of another owner")
	h.started = time.Now().Add(-time.Hour)
	assert.Equal(t, h.predecessor(ownerRow{Instance: h.instance}), predecessor{cell.PredecessorUnrecorded, true}, "this process has lost its own ownership")
}

// TestPeersLostStore guards against an owner that starts work without a record although
// another host has access to the store and may have replaced it.
func TestPeersLostStore(t *testing.T) {
	for _, tc := range []struct {
		name      string
		ago       time.Duration // since the last heartbeat
		storeLost bool
		overtaken bool // an earlier heartbeat that says the opposite arrives later
		want      bool
	}{
		{"a host has access", 0, false, false, false},
		{"a host has lost it too", 0, true, false, true},
		{"a host had access and is silent", peersSpan - time.Second, false, false, false},
		{"a host is silent for long", peersSpan + time.Second, false, false, true},
		{"a host has access, and an overtaken heartbeat says otherwise", 0, false, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := New()
			h.Name = "a"
			assert.Assert(t, h.peersLostStore(), "there is no other host")
			b := memberRow{Name: "b", Instance: "b1", Started: 1}
			h.recordHeartbeat(&heartbeatRequest{Member: b, StoreLost: tc.storeLost, Sequence: 7})
			if tc.overtaken {
				h.recordHeartbeat(&heartbeatRequest{Member: b, StoreLost: !tc.storeLost, Sequence: 6})
			}
			last := h.heartbeats["b1"]
			last.at = last.at.Add(-tc.ago)
			h.heartbeats["b1"] = last
			assert.Equal(t, h.peersLostStore(), tc.want)
			// The next process of the host replaces the one before.
			h.recordHeartbeat(&heartbeatRequest{Member: memberRow{Name: "b", Instance: "b2", Started: 2}, StoreLost: true, Sequence: 1})
			assert.Assert(t, h.peersLostStore())
		})
	}
}

// TestIsolated guards against an owner that acts for ever without the store and without any
// other host: its successor may not reach most of the workers and waits for it.
func TestIsolated(t *testing.T) {
	h := New()
	h.Name = "a"
	assert.Assert(t, !h.isolated(), "there is no other host that could replace this one")
	h.applyMember(memberRow{Name: "b", Instance: "b1", Started: 1})
	assert.Assert(t, h.isolated(), "the other host was never heard")
	h.recordHeartbeat(&heartbeatRequest{Member: memberRow{Name: "b", Instance: "b1", Started: 1}, Sequence: 1})
	assert.Assert(t, !h.isolated())
	last := h.heartbeats["b1"]
	last.bootAt -= cell.MaxIsolation
	h.heartbeats["b1"] = last
	assert.Assert(t, h.isolated(), "the other host is silent, also if the steady clock stood still meanwhile")
}

// TestRecordedUntil guards against a successor that does not wait for starts without a record
// that its predecessor may make.
func TestRecordedUntil(t *testing.T) {
	owner := ownerRow{Name: "a", Instance: "owner", Epoch: 2}
	reply := heartbeatReply{Instance: owner.Instance, Owner: true, Epoch: owner.Epoch, Recorded: true, Sole: true, AsksPeers: true}
	const sent = time.Minute
	for _, tc := range []struct {
		name      string
		change    func(reply *heartbeatReply)
		storeLost bool
		want      time.Duration
	}{
		{"told that the store is available", func(*heartbeatReply) {}, false, sent + peersSpan - peersMargin},
		{"told that the store is lost", func(*heartbeatReply) {}, true, 0},
		{"not all was recorded", func(r *heartbeatReply) { r.Recorded = false }, false, 0},
		{"a build that does not ask", func(r *heartbeatReply) { r.AsksPeers = false }, false, 0},
		{"another ownership of the same process", func(r *heartbeatReply) { r.Epoch-- }, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			changed := reply
			tc.change(&changed)
			h := New()
			h.ownerRecord = newOwnerRecord(&changed, sent, tc.storeLost)
			assert.Equal(t, h.recordedUntil(owner), tc.want)
		})
	}
}

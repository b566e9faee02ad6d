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
		return &heartbeatReply{Instance: owner.Instance, Owner: true, Recorded: recorded, StoreAge: storeAge.Milliseconds()}
	}
	const long = storeUnavailableAfter + recordMargin
	for _, tc := range []struct {
		name       string
		reply      *heartbeatReply // last one; nil: none
		sentAgo    time.Duration   // how long before its end or the loss of contact
		terminated bool
		age        time.Duration // of this process
		want       cell.Predecessor
	}{
		{"terminated right after a response", reply(true, 0), 200 * time.Millisecond, true, time.Hour, cell.PredecessorRecorded},
		{"not all was recorded", reply(false, 0), 200 * time.Millisecond, true, time.Hour, cell.PredecessorUnrecorded},
		{"terminated long after a response", reply(true, 0), long, true, time.Hour, cell.PredecessorUnrecorded},
		{"the store had not answered it for long", reply(true, 700*time.Millisecond), 200 * time.Millisecond, true, time.Hour, cell.PredecessorUnrecorded},
		{"unresponsive, may be alive", reply(true, 0), 200 * time.Millisecond, false, time.Hour, cell.PredecessorUnrecorded},
		{"never heard", nil, 0, true, time.Hour, cell.PredecessorUnrecorded},
		{"never heard by a process that has just started", nil, 0, true, time.Second, cell.PredecessorUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := New()
			h.started = time.Now().Add(-tc.age)
			h.currentOwner = owner
			if tc.reply != nil {
				h.ownerRecord = newOwnerRecord(tc.reply, bootClock()-tc.sentAgo)
			}
			h.suspectOwner(owner, tc.terminated, nil)
			assert.Equal(t, h.predecessor(owner), tc.want)
		})
	}
	h := New()
	assert.Equal(t, h.predecessor(ownerRow{}), cell.PredecessorUnknown, "there was no owner")
	h.ownerRecord = newOwnerRecord(reply(true, 0), bootClock())
	h.currentOwner = owner
	h.suspectOwner(owner, true, nil)
	assert.Equal(t, h.predecessor(ownerRow{Instance: "other"}), cell.PredecessorUnknown, "the response was of another owner")
	h.started = time.Now().Add(-time.Hour)
	assert.Equal(t, h.predecessor(ownerRow{Instance: h.instance}), cell.PredecessorUnrecorded, "this process has lost its own ownership")
}

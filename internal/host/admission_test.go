package host

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

// TestAdmission guards against useless work that is stored, and against a rejection without
// fresh knowledge, of a job that may be stored already, or of work that may be of use.
func TestAdmission(t *testing.T) {
	const budget = 2 * time.Second // 1 s of work, stretch 1, 1 s target
	loads := func(end time.Duration) []sched.QueueLoad {
		return []sched.QueueLoad{{Queue: "q", Mean: 4, Ends: []time.Duration{0, end, end, end}, Heavy: []string{"team"}}}
	}
	const never = time.Minute
	for _, tc := range []struct {
		name   string
		loads  []sched.QueueLoad
		age    time.Duration
		team   string
		stored bool // an earlier call has stored the job
		fails  bool // the store does not answer the read
		admits bool
	}{
		{name: "useless", loads: loads(never), team: "team"},
		{name: "knowledge is too old", loads: loads(never), age: maxLoadsAge + time.Second, team: "team", admits: true},
		{name: "no shortage", team: "team", admits: true},
		{name: "of use, though late", loads: loads(2 * budget), team: "team", admits: true},
		{name: "useless by less than the margin", loads: loads(4 * budget), team: "team", admits: true},
		{name: "a team that uses little", loads: loads(never), team: "other", admits: true},
		{name: "an earlier call has stored it", loads: loads(never), team: "team", stored: true, admits: true},
		{name: "the store does not answer", loads: loads(never), team: "team", fails: true, admits: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			writes := 0
			h := New()
			h.store = &kvstore.Client{Do: func(_ context.Context, req kvstore.Request) (resp kvstore.Response, err error) {
				switch {
				case req.Txn != nil:
					writes++
				case tc.fails:
					return resp, kvstore.ErrUnreachable
				case tc.stored:
					resp.Page.Items = []kvstore.Item{{Key: req.Get, Revision: 7}}
				}
				return resp, nil
			}}
			h.recordLoads(tc.loads, tc.age)
			job := &work.Job{
				ID: "a", Team: tc.team, Queue: "q", Policy: &work.Policy{Stretch: 1, Target: time.Second},
				Steps: []work.Step{{Count: 4, Demand: resource.Vector{MilliCores: 1000}, Estimate: time.Second}},
			}
			err := h.admit(context.Background(), job)
			assert.Equal(t, err == nil, tc.admits, "%v", err)
			assert.Equal(t, writes, 0, "something was stored")
			if err != nil {
				assert.Assert(t, errs.Is(err, ErrNotRun))
				seconds, ok := retryAfterUseless(err)
				assert.Assert(t, ok && seconds >= 1 && seconds <= 15, "%d", seconds)
			}
		})
	}
	assert.NilError(t, New().admit(context.Background(), &work.Job{ID: "a"}), "nothing was heard from the owner")
}

// TestLoadsInHeartbeats guards against a state of the queues that is lost between hosts, and
// against a response that a host of another build cannot read.
func TestLoadsInHeartbeats(t *testing.T) {
	type formerReply struct {
		Instance string
		Owner    bool
	}
	loads := []sched.QueueLoad{{
		Queue: "q", Mean: 4, Ends: []time.Duration{time.Second}, Heavy: []string{"team"}, Limited: []sched.TeamEnds{{Team: "a", Ends: []time.Duration{1}}},
	}}
	sent, err := cbor.Marshal(&heartbeatReply{Instance: "owner", Owner: true, Loads: loads, LoadsAge: 7})
	assert.NilError(t, err)
	var received heartbeatReply
	assert.NilError(t, cbor.Unmarshal(sent, &received))
	assert.DeepEqual(t, received.Loads, loads)
	var former formerReply
	assert.NilError(t, cbor.Unmarshal(sent, &former))
	assert.Equal(t, former, formerReply{"owner", true})
	sent, err = cbor.Marshal(&former)
	assert.NilError(t, err)
	received = heartbeatReply{}
	assert.NilError(t, cbor.Unmarshal(sent, &received))
	assert.Equal(t, len(received.Loads), 0)
}

package entry

import (
	"context"
	"time"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/slot"
)

// Instance returns the instance of this process.
func (e *Entry) Instance() shard.Instance { return e.info.Instance }

// Tables returns the current configuration of this process.
func (e *Entry) Tables() *config.Tables { return e.tables.Load() }

// Invariants returns the counts of all invariant checks.
func (e *Entry) Invariants() []invariant.Count { return e.checks.Counts() }

// Request forwards a request of a team to a minion and returns its outcome.
func (e *Entry) Request(ctx context.Context, team, route string, pool config.Pool, body []byte) *slot.Response {
	return e.forward(ctx, pool, slot.Request{ID: newID(), Team: team, Route: route, Body: body})
}

// Submit submits a job to the team's queue. After an error of class
// peer.ErrUnreachable the job was not accepted; after any other error it may
// have been.
func (e *Entry) Submit(ctx context.Context, team, id string, spec job.Spec) (reply *job.Reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, teamTimeout)
	defer cancel()
	return callTeam(ctx, e, team, callSubmit, &job.SubmitRequest{Team: team, ID: id, Spec: spec}, e.handleSubmit)
}

// Get returns a job once it has ended or the wait of the reference is over.
func (e *Entry) Get(ctx context.Context, ref job.Ref) (reply *job.Reply, err error) {
	end := time.Now().Add(time.Duration(ref.WaitMS) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, end.Add(teamTimeout))
	defer cancel()
	for {
		remaining := time.Until(end)
		ref.WaitMS = max(0, min(remaining, maxLookupWait).Milliseconds())
		reply, err = callTeam(ctx, e, ref.Team, callGet, &ref, e.handleGet)
		if err != nil || reply.Job == nil || reply.Job.State.Terminal() || remaining <= 0 {
			return reply, err
		}
	}
}

// Cancel cancels a job; tasks that are running may still be stopping when it returns.
func (e *Entry) Cancel(ctx context.Context, ref job.Ref) (reply *job.Reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, teamTimeout)
	defer cancel()
	return callTeam(ctx, e, ref.Team, callCancel, &ref, e.handleCancel)
}

package host

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/work"
)

// Errors that callers are told of.
var (
	// ErrNotRun means that nothing was kept and nothing will run.
	ErrNotRun = errs.New("not accepted, nothing will run")
	// ErrUnknown means that the outcome cannot be told: the call is to be repeated.
	ErrUnknown = errs.New("outcome unknown, repeat the call")
	// ErrNoJob means that there is no such job.
	ErrNoJob = errs.New("no such job")
)

// askTimeout bounds one question to the owner; the store is read after it.
const askTimeout = 400 * time.Millisecond

// Submit stores a job. It returns nil once the job is stored, now or before.
// After ErrNotRun the job never runs, after ErrUnknown it may.
func (h *Host) Submit(ctx context.Context, job *work.Job) (err error) {
	job.Accepted = wall()
	value, err := work.EncodeJob(job)
	if err != nil {
		return err
	}
	if !h.storeUp() {
		event.JobNotAccepted.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Str("reason", "the store is away").
			Dur("since", time.Since(h.store.LastSuccess())).Send()
		return ErrNotRun
	}
	key := jobPrefix + job.ID
	sent := false
	for {
		_, found, err := h.store.Write(ctx, kvstore.Txn{
			Expected: []kvstore.Condition{{Key: key}},
			Puts:     []kvstore.Put{{Key: key, Value: value}},
		})
		switch {
		case err == nil:
			event.JobStored.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Str("team", job.Team).
				Dur("took", wall()-job.Accepted).Int64("config", h.tablesVersion()).Dur("config-age", h.TablesAge()).Send()
			h.tellOwner(job.ID, callJob, &jobRequest{Job: value}, func() bool { return h.acceptHere(job) })
			return nil
		case errs.Is(err, kvstore.ErrConflict):
			event.JobStored.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Bool("again", true).Send()
			h.tellStored(found)
			return nil
		}
		sent = sent || !kvstore.NotApplied(err)
		if ctx.Err() != nil || !h.storeUp() {
			return h.submitFailed(job, sent, err)
		}
		pause(ctx, submitRetry)
	}
}

// submitRetry is the pause between two tries to store a job.
const submitRetry = 60 * time.Millisecond

func (h *Host) submitFailed(job *work.Job, sent bool, cause error) error {
	if sent {
		event.JobUnknown.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Err(cause).Send()
		return ErrUnknown
	}
	event.JobNotAccepted.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Str("reason", "the store refused it").
		Err(cause).Send()
	return ErrNotRun
}

// tellStored tells the owner of a job that an earlier call has stored.
func (h *Host) tellStored(found []kvstore.Item) {
	if len(found) == 0 || len(found[0].Value) == 0 {
		return
	}
	job, err := work.DecodeJob(found[0].Value)
	if err != nil {
		event.EntryMalformed.Log(h.Log).Str("key", found[0].Key).Err(err).Send()
		return
	}
	h.tellOwner(job.ID, callJob, &jobRequest{Job: found[0].Value}, func() bool { return h.acceptHere(job) })
}

const (
	// tellFor is how long the owner is told of a change; its watch finds the rest.
	tellFor = 3 * time.Second
	// tellRetry is the pause between two tries.
	tellRetry = 50 * time.Millisecond
)

// tellOwner tells the owner of a change in the store, so that it need not wait
// for its watch.
func (h *Host) tellOwner(id, call string, request any, here func() bool) {
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellFor)
		defer cancel()
		for ctx.Err() == nil {
			if h.tellOnce(ctx, call, request, here) {
				return
			}
			pause(ctx, tellRetry)
		}
		event.OwnerNotNotified.Log(h.Log).Str("job", id).Str("call", call).Send()
	})
}

func (h *Host) tellOnce(ctx context.Context, call string, request any, here func() bool) (told bool) {
	v := h.view.Load()
	if !v.known {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if v.owner.Instance == h.instance {
		_ = h.loop.Call(callCtx, func() { told = here() })
		return told
	}
	var reply *ownerReply
	var err error
	switch in := request.(type) {
	case *jobRequest:
		reply, err = peer.Call[jobRequest, ownerReply](callCtx, h.peers, v.owner.Address, call, in)
	case *cancelRequest:
		reply, err = peer.Call[cancelRequest, ownerReply](callCtx, h.peers, v.owner.Address, call, in)
	}
	return err == nil && reply != nil && reply.Owner
}

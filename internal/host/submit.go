package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
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
		event.JobTurnedAway.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Str("reason", "the store is away").
			Dur("since", time.Since(h.store.LastGood())).Send()
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
				Dur("took", wall()-job.Accepted).Send()
			h.tellOwner(job.ID, callJob, &jobRequest{Job: value}, func() bool { return h.acceptHere(job) })
			return nil
		case errs.Is(err, kvstore.ErrConflict):
			event.JobStored.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Bool("again", true).Send()
			h.tellStored(found)
			return nil
		}
		sent = sent || !kvstore.NothingDone(err)
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
	event.JobTurnedAway.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Str("reason", "the store refused it").
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
		event.NotifyFailed.Log(h.Log).Str("job", id).Str("call", call).Send()
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

// State returns the state of a job and its team.
func (h *Host) State(ctx context.Context, id string) (state work.State, team string, err error) {
	reply := h.askState(ctx, id)
	if reply.Owner && reply.Known {
		return reply.State, reply.Team, nil
	}
	return h.storedState(ctx, id)
}

func (h *Host) askState(ctx context.Context, id string) (reply stateReply) {
	v := h.view.Load()
	if !v.known {
		return stateReply{}
	}
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if v.owner.Instance == h.instance {
		_ = h.loop.Call(callCtx, func() { reply = h.stateHere(id) })
		return reply
	}
	got, err := peer.Call[stateRequest, stateReply](callCtx, h.peers, v.owner.Address, callState, &stateRequest{ID: id})
	if err != nil {
		return stateReply{}
	}
	return *got
}

// storedState reads from the store what is known of a job.
func (h *Host) storedState(ctx context.Context, id string) (state work.State, team string, err error) {
	for {
		state, team, err = h.readState(ctx, id)
		if err == nil || errs.Is(err, ErrNoJob) {
			return state, team, err
		}
		if ctx.Err() != nil {
			event.StateUnknown.Log(h.Log).Str("job", id).Err(err).Send()
			return "", "", ErrUnknown
		}
		pause(ctx, stateRetry)
		if reply := h.askState(ctx, id); reply.Owner && reply.Known {
			return reply.State, reply.Team, nil
		}
	}
}

// stateRetry is the pause between two tries to find out a job's state.
const stateRetry = 80 * time.Millisecond

func (h *Host) readState(ctx context.Context, id string) (state work.State, team string, err error) {
	item, err := h.store.Get(ctx, jobPrefix+id)
	if err != nil {
		return "", "", err
	}
	if item.Revision == 0 {
		return "", "", ErrNoJob
	}
	job, err := work.DecodeJob(item.Value)
	if err != nil {
		return "", "", err
	}
	cancel, err := h.store.Get(ctx, jobPrefix+id+cancelSuffix)
	if err != nil {
		return "", "", err
	}
	stored, err := h.store.Get(ctx, progressPrefix+id)
	if err != nil {
		return "", "", err
	}
	state = work.StateQueued
	if stored.Revision > 0 {
		progress, err := work.DecodeProgress(stored.Value)
		if err != nil {
			return "", "", err
		}
		switch {
		case progress.State != "":
			return progress.State, job.Team, nil
		case progress.Begun:
			state = work.StateRunning
		}
	}
	if cancel.Revision > 0 {
		state = work.StateCancelled
	}
	return state, job.Team, nil
}

// Cancel stores the cancellation of a job. It returns ErrNoJob if there is no
// such job of the team.
func (h *Host) Cancel(ctx context.Context, id, team string) (err error) {
	sent := false
	for {
		_, owner, err := h.State(ctx, id)
		if errs.Is(err, ErrNoJob) {
			return err
		}
		if err == nil {
			if owner != team {
				return ErrNoJob
			}
			_, _, err = h.store.Write(ctx, kvstore.Txn{
				Expected: []kvstore.Condition{{Key: jobPrefix + id + cancelSuffix}},
				Puts:     []kvstore.Put{{Key: jobPrefix + id + cancelSuffix, Value: []byte(h.instance)}},
			})
			if err == nil || errs.Is(err, kvstore.ErrConflict) {
				event.CancelStored.Log(h.Log).Str("job", id).Str("team", team).Send()
				h.tellOwner(id, callCancel, &cancelRequest{ID: id}, func() bool { return h.cancelHere(id) })
				return nil
			}
			sent = sent || !kvstore.NothingDone(err)
		}
		if ctx.Err() != nil {
			event.CancelFailed.Log(h.Log).Str("job", id).Bool("sent", sent).Err(err).Send()
			return ErrUnknown
		}
		pause(ctx, submitRetry)
	}
}

// Pending returns the number of a queue's accepted jobs that have not begun.
func (h *Host) Pending(ctx context.Context, queue string) (n int, err error) {
	for {
		if reply := h.askPending(ctx, queue); reply.Owner {
			h.stats.notePending(queue, reply.Pending)
			return reply.Pending, nil
		}
		if n, ok := h.stats.lastPending(queue); ok {
			return n, nil
		}
		if ctx.Err() != nil {
			return 0, ErrUnknown
		}
		pause(ctx, stateRetry)
	}
}

func (h *Host) askPending(ctx context.Context, queue string) (reply pendingReply) {
	v := h.view.Load()
	if !v.known {
		return pendingReply{}
	}
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if v.owner.Instance == h.instance {
		_ = h.loop.Call(callCtx, func() { reply = h.pendingHere(queue) })
		return reply
	}
	got, err := peer.Call[pendingRequest, pendingReply](callCtx, h.peers, v.owner.Address, callPending, &pendingRequest{Queue: queue})
	if err != nil {
		return pendingReply{}
	}
	return *got
}

// stop takes this host out of service: no new connections, the cell handed
// over, requests answered for as long as callers may still use it.
func (h *Host) stop(ctx context.Context) {
	event.Stopping.Log(h.Log).Send()
	h.stopping.Store(true)
	deadline := time.Now().Add(h.Grace - stopMargin)
	stopCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	h.handOver(stopCtx)
	pause(stopCtx, time.Until(minTime(deadline, time.Now().Add(lameDuck))))
}

const (
	// stopMargin is kept of the grace for the end of the process itself.
	stopMargin = 1500 * time.Millisecond
	// lameDuck is how long a host that is not ready still gets new
	// connections: two misses of the balancer's look each second, and one more.
	lameDuck = 3200 * time.Millisecond
)

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Stats are figures of a host that other goroutines read.
type Stats struct {
	relayTurn atomic.Int64
	pending   atomic.Pointer[map[string]pendingCount]
	set       *metrics.Set
}

type pendingCount struct {
	n  int
	at time.Time
}

// pendingAge is the age up to which a count may still be given: it is meant to
// be at most two seconds old.
const pendingAge = 1500 * time.Millisecond

func newStats() *Stats {
	s := &Stats{set: metrics.NewSet()}
	s.pending.Store(&map[string]pendingCount{})
	return s
}

func (s *Stats) notePending(queue string, n int) {
	old := *s.pending.Load()
	next := make(map[string]pendingCount, len(old)+1)
	for name, count := range old {
		if time.Since(count.at) < pendingAge {
			next[name] = count
		}
	}
	next[queue] = pendingCount{n, time.Now()}
	s.pending.Store(&next)
}

func (s *Stats) lastPending(queue string) (n int, ok bool) {
	count, ok := (*s.pending.Load())[queue]
	return count.n, ok && time.Since(count.at) < pendingAge
}

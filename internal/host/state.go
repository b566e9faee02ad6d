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
		case progress.Started:
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
			sent = sent || !kvstore.NotApplied(err)
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

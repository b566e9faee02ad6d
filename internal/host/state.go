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

// State returns the state of a job and its team. It returns ErrNoJob if there is
// no such job, and ErrUnknown if neither the owner nor the store has responded
// before ctx ends.
func (h *Host) State(ctx context.Context, id string) (state work.State, team string, err error) {
	reply := h.queryOwnerState(ctx, id)
	if reply.Owner && reply.Known {
		return reply.State, reply.Team, nil
	}
	return h.storedState(ctx, id)
}

// queryOwnerState queries the owner of the cell for the state of a job. The
// reply is empty if the owner cannot be reached.
func (h *Host) queryOwnerState(ctx context.Context, id string) (reply stateReply) {
	return queryOwner(ctx, h, callState, &stateRequest{ID: id}, func() stateReply { return h.localState(id) })
}

// queryOwner makes one call to the owner of the cell. If this host is the owner, it calls local
// instead. The reply is empty if the owner cannot be reached.
func queryOwner[In, Out any](ctx context.Context, h *Host, call string, in *In, local func() Out) (reply Out) {
	v := h.view.Load()
	if !v.known {
		return reply
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	if v.owner.Instance == h.instance {
		_ = h.loop.Call(callCtx, func() { reply = local() })
		return reply
	}
	got, err := peer.Call[In, Out](callCtx, h.peers, v.owner.Address, call, in)
	if err != nil {
		return reply
	}
	return *got
}

// storedState reads the state of a job from the store. Between attempts it
// queries the owner again.
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
		sleep(ctx, stateRetryInterval)
		if reply := h.queryOwnerState(ctx, id); reply.Owner && reply.Known {
			return reply.State, reply.Team, nil
		}
	}
}

// stateRetryInterval is the interval between two attempts to read a job's
// state.
const stateRetryInterval = 80 * time.Millisecond

// readState makes one attempt to read the state of a job from the store.
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
		case progress.HasBegun() || progress.MayRun():
			state = work.StateRunning
		}
	}
	if cancel.Revision > 0 {
		state = work.StateCancelled
	}
	return state, job.Team, nil
}

// Cancel stores the cancellation of a job. It returns ErrNoJob if the team has
// no such job, ErrNotRun if the cancellation was not stored and never will be, and
// ErrUnknown if the store has not confirmed it before ctx ends.
//
// Before it returns ErrNoJob for a job that is not stored, it stores a tombstone: an earlier
// submission may have sent a write of the job that the store has yet to execute.
func (h *Host) Cancel(ctx context.Context, id, team string, call *Call) (err error) {
	var tombstone int64 // revision that is known; 0: none
	counted := false    // in the budget of tombstones
	for {
		_, jobTeam, err := h.State(ctx, id)
		unknown := errs.Is(err, ErrNoJob)
		switch {
		case err == nil && jobTeam != team:
			return ErrNoJob
		case err != nil && !unknown:
			// State has tried until ctx ended.
			event.CancelFailed.Log(h.Log).Str("job", id).Err(err).Send()
			return ErrUnknown
		case unknown && !counted:
			if !h.tombstones.take(team, bootClock(), h.Members()) {
				h.countTombstone("limited")
				return errTombstoneLimit
			}
			counted = true
		}
		if unknown {
			tombstone, err = h.writeTombstone(ctx, id, team, tombstone)
			switch {
			case err == nil:
				return ErrNoJob
			case errs.Is(err, kvstore.ErrConflict) && ctx.Err() == nil:
				continue // the job was stored meanwhile, or the account has cancelled it before
			}
		} else if err = h.storeCancellation(ctx, id, team); err == nil {
			return nil
		}
		if again := h.awaitAgain(ctx, call, err); again != nil {
			event.CancelFailed.Log(h.Log).Str("job", id).Bool("sent", errs.Is(again, ErrUnknown)).Err(err).Send()
			return again
		}
	}
}

// storeCancellation stores the cancellation of a stored job and notifies the owner. It succeeds
// if the job was cancelled before.
func (h *Host) storeCancellation(ctx context.Context, id, team string) (err error) {
	key := jobPrefix + id + cancelSuffix
	_, _, err = h.store.Write(ctx, kvstore.Txn{
		Expected: []kvstore.Condition{{Key: key}},
		Puts:     []kvstore.Put{{Key: key, Value: []byte(h.instance)}},
	})
	if err != nil && !errs.Is(err, kvstore.ErrConflict) {
		return err
	}
	event.CancelStored.Log(h.Log).Str("job", id).Str("team", team).Send()
	h.notifyOwner(id, callCancel, &cancelRequest{ID: id}, func() bool { return h.cancelLocally(id) }, nil)
	return nil
}

// Pending returns the number of accepted jobs of a queue of which no task has begun.
// While the owner does not respond, it returns the last count for up to
// maxPendingAge. It returns ErrUnknown if there is none before ctx ends.
func (h *Host) Pending(ctx context.Context, queue string) (n int, err error) {
	for {
		if reply := h.queryOwnerPending(ctx, queue); reply.Owner {
			h.stats.recordPending(queue, reply.Pending)
			return reply.Pending, nil
		}
		if n, ok := h.stats.lastPending(queue); ok {
			return n, nil
		}
		if ctx.Err() != nil {
			return 0, ErrUnknown
		}
		sleep(ctx, stateRetryInterval)
	}
}

// queryOwnerPending queries the owner of the cell for the number of pending
// jobs. The reply is empty if the owner cannot be reached.
func (h *Host) queryOwnerPending(ctx context.Context, queue string) (reply pendingReply) {
	return queryOwner(ctx, h, callPending, &pendingRequest{Queue: queue}, func() pendingReply { return h.localPending(queue) })
}

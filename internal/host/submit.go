package host

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/work"
)

// Errors that are reported to clients.
var (
	// ErrNotRun means that the job was not stored and will not run.
	ErrNotRun = errs.New("not accepted, nothing will run")
	// ErrUnknown means that the outcome is not known and the client has to
	// repeat the call.
	ErrUnknown = errs.New("outcome unknown, repeat the call")
	// ErrNoJob means that there is no such job.
	ErrNoJob = errs.New("no such job")
)

// ownerQueryTimeout bounds one query to the owner; after it the store is read.
const ownerQueryTimeout = 400 * time.Millisecond

// Submit stores a job. It returns nil if the job is stored, also if an earlier
// call has stored it. After ErrNotRun the job never runs; after ErrUnknown it
// may run. A write that fails is repeated once the store responds again.
func (h *Host) Submit(ctx context.Context, job *work.Job, call *Call) (err error) {
	job.Accepted = wallClock()
	value, err := work.EncodeJob(job)
	if err != nil {
		return err
	}
	if err := h.admit(ctx, job); err != nil {
		return err
	}
	occupied, err := h.takeRoom(ctx, job)
	if err != nil {
		if errs.Is(err, ErrUnknown) && h.stats.rejectionLogs.allow(time.Now(), maxRejectionLogs) {
			event.JobUnknown.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Str("reason", "no room confirmed").Send()
		}
		return err
	}
	write := &jobWrite{key: jobPrefix + job.ID, tombstone: tombstoneKey(job.ID, job.Team), value: value}
	for {
		found, err := h.storeJob(ctx, call, write)
		switch {
		case err == nil:
			event.JobStored.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Str("team", job.Team).
				Dur("took", wallClock()-job.Accepted).Int64("config", h.tablesVersion()).Dur("config-age", h.TablesAge()).Send()
			h.notifyOfJob(job, value, occupied)
			return nil
		case errs.Is(err, kvstore.ErrConflict) && revisionOf(found, write.key, 0) > 0:
			occupied.free()
			event.JobStored.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Bool("again", true).Send()
			h.notifyStored(found)
			return nil
		case errs.Is(err, kvstore.ErrConflict) && revisionOf(found, write.tombstone, 0) > 0:
			if err = h.storeCancelled(ctx, write); err == nil || errs.Is(err, kvstore.ErrConflict) {
				occupied.free()
				event.JobStored.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Bool("cancelled", true).Send()
				return nil
			}
		}
		if again := h.awaitAgain(ctx, call, err); again != nil {
			if errs.Is(again, ErrUnknown) {
				occupied.freeLate()
			} else {
				occupied.free()
			}
			return h.submitFailed(job, again, err)
		}
	}
}

// submitRetryInterval is the interval between two attempts to store a job or a
// cancellation.
const submitRetryInterval = 60 * time.Millisecond

// submitFailed logs and returns the reason why a job was not stored, or why that is unknown.
func (h *Host) submitFailed(job *work.Job, reason, cause error) error {
	if errs.Is(reason, ErrUnknown) {
		event.JobUnknown.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Err(cause).Send()
		return reason
	}
	event.JobNotAccepted.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Str("reason", reason.Error()).
		Dur("since", time.Since(h.store.LastSuccess())).Err(cause).Send()
	return reason
}

// notifyStored notifies the owner of a job that was stored by an earlier call.
func (h *Host) notifyStored(found []kvstore.Item) {
	at := slices.IndexFunc(found, func(item kvstore.Item) bool { return strings.HasPrefix(item.Key, jobPrefix) })
	if at < 0 || len(found[at].Value) == 0 {
		return
	}
	item := found[at]
	job, err := work.DecodeJob(item.Value)
	if err != nil {
		event.EntryMalformed.Log(h.Log).Str("key", item.Key).Err(err).Send()
		return
	}
	h.notifyOfJob(job, item.Value, &room{host: h})
}

// notifyOfJob notifies the owner of a stored job. The room of the job stays occupied until the
// owner has confirmed that it counts the job: an owner that takes over counts what is stored.
func (h *Host) notifyOfJob(job *work.Job, value []byte, occupied *room) {
	h.notifyOwner(job.ID, callJob, &jobRequest{Job: value}, func() bool { return h.acceptLocally(job) }, occupied.free)
}

const (
	// notifyTimeout bounds the attempts to notify the owner of a change soon.
	// Afterwards the owner finds the change with its watch.
	notifyTimeout = 3 * time.Second
	// notifyRetryInterval is the interval between two attempts.
	notifyRetryInterval = 50 * time.Millisecond
	// lateNotifyInterval replaces it after notifyTimeout.
	lateNotifyInterval = time.Second
)

// notifyOwner notifies the owner of a change in the store, so that the owner
// does not have to wait for its watch. It calls confirmed, if set, when the owner has
// responded, and then does not give up before this host stops.
func (h *Host) notifyOwner(id, call string, request any, local func() bool, confirmed func()) {
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		notified := h.notifyUntil(ctx, notifyRetryInterval, call, request, local)
		if !notified {
			event.OwnerNotNotified.Log(h.Log).Str("job", id).Str("call", call).Send()
			if confirmed == nil {
				return
			}
			notified = h.notifyUntil(h.runCtx, lateNotifyInterval, call, request, local)
		}
		if notified && confirmed != nil {
			confirmed()
		}
	})
}

// notifyUntil repeats the notification until the owner has responded or ctx ends.
func (h *Host) notifyUntil(ctx context.Context, interval time.Duration, call string, request any, local func() bool) (notified bool) {
	for ctx.Err() == nil {
		if h.notifyOnce(ctx, call, request, local) {
			return true
		}
		sleep(ctx, interval)
	}
	return false
}

// notifyOnce makes one attempt to notify the owner. If this host is the owner,
// it calls local instead.
func (h *Host) notifyOnce(ctx context.Context, call string, request any, local func() bool) (notified bool) {
	v := h.view.Load()
	if !v.known {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	if v.owner.Instance == h.instance {
		_ = h.loop.Call(callCtx, func() { notified = local() })
		return notified
	}
	var reply *ownerReply
	var err error
	switch in := request.(type) {
	case *jobRequest:
		reply, err = peer.Call[jobRequest, ownerReply](callCtx, h.peers, v.owner.Address, call, in)
	case *cancelRequest:
		reply, err = peer.Call[cancelRequest, ownerReply](callCtx, h.peers, v.owner.Address, call, in)
	}
	if err != nil || !reply.Owner {
		return false
	}
	h.window.Observe(reply.Backlog)
	return true
}

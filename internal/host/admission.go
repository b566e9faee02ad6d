package host

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

// knownLoads is the last state of the queues that was received from the owner.
type knownLoads struct {
	queues []sched.QueueLoad
	at     time.Time // when the owner determined it
}

const (
	// maxLoadsAge is the age up to which the state of the queues is used. The owner determines
	// it every 500 ms, and heartbeats follow each other within 200 ms in a cell of up to 80
	// hosts.
	maxLoadsAge = 1500 * time.Millisecond
	// knownIDTimeout bounds the reading of the store before a rejection.
	knownIDTimeout = 300 * time.Millisecond
	// maxRejectionLogs bounds the log lines on rejected jobs in one second.
	maxRejectionLogs = 20
	// maxRetryAfter bounds the time after which a rejected client is asked to return: the load
	// may end at any time.
	maxRetryAfter = 10 * time.Second
)

// uselessError is the rejection of a job that would be useless to its caller.
type uselessError struct{ after time.Duration }

func (e *uselessError) Error() string {
	return fmt.Sprintf("%v: the capacity would not suffice in time", ErrNotRun)
}

func (e *uselessError) Is(target error) bool { return target == ErrNotRun }

// retryAfterUseless returns the number of seconds after which a submission may be repeated that
// was rejected as useless; ok is false for other errors.
func retryAfterUseless(err error) (seconds int, ok bool) {
	var useless *uselessError
	if !errors.As(err, &useless) {
		return 0, false
	}
	return int(math.Ceil(useless.after.Seconds())), true
}

// recordLoads records the state of the queues that the owner has published.
func (h *Host) recordLoads(queues []sched.QueueLoad, age time.Duration) {
	h.loads.Store(&knownLoads{queues: queues, at: time.Now().Add(-age)})
}

// queueLoads returns what the owner on this host publishes, and records it for this host.
func (h *Host) queueLoads() (queues []sched.QueueLoad, ageMs int64) {
	queues, age := h.cellOwner.QueueLoads()
	h.recordLoads(queues, age)
	return queues, age.Milliseconds()
}

// admit returns an error that is ErrNotRun if the job would clearly be useless to its caller.
// Nothing of it has been stored then. Without fresh knowledge the job is admitted, and so is a
// job that an earlier call may have stored.
func (h *Host) admit(ctx context.Context, job *work.Job) (err error) {
	loads := h.loads.Load()
	if loads == nil || time.Since(loads.at) > maxLoadsAge {
		return nil
	}
	end, useless := uselessIn(loads.queues, job)
	if !useless || !h.unknownID(ctx, job.ID) {
		return nil
	}
	need, _ := cell.NewJobOf(job)
	after := retryAfter(end, need.Budget)
	h.countRejected(job.Queue, "useless")
	if h.stats.rejectionLogs.allow(time.Now(), maxRejectionLogs) {
		event.JobUseless.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Str("team", job.Team).Dur("end", end).
			Dur("budget", need.Budget).Float64("core-seconds", need.Work).Dur("age", time.Since(loads.at)).Dur("retry-after", after).Send()
	}
	return &uselessError{after: after}
}

// countRejected counts a job that was rejected.
func (h *Host) countRejected(queue, reason string) {
	h.stats.set.GetOrCreateCounter(fmt.Sprintf(`turmericspread_jobs_rejected_total{queue=%q,reason=%q}`, queue, reason)).Inc()
}

// uselessIn reports whether the job would be useless in the given state of the queues.
func uselessIn(queues []sched.QueueLoad, job *work.Job) (end time.Duration, useless bool) {
	need, ok := cell.NewJobOf(job)
	if !ok {
		return 0, false
	}
	for i := range queues {
		if queues[i].Queue == job.Queue {
			return queues[i].Useless(need)
		}
	}
	return 0, false
}

// unknownID reports whether the store has confirmed that it has no job of this ID. An earlier
// call may have stored it without an answer, and must not be contradicted.
func (h *Host) unknownID(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, knownIDTimeout)
	defer cancel()
	item, err := h.store.Get(ctx, jobPrefix+id)
	return err == nil && item.Revision == 0
}

// retryAfter returns when the job may be of use, spread so that clients do not return together.
func retryAfter(end, budget time.Duration) time.Duration {
	wait := min(max(end-sched.ExpiryFactor*budget, time.Second), maxRetryAfter)
	return wait + time.Duration(rand.Int64N(int64(wait)/2+1))
}

// countDelayed counts a job that is put last in its priority.
func (h *Host) countDelayed(queue string, reason cell.Delay) {
	h.stats.set.GetOrCreateCounter(fmt.Sprintf(`turmericspread_jobs_delayed_total{queue=%q,reason=%q}`, queue, reason)).Inc()
}

// rateBudget bounds how often something is done in each second.
type rateBudget struct {
	second atomic.Int64
	times  atomic.Int64
}

// allow reports whether it may be done once more.
func (b *rateBudget) allow(now time.Time, limit int64) bool {
	if second := now.Unix(); b.second.Swap(second) != second {
		b.times.Store(0)
	}
	return b.times.Add(1) <= limit
}

package host

import (
	"cmp"
	"context"
	"time"

	"turmericspread.org/turmericspread/internal/backlog"
	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

// errCellFull means that the owner of the cell has no memory for the job.
var errCellFull = notRunError{"too many jobs wait or run"}

const (
	// roomRetryInterval is the interval between two questions for room while the cell has no
	// owner that responds. A takeover takes about a second.
	roomRetryInterval = 100 * time.Millisecond
	// lateWriteSpan is how long after its call a write without a response may still be applied:
	// calls that the platform delays are carried out up to 12 seconds later.
	lateWriteSpan = 12 * time.Second
	// confirmationsPerSecond bounds the reads of the store, from all hosts together, that
	// confirm a refusal. The store serves 6,000 reads a second.
	confirmationsPerSecond = 2000
	// minConfirmations is the bound for one host of a large cell.
	minConfirmations = 5
)

// roomRequest asks the owner of the cell for room for a job that is about to be stored.
type roomRequest struct{ Room backlog.Request }

type roomReply struct {
	Owner   bool // the responding host owns the cell
	Granted bool
	Backlog backlog.Report
}

func (h *Host) onRoom(ctx context.Context, in *roomRequest) (out *roomReply, err error) {
	out = &roomReply{}
	err = h.loop.Call(ctx, func() { *out = h.localRoom(in) })
	return out, err
}

// localRoom answers a request for room if the cell's owner runs on this host.
func (h *Host) localRoom(in *roomRequest) (reply roomReply) {
	if h.cellOwner == nil {
		return roomReply{}
	}
	return roomReply{Owner: true, Granted: h.cellOwner.Reserve(in.Room), Backlog: h.cellOwner.BacklogReport()}
}

// room is the memory of the cell's owner that a submission of this host occupies.
type room struct {
	host  *Host
	bytes int64 // in the window of this host; 0: reserved at the owner, or not needed
}

// takeRoom occupies the memory that a job needs on the owner of the cell. It returns
// errCellFull if there is none and the store has confirmed that it has no job of this ID.
// Without an owner it goes on asking until ctx ends, and then returns ErrUnknown, because an
// earlier call may have stored the job.
func (h *Host) takeRoom(ctx context.Context, job *work.Job) (r *room, err error) {
	bytes := cell.Footprint(job)
	request := &roomRequest{Room: backlog.Request{Job: job.ID, Account: backlog.AccountOf(job), Bytes: bytes}}
	for {
		v := h.view.Load()
		if h.window.Take(bytes, h.backlogLimit(), len(v.members)) {
			return &room{host: h, bytes: bytes}, nil
		}
		request.Room.Hold = lateWriteSpan
		if at, ok := ctx.Deadline(); ok {
			request.Room.Hold += time.Until(at)
		}
		reply := queryOwner(ctx, h, callRoom, request, func() roomReply { return h.localRoom(request) })
		if reply.Owner {
			h.window.Observe(reply.Backlog)
			if reply.Granted {
				return &room{host: h}, nil
			}
			// A job that an earlier call has stored needs no room.
			return &room{host: h}, h.confirmRefusal(ctx, job, bytes, reply.Backlog)
		}
		if ctx.Err() != nil {
			return nil, ErrUnknown
		}
		sleep(ctx, roomRetryInterval)
	}
}

// free ends the occupation: the owner counts the job, or it was not stored.
func (r *room) free() {
	if r.bytes > 0 {
		r.host.window.Return(r.bytes)
	}
}

// freeLate ends the occupation once the job can no longer be stored.
func (r *room) freeLate() {
	if r.bytes > 0 {
		time.AfterFunc(lateWriteSpan, r.free)
	}
}

// confirmRefusal returns errCellFull for a job that the cell has no room for. It returns nil if
// an earlier call has stored the job, and ErrUnknown if that cannot be determined.
func (h *Host) confirmRefusal(ctx context.Context, job *work.Job, bytes int64, report backlog.Report) (err error) {
	limit := max(confirmationsPerSecond/max(len(h.view.Load().members), 1), minConfirmations)
	if !h.stats.confirmations.allow(time.Now(), int64(limit)) {
		h.countRejected(job.Queue, "unconfirmed")
		return ErrUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, knownIDTimeout)
	defer cancel()
	item, err := h.store.Get(ctx, jobPrefix+job.ID)
	switch {
	case err != nil:
		return ErrUnknown // failures of the store are logged at their source
	case item.Revision > 0:
		return nil
	}
	h.countRejected(job.Queue, "memory")
	if h.stats.rejectionLogs.allow(time.Now(), maxRejectionLogs) {
		event.JobNoRoom.Log(h.Log).Str("job", job.ID).Str("queue", job.Queue).Str("team", job.Team).Int64("bytes", bytes).
			Int64("used", report.Used).Int64("limit", report.Limit).Send()
	}
	return errCellFull
}

// smallestMemory returns the memory in MB of the smallest host of which it is known: any host may
// have to take the cell over.
func (h *Host) smallestMemory() (mb int64) {
	mb = h.MemoryMB
	for _, m := range h.members {
		if m.MemoryMB > 0 && (mb == 0 || m.MemoryMB < mb) {
			mb = m.MemoryMB
		}
	}
	return mb
}

// backlogLimit returns the bytes that the jobs of the cell may take as far as this host knows.
func (h *Host) backlogLimit() int64 { return backlog.Limit(cmp.Or(h.view.Load().memoryMB, h.MemoryMB)) }

// backlogReport returns the report of the owner on this host, and records it for this host.
func (h *Host) backlogReport() (report backlog.Report) {
	report = h.cellOwner.BacklogReport()
	h.window.Observe(report)
	return report
}

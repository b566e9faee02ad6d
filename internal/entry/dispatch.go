package entry

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/slot"
)

const (
	// rackTimeout bounds a call to the owner of a rack, which makes up to two
	// calls to a worker and may queue them.
	rackTimeout = 6 * time.Second
	// teamTimeout bounds how long a call about a job waits for the owner of the
	// team's queue.
	teamTimeout = 10 * time.Second
	// attemptTimeout bounds one attempt of such a call, so that an unresponsive
	// connection is replaced by a new one.
	attemptTimeout = 3 * time.Second
	// maxLookupWait bounds how long the owner may delay its response to one
	// lookup of a job.
	maxLookupWait = 2 * time.Second
	// ownerRetryInterval is the interval between two attempts to reach the owner of
	// a shard.
	ownerRetryInterval = 50 * time.Millisecond
)

// errNoOwner means that no live process currently owns the shard.
var errNoOwner = peer.ErrUnreachable.New("the shard has no live owner")

// mux returns the handlers of the calls that this process accepts from other
// entry processes.
func (e *Entry) mux() *peer.Mux {
	mux := peer.NewMux()
	peer.Handle(mux, callHeartbeat, e.handleHeartbeat)
	peer.Handle(mux, callConfig, e.handleConfig)
	peer.Handle(mux, callAssign, e.handleAssign)
	peer.Handle(mux, callStartReserved, e.handleStartReserved)
	peer.Handle(mux, callStop, e.handleStop)
	peer.Handle(mux, callReport, e.handleReport)
	peer.Handle(mux, callEnded, e.handleEnded)
	peer.Handle(mux, callSubmit, e.handleSubmit)
	peer.Handle(mux, callGet, e.handleGet)
	peer.Handle(mux, callCancel, e.handleCancel)
	peer.Handle(mux, callServe, e.handleServe)
	return mux
}

// await runs start on the control goroutine and waits for the value passed to
// reply. Values after the first are dropped.
func await[T any](ctx context.Context, e *Entry, start func(now time.Time, reply func(T))) (value *T, err error) {
	replies := make(chan T, 1)
	e.loop.Post(func() {
		start(time.Now(), func(v T) {
			select {
			case replies <- v:
			default:
			}
		})
	})
	select {
	case v := <-replies:
		return &v, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handleConfig responds with the tables of this process.
func (e *Entry) handleConfig(context.Context, *ConfigRequest) (*ConfigReply, error) {
	return &ConfigReply{Tables: e.tables.Load()}, nil
}

func (e *Entry) handleAssign(ctx context.Context, req *rack.AssignRequest) (*rack.Results, error) {
	return await(ctx, e, func(now time.Time, reply func(rack.Results)) { e.assign(*req, now, reply) })
}

// assign starts or reserves tasks on a rack that this process owns.
func (e *Entry) assign(req rack.AssignRequest, now time.Time, reply func(rack.Results)) {
	r, ok := e.racks[req.Shard]
	if !ok {
		reply(rack.Results{NotOwner: true})
		return
	}
	r.Assign(req, now, func(results rack.Results) {
		results.Epoch, results.Summary = r.Epoch, r.Summary()
		reply(results)
	})
}

func (e *Entry) handleStartReserved(ctx context.Context, req *rack.TaskRequest) (*rack.Results, error) {
	return await(ctx, e, func(now time.Time, reply func(rack.Results)) { e.startReserved(*req, now, reply) })
}

// startReserved starts the reserved tasks of a gang on a rack that this process owns.
func (e *Entry) startReserved(req rack.TaskRequest, now time.Time, reply func(rack.Results)) {
	r, ok := e.racks[req.Shard]
	if !ok {
		reply(rack.Results{NotOwner: true})
		return
	}
	r.StartReserved(req, now, func(results rack.Results) {
		results.Epoch = r.Epoch
		reply(results)
	})
}

func (e *Entry) handleStop(ctx context.Context, req *rack.TaskRequest) (*rack.Results, error) {
	return await(ctx, e, func(now time.Time, reply func(rack.Results)) { e.stopTasks(*req, now, reply) })
}

// stopTasks stops tasks on a rack that this process owns.
func (e *Entry) stopTasks(req rack.TaskRequest, now time.Time, reply func(rack.Results)) {
	r, ok := e.racks[req.Shard]
	if !ok {
		reply(rack.Results{NotOwner: true})
		return
	}
	r.Stop(req, now, reply)
}

func (e *Entry) handleReport(ctx context.Context, req *rack.ReportRequest) (*rack.Report, error) {
	return await(ctx, e, func(_ time.Time, reply func(rack.Report)) { reply(e.report(*req)) })
}

// report lists a team's tasks on a rack that this process owns.
func (e *Entry) report(req rack.ReportRequest) rack.Report {
	r, ok := e.racks[req.Shard]
	if !ok {
		return rack.Report{NotOwner: true}
	}
	return r.Report(req, time.Now())
}

func (e *Entry) handleEnded(ctx context.Context, batch *rack.EndedBatch) (*rack.EndedReply, error) {
	return await(ctx, e, func(now time.Time, reply func(rack.EndedReply)) { reply(e.recordEnded(*batch, now)) })
}

// recordEnded records ended tasks in a queue that this process owns.
func (e *Entry) recordEnded(batch rack.EndedBatch, now time.Time) rack.EndedReply {
	q, ok := e.queues[batch.Team]
	if !ok {
		return rack.EndedReply{}
	}
	return q.RecordEnded(batch, now)
}

func (e *Entry) handleSubmit(ctx context.Context, req *job.SubmitRequest) (*job.Reply, error) {
	return await(ctx, e, func(now time.Time, reply func(job.Reply)) {
		e.withQueue(req.Team, reply, func(q *job.Queue) { q.Submit(*req, now, reply) })
	})
}

// handleGet looks up a job, and makes the queue reply at the latest when the
// wait of the reference is over.
func (e *Entry) handleGet(ctx context.Context, ref *job.Ref) (*job.Reply, error) {
	return await(ctx, e, func(_ time.Time, reply func(job.Reply)) {
		e.withQueue(ref.Team, reply, func(q *job.Queue) {
			if ref.Explain {
				q.Explain(*ref, reply)
				return
			}
			q.Get(*ref, reply)
			if ref.WaitMS > 0 {
				wait := time.Duration(ref.WaitMS) * time.Millisecond
				time.AfterFunc(wait, func() { e.loop.Post(func() { q.EndWaits(ref.ID) }) })
			}
		})
	})
}

func (e *Entry) handleCancel(ctx context.Context, ref *job.Ref) (*job.Reply, error) {
	return await(ctx, e, func(now time.Time, reply func(job.Reply)) {
		e.withQueue(ref.Team, reply, func(q *job.Queue) { q.Cancel(*ref, now, reply) })
	})
}

// withQueue calls fn with the queue of a team, or rejects the call if this process
// does not own it.
func (e *Entry) withQueue(team string, reply func(job.Reply), fn func(q *job.Queue)) {
	q, ok := e.queues[team]
	if !ok {
		reply(job.Reply{Refused: job.RefusedNotOwner})
		return
	}
	fn(q)
}

// handleServe forwards a request to a minion of a set that this process owns.
func (e *Entry) handleServe(ctx context.Context, req *slot.Request) (*slot.Response, error) {
	return await(ctx, e, func(now time.Time, reply func(slot.Response)) {
		set, ok := e.sets[req.Shard]
		if !ok {
			reply(slot.Response{ID: req.ID, Outcome: slot.OutcomeNotRun, NotOwner: true, Reason: "not the owner"})
			return
		}
		set.Serve(ctx, *req, now, reply)
	})
}

// ownerAddress returns the owner of a shard and its peer address, or empty
// strings if the shard has no known owner. It runs on the control goroutine.
func (e *Entry) ownerAddress(id shard.ID) (owner shard.Instance, address string) {
	owner, _ = e.tracker.Owner(id)
	if owner == e.info.Instance {
		return owner, e.info.PeerAddress
	}
	m, ok := e.members[owner]
	if !ok {
		return "", ""
	}
	return owner, m.info.PeerAddress
}

// callOwner makes a call to the owner of a shard, in this or another process,
// and passes the response to done on the control goroutine.
func callOwner[In, Out any](e *Entry, id shard.ID, rpc string, in In, timeout time.Duration,
	local func(in In, reply func(Out)), done func(Out, error)) {
	owner, address := e.ownerAddress(id)
	switch owner {
	case "":
		var none Out
		e.loop.Post(func() { done(none, errNoOwner) })
	case e.info.Instance:
		e.loop.Post(func() {
			local(in, func(out Out) { e.loop.Post(func() { done(out, nil) }) })
		})
	default:
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			out, err := peer.Call[In, Out](ctx, e.peers, address, rpc, &in)
			if out == nil {
				out = new(Out)
			}
			e.loop.Post(func() { done(*out, err) })
		}()
	}
}

// assignCall sends a request to the owner of a rack to start or reserve tasks.
func (e *Entry) assignCall(req rack.AssignRequest, done func(rack.Results, error)) {
	local := func(in rack.AssignRequest, reply func(rack.Results)) { e.assign(in, time.Now(), reply) }
	callOwner(e, req.Shard, callAssign, req, rackTimeout, local, done)
}

// startReservedCall sends a request to the owner of a rack to start the
// reserved tasks of a gang.
func (e *Entry) startReservedCall(req rack.TaskRequest, done func(rack.Results, error)) {
	local := func(in rack.TaskRequest, reply func(rack.Results)) { e.startReserved(in, time.Now(), reply) }
	callOwner(e, req.Shard, callStartReserved, req, rackTimeout, local, done)
}

// stopCall sends a request to the owner of a rack to stop tasks.
func (e *Entry) stopCall(req rack.TaskRequest, done func(rack.Results, error)) {
	local := func(in rack.TaskRequest, reply func(rack.Results)) { e.stopTasks(in, time.Now(), reply) }
	callOwner(e, req.Shard, callStop, req, rackTimeout, local, done)
}

// reportCall requests a list of a team's tasks from the owner of a rack.
func (e *Entry) reportCall(req rack.ReportRequest, done func(rack.Report, error)) {
	local := func(in rack.ReportRequest, reply func(rack.Report)) { reply(e.report(in)) }
	callOwner(e, req.Shard, callReport, req, rackTimeout, local, done)
}

// deliver sends ended tasks to the queue of their team.
func (e *Entry) deliver(batch rack.EndedBatch, recorded func(ids []string)) {
	local := func(in rack.EndedBatch, reply func(rack.EndedReply)) { reply(e.recordEnded(in, time.Now())) }
	callOwner(e, shard.TeamID(batch.Team), callEnded, batch, rackTimeout, local, func(reply rack.EndedReply, err error) {
		if err == nil {
			recorded(reply.Recorded)
		}
	})
}

// callTeam makes a call about a job to the owner of the team's queue, and
// repeats it while the queue has no owner or the owner does not respond. All
// such calls may be repeated: a submission includes the ID of its job.
func callTeam[In any](ctx context.Context, e *Entry, team, rpc string, in *In,
	local func(context.Context, *In) (*job.Reply, error)) (reply *job.Reply, err error) {
	sent := false
	for {
		reply, unsent, err := callTeamOnce(ctx, e, team, rpc, in, local)
		sent = sent || !unsent
		if err == nil && reply.Refused != job.RefusedNotOwner {
			return reply, nil
		}
		sleep(ctx, ownerRetryInterval)
		if ctx.Err() != nil {
			if sent {
				return nil, errs.New("the owner of team %s did not answer", team)
			}
			return nil, errNoOwner
		}
	}
}

// callTeamOnce makes one attempt of such a call. The result unsent reports that
// the request was not sent or that the receiver is not the owner.
func callTeamOnce[In any](ctx context.Context, e *Entry, team, rpc string, in *In,
	local func(context.Context, *In) (*job.Reply, error)) (reply *job.Reply, unsent bool, err error) {
	var owner shard.Instance
	var address string
	if err := e.loop.Call(ctx, func() { owner, address = e.ownerAddress(shard.TeamID(team)) }); err != nil {
		return nil, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	switch owner {
	case "":
		return nil, true, errNoOwner
	case e.info.Instance:
		reply, err = local(ctx, in)
	default:
		reply, err = peer.Call[In, job.Reply](ctx, e.peers, address, rpc, in)
	}
	unsent = err != nil && peer.ErrUnreachable.Has(err) || err == nil && reply.Refused == job.RefusedNotOwner
	return reply, unsent, err
}

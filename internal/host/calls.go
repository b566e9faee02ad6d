package host

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/backlog"
	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

// Names of the calls between hosts.
const (
	callHeartbeat = "beat"
	callStore     = "store"
	callJob       = "job"
	callCancel    = "cancel"
	callState     = "state"
	callPending   = "pending"
	callAdvise    = "advise"
	callHandOver  = "hand-over"
	callCarry     = "carry"
	callTables    = "tables"
	callRoom      = "room"
)

type heartbeatRequest struct {
	Member    memberRow
	StoreLost bool  // the store rejects the sender's requests
	Sequence  int64 // rises with each heartbeat of an instance; 0 from builds without it
	Tables    int64 // current version of the configuration on the sender
}

type heartbeatReply struct {
	Instance string
	Owner    bool // the responding host owns the cell or is loading it
	Tables   tablesReply
	// Recorded means that all that may run is in the records of the responding owner. It
	// starts nothing without a record until storeUnavailableAfter after its last successful
	// call to the store.
	Recorded bool
	StoreAge int64 // milliseconds since that call, rounded up
	Epoch    int64 // of the responding owner; 0 from builds without it
	// Sole means that no former owner can act any more.
	Sole bool
	// AsksPeers means that for peersSpan after a heartbeat of a host with access to the
	// store, the responding owner starts nothing without a record.
	AsksPeers bool
	// Loads is the state of the queues in a shortage; empty if there is none, and from builds
	// without it.
	Loads    []sched.QueueLoad
	LoadsAge int64 // of Loads, in milliseconds
	// Backlog is the memory that the accepted jobs take; empty from builds without it.
	Backlog backlog.Report
}

type storeReply struct {
	Response kvstore.Response
	Failure  string // one of the failures below; empty: none
}

// Failures of a relayed store request.
const (
	failureRefused   = "refused"
	failureUnknown   = "unknown"
	failureCompacted = "compacted"
)

// jobRequest notifies the owner of a stored job, which is passed in its stored
// encoding.
type jobRequest struct{ Job []byte }

type cancelRequest struct{ ID string }

// ownerReply states whether the responding host owns the cell and has thus
// processed the request.
type ownerReply struct {
	Owner   bool
	Backlog backlog.Report // after the request; empty from builds without it
}

type stateRequest struct{ ID string }

type stateReply struct {
	Owner bool // the responding host owns the cell
	Known bool // the owner has the job in memory
	State work.State
	Team  string
}

type pendingRequest struct{ Queue string }

type pendingReply struct {
	Owner   bool // the responding host owns the cell
	Pending int
}

// handOverRequest asks a host to claim the cell. It contains the current
// ownership row and its revision, on which the claim is conditional.
type handOverRequest struct {
	Owner    ownerRow
	Revision int64
	Recorded bool // all that may run is in the records, and nothing is started without one
	Sole     bool // no former owner can act any more
}

// handOverReply states whether the responding host owns the cell now.
type handOverReply struct{ Taken bool }

// mux returns the handlers of the calls from other hosts.
func (h *Host) mux() *peer.Mux {
	mux := peer.NewMux()
	peer.Handle(mux, callHeartbeat, h.onHeartbeat)
	peer.Handle(mux, callStore, h.onStore)
	peer.Handle(mux, callJob, h.onJob)
	peer.Handle(mux, callCancel, h.onCancel)
	peer.Handle(mux, callState, h.onState)
	peer.Handle(mux, callPending, h.onPending)
	peer.Handle(mux, callAdvise, h.onAdvise)
	peer.Handle(mux, callTables, h.onTables)
	peer.Handle(mux, callRoom, h.onRoom)
	peer.Handle(mux, callHandOver, h.onHandOver)
	peer.HandleStream(mux, callCarry, h.serveCarrier)
	return mux
}

// onHeartbeat records the sender as alive. The response states whether this
// host still owns the cell and contains the changes of the configuration that
// the sender lacks.
func (h *Host) onHeartbeat(ctx context.Context, in *heartbeatRequest) (out *heartbeatReply, err error) {
	out = &heartbeatReply{Instance: h.instance, Tables: h.tablesReplyFor(in.Tables, maxInlineUpdate)}
	err = h.loop.Call(ctx, func() {
		out.Owner = h.cellOwner != nil || h.loading()
		if o := h.cellOwner; o != nil {
			out.Recorded, out.Sole, out.Epoch = o.Recorded(), o.Sole(), o.Epoch
			out.Loads, out.LoadsAge = h.queueLoads()
			out.Backlog = h.backlogReport()
		}
		out.AsksPeers = true
		out.StoreAge = time.Since(h.store.LastSuccess()).Milliseconds() + 1
		h.recordHeartbeat(in)
	})
	return out, err
}

// onStore executes a store request for a host whose own requests the store
// rejects.
func (h *Host) onStore(ctx context.Context, in *kvstore.Request) (out *storeReply, err error) {
	callCtx, cancel := context.WithTimeout(ctx, relayTimeout(in))
	defer cancel()
	resp, callErr := h.DirectStore(callCtx, *in)
	out = &storeReply{Response: resp}
	switch {
	case callErr == nil:
	case errs.Is(callErr, kvstore.ErrCompacted):
		out.Failure = failureCompacted
	case kvstore.NotApplied(callErr):
		out.Failure = failureRefused
	default:
		out.Failure = failureUnknown
	}
	return out, nil
}

// relayTimeout bounds one attempt to relay a request. A large response is
// transferred over two links.
func relayTimeout(req *kvstore.Request) (timeout time.Duration) {
	timeout = directTimeout
	if req.Large {
		timeout *= 2
	}
	if req.Watch != nil {
		timeout += req.Watch.Wait
	}
	return timeout
}

// maxRelayAttempts is the maximum number of hosts tried for one request.
const maxRelayAttempts = 2

// storeThroughPeer executes a store request through another host.
func (h *Host) storeThroughPeer(ctx context.Context, req kvstore.Request) (resp kvstore.Response, err error) {
	err = kvstore.ErrUnreachable
	for _, address := range h.relayAddresses() {
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout(&req))
		reply, callErr := peer.Call[kvstore.Request, storeReply](callCtx, h.peers, address, callStore, &req)
		cancel()
		switch {
		case isUnreachable(callErr):
			continue
		case callErr != nil || reply.Failure == failureUnknown:
			err = kvstore.ErrUnknown
			h.lastRelay.Store(nil)
			// The write may have been applied, so it is not sent through
			// another host.
			if req.Txn != nil {
				return kvstore.Response{}, err
			}
		case reply.Failure == failureCompacted:
			return kvstore.Response{}, kvstore.ErrCompacted
		case reply.Failure == failureRefused:
			err = kvstore.ErrRefused
		default:
			h.lastRelay.Store(&address)
			return reply.Response, nil
		}
	}
	h.lastRelay.Store(nil)
	return kvstore.Response{}, err
}

// relayAddresses selects the hosts to relay a request: a few members in
// round-robin order, or seeds if no member is known.
func (h *Host) relayAddresses() (list []string) {
	v := h.view.Load()
	for _, m := range v.members {
		if m.Instance != h.instance && m.Address != h.PeerAddress {
			list = append(list, m.Address)
		}
	}
	for _, seed := range *h.seeds.Load() {
		if len(v.members) == 0 && seed != h.PeerAddress {
			list = append(list, seed)
		}
	}
	if len(list) == 0 {
		return nil
	}
	// The host that relayed the last request is tried first, because others may be
	// without access to the store as well.
	first := int(h.stats.relayTurn.Add(1)) % len(list)
	if last := h.lastRelay.Load(); last != nil {
		first = max(slices.Index(list, *last), 0)
	}
	list = append(list[first:], list[:first]...)
	return list[:min(maxRelayAttempts, len(list))]
}

// isConnectionRefused reports whether err proves that no process listens at the
// address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isUnreachable reports whether err proves that the request was not sent.
func isUnreachable(err error) bool {
	return err != nil && (isConnectionRefused(err) || peer.ErrUnreachable.Has(err))
}

func (h *Host) onJob(ctx context.Context, in *jobRequest) (out *ownerReply, err error) {
	job, err := work.DecodeJob(in.Job)
	if err != nil {
		return nil, err
	}
	if err := job.Check(); err != nil {
		return nil, err
	}
	out = &ownerReply{}
	err = h.loop.Call(ctx, func() {
		// A job that is in the store although it is not expected is found by the watch, and its
		// host repeats the notification until then. One that is not stored is not kept.
		if h.cellOwner != nil && !h.cellOwner.Expects(job) {
			return
		}
		if out.Owner = h.acceptLocally(job); out.Owner {
			out.Backlog = h.backlogReport()
		}
	})
	return out, err
}

// acceptLocally passes a stored job to the cell's owner if it runs on this
// host.
func (h *Host) acceptLocally(job *work.Job) (owner bool) {
	if h.cellOwner == nil {
		return false
	}
	h.cellOwner.Accept(job)
	h.cellOwner.Tick()
	h.backlogReport()
	return true
}

func (h *Host) onCancel(ctx context.Context, in *cancelRequest) (out *ownerReply, err error) {
	out = &ownerReply{}
	err = h.loop.Call(ctx, func() {
		if out.Owner = h.cancelLocally(in.ID); out.Owner {
			out.Backlog = h.backlogReport()
		}
	})
	return out, err
}

// cancelLocally passes a stored cancellation to the cell's owner if it runs on
// this host. It reports whether the owner has recorded it.
func (h *Host) cancelLocally(id string) (recorded bool) {
	if h.cellOwner == nil || !h.cellOwner.Cancel(id) {
		return false
	}
	h.cellOwner.Tick()
	return true
}

func (h *Host) onState(ctx context.Context, in *stateRequest) (out *stateReply, err error) {
	out = &stateReply{}
	err = h.loop.Call(ctx, func() { *out = h.localState(in.ID) })
	return out, err
}

func (h *Host) localState(id string) (reply stateReply) {
	if h.cellOwner == nil {
		return stateReply{}
	}
	reply.Owner = true
	reply.State, reply.Team, reply.Known = h.cellOwner.State(id)
	return reply
}

func (h *Host) onPending(ctx context.Context, in *pendingRequest) (out *pendingReply, err error) {
	out = &pendingReply{}
	err = h.loop.Call(ctx, func() { *out = h.localPending(in.Queue) })
	return out, err
}

func (h *Host) localPending(queue string) pendingReply {
	if h.cellOwner == nil {
		return pendingReply{}
	}
	return pendingReply{Owner: true, Pending: h.cellOwner.Pending(queue)}
}

func (h *Host) onAdvise(ctx context.Context, in *work.AdviceRequest) (out *work.AdviceResponse, err error) {
	response, err := h.Targets.Advise(ctx, *in)
	return &response, err
}

const (
	// minAliveTimeout is the minimum time after a heartbeat during which a host
	// counts as alive.
	minAliveTimeout = 1200 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a
	// heartbeat after which a host no longer counts as alive.
	maxMissedHeartbeats = 3
)

// aliveAddresses returns the addresses of the hosts with a recent heartbeat.
func (h *Host) aliveAddresses() map[string]bool {
	alive := map[string]bool{}
	timeout := max(minAliveTimeout, maxMissedHeartbeats*h.heartbeatInterval())
	for _, m := range h.members {
		if time.Since(h.heartbeats[m.Instance].at) < timeout {
			alive[m.Address] = true
		}
	}
	return alive
}

// handOverCandidates returns the hosts with a recent heartbeat, best candidate
// first: hosts with access to the store come before others, then hosts with a
// larger CPU share, then hosts that started last. In a rolling restart these
// are not stopped again.
func (h *Host) handOverCandidates() (list []memberRow) {
	alive := h.aliveAddresses()
	for _, m := range h.view.Load().members {
		if m.Instance != h.instance && alive[m.Address] {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b memberRow) int {
		if c := compareTrueFirst(!h.heartbeats[a.Instance].storeLost, !h.heartbeats[b.Instance].storeLost); c != 0 {
			return c
		}
		if c := cmp.Compare(b.CPUShare, a.CPUShare); c != 0 {
			return c
		}
		return cmp.Compare(b.Started, a.Started)
	})
	return list
}

// onHandOver claims the cell at the request of its current owner.
func (h *Host) onHandOver(ctx context.Context, in *handOverRequest) (out *handOverReply, err error) {
	out = &handOverReply{}
	if h.stopping.Load() {
		return out, nil
	}
	claim := false
	err = h.loop.Call(ctx, func() {
		if h.claiming || h.cellOwner != nil {
			return
		}
		h.claiming, claim = true, true
	})
	if err != nil || !claim {
		return out, err
	}
	done := make(chan struct{})
	h.spawn(func() {
		defer close(done)
		// The claim continues even if the caller stops waiting.
		former := predecessor{starts: cell.PredecessorUnrecorded, alive: !in.Sole}
		if in.Recorded {
			former.starts = cell.PredecessorRecorded
		}
		h.claimNow(h.runCtx, in.Owner, in.Revision, former)
		h.loop.Post(func() { h.claiming = false })
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	err = h.loop.Call(ctx, func() { out.Taken = h.cellOwner != nil })
	return out, err
}

package host

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/work"
)

// Names of the calls between hosts.
const (
	callBeat     = "beat"
	callStore    = "store"
	callJob      = "job"
	callCancel   = "cancel"
	callState    = "state"
	callPending  = "pending"
	callAdvise   = "advise"
	callHandOver = "hand-over"
	callCarry    = "carry"
	callTables   = "tables"
)

type beatRequest struct {
	Member    memberRow
	StoreLost bool  // the store turns the sender away
	Tables    int64 // version of the configuration in force at the sender
}

type beatReply struct {
	Instance string
	Owner    bool // the answering host owns the cell, or is loading it
	Tables   tablesReply
}

type storeReply struct {
	Response kvstore.Response
	Failure  string // one of the failures below; empty: none
}

// Failures of a relayed call to the store.
const (
	failureRefused   = "refused"
	failureUnknown   = "unknown"
	failureCompacted = "compacted"
)

type jobRequest struct{ Job []byte }

type cancelRequest struct{ ID string }

type ownerReply struct{ Owner bool }

type stateRequest struct{ ID string }

type stateReply struct {
	Owner bool
	Known bool
	State work.State
	Team  string
}

type pendingRequest struct{ Queue string }

type pendingReply struct {
	Owner   bool
	Pending int
}

type handOverRequest struct {
	Owner    ownerRow
	Revision int64
}

type handOverReply struct{ Taken bool }

func (h *Host) mux() *peer.Mux {
	mux := peer.NewMux()
	peer.Handle(mux, callBeat, h.onBeat)
	peer.Handle(mux, callStore, h.onStore)
	peer.Handle(mux, callJob, h.onJob)
	peer.Handle(mux, callCancel, h.onCancel)
	peer.Handle(mux, callState, h.onState)
	peer.Handle(mux, callPending, h.onPending)
	peer.Handle(mux, callAdvise, h.onAdvise)
	peer.Handle(mux, callTables, h.onTables)
	peer.Handle(mux, callHandOver, h.onHandOver)
	peer.HandleStream(mux, callCarry, h.carry)
	return mux
}

func (h *Host) onBeat(ctx context.Context, in *beatRequest) (out *beatReply, err error) {
	out = &beatReply{Instance: h.instance, Tables: h.tablesFor(in.Tables, inlineUpdate)}
	err = h.loop.Call(ctx, func() {
		out.Owner = h.own != nil || h.loading()
		h.heard[in.Member.Instance] = time.Now()
		h.cutOff[in.Member.Instance] = in.StoreLost
		if h.noteMember(in.Member) {
			h.publish()
		}
	})
	return out, err
}

// onStore carries out a call to the store for a host that the store turns away.
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

// relayTimeout bounds one try to relay a call. A long answer crosses two links.
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

// relayTries bounds the hosts that are asked to relay one call.
const relayTries = 2

// storeThroughPeer carries out req through other hosts.
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
			h.relayLast.Store(nil)
			if req.Txn != nil {
				return kvstore.Response{}, err
			}
		case reply.Failure == failureCompacted:
			return kvstore.Response{}, kvstore.ErrCompacted
		case reply.Failure == failureRefused:
			err = kvstore.ErrRefused
		default:
			h.relayLast.Store(&address)
			return reply.Response, nil
		}
	}
	h.relayLast.Store(nil)
	return kvstore.Response{}, err
}

// relayAddresses picks hosts to relay a call: a few members in turn, or the
// seeds while no member is known.
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
	// The host that answered last goes first: others may be cut off as well.
	first := int(h.stats.relayTurn.Add(1)) % len(list)
	if last := h.relayLast.Load(); last != nil {
		first = max(slices.Index(list, *last), 0)
	}
	list = append(list[first:], list[:first]...)
	return list[:min(relayTries, len(list))]
}

// refusedConnection reports whether err proves that no process listens at an
// address.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func isUnreachable(err error) bool {
	return err != nil && (refusedConnection(err) || peer.ErrUnreachable.Has(err))
}

func (h *Host) onJob(ctx context.Context, in *jobRequest) (out *ownerReply, err error) {
	job, err := work.DecodeJob(in.Job)
	if err != nil {
		return nil, err
	}
	out = &ownerReply{}
	err = h.loop.Call(ctx, func() { out.Owner = h.acceptHere(job) })
	return out, err
}

func (h *Host) acceptHere(job *work.Job) (owner bool) {
	if h.own == nil {
		return false
	}
	h.own.Accept(job)
	h.own.Tick()
	return true
}

func (h *Host) onCancel(ctx context.Context, in *cancelRequest) (out *ownerReply, err error) {
	out = &ownerReply{}
	err = h.loop.Call(ctx, func() { out.Owner = h.cancelHere(in.ID) })
	return out, err
}

func (h *Host) cancelHere(id string) (owner bool) {
	if h.own == nil {
		return false
	}
	h.own.Cancel(id)
	h.own.Tick()
	return true
}

func (h *Host) onState(ctx context.Context, in *stateRequest) (out *stateReply, err error) {
	out = &stateReply{}
	err = h.loop.Call(ctx, func() { *out = h.stateHere(in.ID) })
	return out, err
}

func (h *Host) stateHere(id string) (reply stateReply) {
	if h.own == nil {
		return stateReply{}
	}
	reply.Owner = true
	reply.State, reply.Team, reply.Known = h.own.State(id)
	return reply
}

func (h *Host) onPending(ctx context.Context, in *pendingRequest) (out *pendingReply, err error) {
	out = &pendingReply{}
	err = h.loop.Call(ctx, func() { *out = h.pendingHere(in.Queue) })
	return out, err
}

func (h *Host) pendingHere(queue string) pendingReply {
	if h.own == nil {
		return pendingReply{}
	}
	return pendingReply{Owner: true, Pending: h.own.Pending(queue)}
}

func (h *Host) onAdvise(ctx context.Context, in *work.AdviceRequest) (out *work.AdviceResponse, err error) {
	report, err := h.Targets.Advise(ctx, *in)
	return &report, err
}

const (
	// aliveFor is how long at least after a heartbeat a host counts as alive.
	aliveFor = 1200 * time.Millisecond
	// aliveBeats is how many heartbeats may be missing meanwhile.
	aliveBeats = 3
)

// aliveAddresses returns the addresses of the hosts heard lately.
func (h *Host) aliveAddresses() map[string]bool {
	alive := map[string]bool{}
	limit := max(aliveFor, aliveBeats*h.beatEvery())
	for _, m := range h.members {
		if time.Since(h.heard[m.Instance]) < limit {
			alive[m.Address] = true
		}
	}
	return alive
}

// successors lists the hosts heard lately: those that the store serves first,
// then strong ones, then those that started last. In a rolling restart these are
// not stopped again.
func (h *Host) successors() (list []memberRow) {
	alive := h.aliveAddresses()
	for _, m := range h.view.Load().members {
		if m.Instance != h.instance && alive[m.Address] {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b memberRow) int {
		if c := compareTrue(!h.cutOff[a.Instance], !h.cutOff[b.Instance]); c != 0 {
			return c
		}
		if c := cmp.Compare(b.Power, a.Power); c != 0 {
			return c
		}
		return cmp.Compare(b.Started, a.Started)
	})
	return list
}

func (h *Host) onHandOver(ctx context.Context, in *handOverRequest) (out *handOverReply, err error) {
	out = &handOverReply{}
	if h.stopping.Load() {
		return out, nil
	}
	claim := false
	err = h.loop.Call(ctx, func() {
		if h.claiming || h.own != nil {
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
		// The claim goes on should the caller give up waiting.
		h.claimNow(h.runCtx, in.Owner, in.Revision)
		h.loop.Post(func() { h.claiming = false })
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	err = h.loop.Call(ctx, func() { out.Taken = h.own != nil })
	return out, err
}

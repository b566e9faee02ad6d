package kvstore

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Relay calls the store directly and falls back to calling it through another host,
// because the store may reject single hosts while it serves the others.
type Relay struct {
	// Direct calls the store.
	Direct func(ctx context.Context, req Request) (Response, error)
	// ViaPeer calls the store through another host. It is nil if there is no such path.
	ViaPeer func(ctx context.Context, req Request) (Response, error)
	// DirectTimeout bounds a direct call.
	DirectTimeout time.Duration
	// LargeTimeout replaces DirectTimeout, if longer, for calls with Request.Large.
	LargeTimeout time.Duration
	// ProbeKey is the key that is read to check whether direct calls work again.
	ProbeKey string
	// OnDirectChange is called when direct calls start to fail or work again.
	OnDirectChange func(direct bool, err error)

	failing      atomic.Bool  // the last direct call failed
	failingSince atomic.Int64 // Unix nanoseconds
	nextProbe    atomic.Int64 // Unix nanoseconds
}

// DirectOutage returns for how long direct calls have been failing, or 0 if they work.
func (r *Relay) DirectOutage() time.Duration {
	if !r.failing.Load() {
		return 0
	}
	return time.Since(time.Unix(0, r.failingSince.Load()))
}

// directRetryInterval is the interval between two probes of the direct path while it
// fails. It is short because the path through a peer costs one more hop.
const directRetryInterval = 500 * time.Millisecond

// Do calls the store directly and, if that fails, through a peer. While direct calls
// fail, calls go through the peer immediately and the direct path is probed in the
// background, because a store that rejects a host may do so by not answering, and a
// call would wait for the whole timeout. A write without a response is sent again
// only if it has a condition, which ensures that it is applied at most once. If the
// first attempt was applied after all, the second one ends with a conflict.
func (r *Relay) Do(ctx context.Context, req Request) (resp Response, err error) {
	if r.ViaPeer != nil && r.failing.Load() {
		r.probe()
		resp, err = r.ViaPeer(ctx, req)
		if !errs.Is(err, ErrUnreachable) || ctx.Err() != nil {
			return resp, err
		}
		// No peer is reachable, so the direct path is the only one left.
		return r.direct(ctx, req)
	}
	resp, err = r.direct(ctx, req)
	if err == nil || r.ViaPeer == nil || ctx.Err() != nil || errs.Is(err, ErrCompacted) {
		return resp, err
	}
	if req.Txn != nil && len(req.Txn.Expected) == 0 && !NotApplied(err) {
		return Response{}, err
	}
	resp, peerErr := r.ViaPeer(ctx, req)
	if peerErr == nil {
		return resp, nil
	}
	if NotApplied(err) {
		// The direct call was not applied, so the peer's error decides whether the
		// request may have been.
		return Response{}, peerErr
	}
	return Response{}, err
}

// probe makes a direct call in the background if the next probe is due.
func (r *Relay) probe() {
	now := time.Now()
	next := r.nextProbe.Load()
	if now.UnixNano() < next || !r.nextProbe.CompareAndSwap(next, now.Add(directRetryInterval).UnixNano()) {
		return
	}
	go func() {
		// direct records the result in failing and reports it to OnDirectChange.
		_, _ = r.direct(context.Background(), Request{Get: r.ProbeKey})
	}()
}

// Probe reads ProbeKey directly, without the path through a peer, and records whether direct
// calls work.
func (r *Relay) Probe(ctx context.Context) error {
	_, err := r.direct(ctx, Request{Get: r.ProbeKey})
	return err
}

// direct calls the store directly and records whether direct calls fail. A call that
// the caller cancelled records nothing.
func (r *Relay) direct(ctx context.Context, req Request) (resp Response, err error) {
	timeout := r.DirectTimeout
	if req.Large {
		timeout = max(timeout, r.LargeTimeout)
	}
	if req.Watch != nil {
		timeout += req.Watch.Wait
	}
	directCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err = r.Direct(directCtx, req)
	if errors.Is(ctx.Err(), context.Canceled) {
		return resp, err
	}
	failing := err != nil && !errs.Is(err, ErrCompacted)
	if failing {
		r.nextProbe.Store(time.Now().Add(directRetryInterval).UnixNano())
	}
	if r.failing.Load() != failing {
		r.failingSince.Store(time.Now().UnixNano())
	}
	if r.failing.Swap(failing) != failing && r.OnDirectChange != nil {
		r.OnDirectChange(!failing, err)
	}
	return resp, err
}

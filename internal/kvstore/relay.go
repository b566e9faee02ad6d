package kvstore

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Relay calls the store directly and, where that fails, through another host.
// A store may turn single hosts away while it serves the others.
type Relay struct {
	// Direct calls the store.
	Direct func(ctx context.Context, req Request) (Response, error)
	// ViaPeer calls the store through another host; nil if there is none.
	ViaPeer func(ctx context.Context, req Request) (Response, error)
	// DirectTimeout bounds the direct try.
	DirectTimeout time.Duration
	// LargeTimeout replaces it for calls with a long answer; 0: DirectTimeout.
	LargeTimeout time.Duration
	// ProbeKey is read to find out whether the direct way works again.
	ProbeKey string
	// OnDirectChange is told when the direct way is lost or regained.
	OnDirectChange func(direct bool, err error)

	failing      atomic.Bool
	failingSince atomic.Int64 // Unix nanoseconds
	nextTry      atomic.Int64
}

// DirectOutage returns for how long the direct way has failed, 0 if it works.
func (r *Relay) DirectOutage() time.Duration {
	if !r.failing.Load() {
		return 0
	}
	return time.Since(time.Unix(0, r.failingSince.Load()))
}

// directRetry is how often the direct way is tried while it fails; the other
// way costs one more hop, so it is not left for long.
const directRetry = 500 * time.Millisecond

// Do carries out req by the first way that answers. While the direct way fails,
// calls go the other way at once and the direct one is tried beside them: a
// store that turns a host away may do so by silence. A write without an answer
// is sent again only if it has a condition, which lets it be done once at most.
func (r *Relay) Do(ctx context.Context, req Request) (resp Response, err error) {
	if r.ViaPeer != nil && r.failing.Load() {
		r.probe()
		resp, err = r.ViaPeer(ctx, req)
		if !errs.Is(err, ErrUnreachable) || ctx.Err() != nil {
			return resp, err
		}
		// No other host can be reached: the direct way is all there is.
		return r.direct(ctx, req)
	}
	resp, err = r.direct(ctx, req)
	if err == nil || r.ViaPeer == nil || ctx.Err() != nil || errs.Is(err, ErrCompacted) {
		return resp, err
	}
	if req.Txn != nil && len(req.Txn.Expected) == 0 && !NotApplied(err) {
		return Response{}, err
	}
	resp, relayErr := r.ViaPeer(ctx, req)
	if relayErr == nil {
		return resp, nil
	}
	if NotApplied(err) {
		// Only the second way may have done something.
		return Response{}, relayErr
	}
	return Response{}, err
}

// probe tries the direct way in the background, if that is due.
func (r *Relay) probe() {
	now := time.Now()
	next := r.nextTry.Load()
	if now.UnixNano() < next || !r.nextTry.CompareAndSwap(next, now.Add(directRetry).UnixNano()) {
		return
	}
	go func() {
		// What comes of it is noted in failing and told to OnDirectChange.
		_, _ = r.direct(context.Background(), Request{Get: r.ProbeKey})
	}()
}

func (r *Relay) direct(ctx context.Context, req Request) (resp Response, err error) {
	timeout := r.DirectTimeout
	if req.Large {
		timeout = max(timeout, r.LargeTimeout)
	}
	if req.Watch != nil {
		timeout += req.Watch.Wait
	}
	tryCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err = r.Direct(tryCtx, req)
	if errors.Is(ctx.Err(), context.Canceled) {
		return resp, err
	}
	failing := err != nil && !errs.Is(err, ErrCompacted)
	if failing {
		r.nextTry.Store(time.Now().Add(directRetry).UnixNano())
	}
	if r.failing.Load() != failing {
		r.failingSince.Store(time.Now().UnixNano())
	}
	if r.failing.Swap(failing) != failing && r.OnDirectChange != nil {
		r.OnDirectChange(!failing, err)
	}
	return resp, err
}

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
	// Through calls the store through another host; nil if there is none.
	Through func(ctx context.Context, req Request) (Response, error)
	// DirectTimeout bounds the direct try.
	DirectTimeout time.Duration
	// Changed is told when the direct way is lost or regained.
	Changed func(direct bool, err error)

	failing atomic.Bool
	nextTry atomic.Int64
}

// directRetry is how often the direct way is tried while it fails; the other
// way costs one more hop, so it is not left for long.
const directRetry = 500 * time.Millisecond

// Do carries out req by the first way that answers. A write without an answer
// is sent again only if it has a condition, which lets it be done once at most.
func (r *Relay) Do(ctx context.Context, req Request) (resp Response, err error) {
	err = ErrUnreachable
	if !r.failing.Load() || time.Now().UnixNano() >= r.nextTry.Load() {
		resp, err = r.direct(ctx, req)
		if err == nil {
			return resp, nil
		}
	}
	if r.Through == nil || ctx.Err() != nil || errs.Is(err, ErrCompacted) {
		return Response{}, err
	}
	if req.Txn != nil && len(req.Txn.Expected) == 0 && !NothingDone(err) {
		return Response{}, err
	}
	resp, relayErr := r.Through(ctx, req)
	if relayErr == nil {
		return resp, nil
	}
	if NothingDone(err) {
		// Only the second way may have done something.
		return Response{}, relayErr
	}
	return Response{}, err
}

func (r *Relay) direct(ctx context.Context, req Request) (resp Response, err error) {
	timeout := r.DirectTimeout
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
	if r.failing.Swap(failing) != failing && r.Changed != nil {
		r.Changed(!failing, err)
	}
	return resp, err
}

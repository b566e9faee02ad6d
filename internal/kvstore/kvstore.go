// Package kvstore is the client interface to a key-value store with revisions,
// conditional writes and watches. The transport to a real store is plugged in as
// a function; Relay adds a fallback path through another host.
//
// # Usage
//
//	client := &kvstore.Client{Do: adapter.Do}
//	item, err := client.Get(ctx, "cell/owner")
//	revision, current, err := client.Write(ctx, kvstore.Txn{
//		Expected: []kvstore.Condition{{Key: "cell/owner", Revision: item.Revision}},
//		Puts:     []kvstore.Put{{Key: "cell/owner", Value: value}},
//	})
//
// A write that fails with ErrRefused, ErrUnreachable or ErrConflict was not
// applied and never will be; NotApplied reports this. After any other error it may
// have been applied, or may still be applied later if its conditions hold then.
// With a Relay, which may send a write twice, ErrConflict can also mean that the
// first attempt was applied.
package kvstore

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("store")

// Errors of calls to the store.
var (
	// ErrRefused means that the store rejected the call without applying it.
	ErrRefused = errs.New("store: refused, nothing was done")
	// ErrUnreachable means that the request was not sent.
	ErrUnreachable = errs.New("store: unreachable, nothing was sent")
	// ErrUnknown means that the request was sent but no response arrived, so that
	// it is unknown whether the call was carried out.
	ErrUnknown = errs.New("store: no answer, the call may have been carried out")
	// ErrCompacted means that the requested history was compacted away. The caller
	// must list the keys again.
	ErrCompacted = errs.New("store: history is gone")
	// ErrConflict means that a condition of a write did not hold.
	ErrConflict = errs.New("store: a condition does not hold")
)

// NotApplied reports whether err proves that a write was not applied and never
// will be. After ErrConflict this holds only if the write was sent once; with a
// Relay, the current items of the conditions show whether it was applied.
func NotApplied(err error) bool {
	return errs.Is(err, ErrRefused) || errs.Is(err, ErrUnreachable) || errs.Is(err, ErrConflict)
}

// MaxTxn bounds the number of conditions, puts and removals in one write.
const MaxTxn = 32

// Item is a key with its value. Revision 0 means that the key does not exist.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // store revision of the last change
	Created  int64 // store revision at which the key was created
}

// Condition holds if the key has the given revision. Revision 0 means that the key
// must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put sets the value of one key.
type Put struct {
	Key   string
	Value []byte
}

// Txn is an atomic write: all puts and removals are applied if all conditions
// hold, otherwise none.
type Txn struct {
	Expected []Condition
	Puts     []Put
	Remove   []string
}

// Page is one page of a listing.
type Page struct {
	Items    []Item
	More     bool
	Revision int64 // of the store as a whole
}

// Event is one change of a key.
type Event struct {
	Item    Item // has no value if the key was removed
	Removed bool
}

// Request is one call to the store. Exactly one of Get, Range, Txn and Watch is set.
type Request struct {
	Get   string
	Range *Range
	Txn   *Txn
	Watch *Watch
	// Large means that the response may be large, so that it gets a longer timeout
	// to arrive completely. Do may bound the time to its first byte separately.
	Large bool
}

// Watch requests the changes after a revision and waits up to Wait for the first.
type Watch struct {
	Prefix string
	After  int64
	Wait   time.Duration
}

// Range requests a page of the keys that have a prefix and sort after a key.
type Range struct {
	Prefix string
	After  string
	Stale  bool // any replica may answer: cheaper for the store, but up to seconds old
}

// Response is the response to a Request.
type Response struct {
	Page     Page  // Get: at most one item
	Revision int64 // Txn: of the write; Watch: start of the next watch
	Conflict bool  // Txn: a condition did not hold; Page has the current items of the conditions
	Events   []Event
}

// Client offers the calls to the store as typed methods and records when the last
// call succeeded and failed.
type Client struct {
	// Do carries out one call.
	Do func(ctx context.Context, req Request) (Response, error)
	// Timeout bounds one call. If it is 0, only the context bounds it.
	Timeout time.Duration
	// LargeTimeout replaces Timeout, if longer, for calls with Request.Large.
	LargeTimeout time.Duration

	lastSuccess atomic.Int64 // nanoseconds since clockStart; 0: none
	lastFailure atomic.Int64 // nanoseconds since clockStart; 0: none
}

// clockStart is the origin of the times that a Client records. It has a reading of the
// monotonic clock, so that steps of the time of day do not change the age of a call.
var clockStart = time.Now()

// sinceStart returns the time since clockStart. It is never 0.
func sinceStart() int64 { return max(int64(time.Since(clockStart)), 1) }

// recordedTime returns a recorded time, or the zero time if there is none.
func recordedTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return clockStart.Add(time.Duration(nanoseconds))
}

// LastSuccess returns the time of the last successful call, or the zero time.
func (c *Client) LastSuccess() time.Time { return recordedTime(c.lastSuccess.Load()) }

// LastFailure returns the time of the last failed call, or the zero time.
func (c *Client) LastFailure() time.Time { return recordedTime(c.lastFailure.Load()) }

// Up reports whether the last call succeeded. It is true before the first call.
func (c *Client) Up() bool { return c.lastSuccess.Load() >= c.lastFailure.Load() }

func (c *Client) call(ctx context.Context, req Request) (resp Response, err error) {
	timeout := c.Timeout
	if req.Large {
		timeout = max(timeout, c.LargeTimeout)
	}
	if timeout > 0 {
		if req.Watch != nil {
			timeout += req.Watch.Wait
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	resp, err = c.Do(ctx, req)
	if err != nil {
		// A call that its caller cancelled does not show that the store failed.
		if !errors.Is(context.Cause(ctx), context.Canceled) && !errs.Is(err, ErrCompacted) {
			c.lastFailure.Store(sinceStart())
		}
		return Response{}, err
	}
	c.lastSuccess.Store(sinceStart())
	return resp, nil
}

// Get returns the item of a key. Its Revision is 0 if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (item Item, err error) {
	defer Error.WrapP(&err)
	return c.get(ctx, Request{Get: key})
}

// GetLarge is like Get, with a longer timeout for a key whose value may be large.
func (c *Client) GetLarge(ctx context.Context, key string) (item Item, err error) {
	defer Error.WrapP(&err)
	return c.get(ctx, Request{Get: key, Large: true})
}

func (c *Client) get(ctx context.Context, req Request) (item Item, err error) {
	key := req.Get
	resp, err := c.call(ctx, req)
	if err != nil {
		return Item{}, err
	}
	if len(resp.Page.Items) == 0 {
		return Item{Key: key}, nil
	}
	return resp.Page.Items[0], nil
}

// List returns all items with a prefix and the revision after which a Watch misses
// no change. The pages are read one by one and are not a consistent snapshot.
func (c *Client) List(ctx context.Context, prefix string) (items []Item, revision int64, err error) {
	defer Error.WrapP(&err)
	return c.list(ctx, Range{Prefix: prefix})
}

// ListStale is like List, but the items may be some seconds old. It costs the store
// less.
func (c *Client) ListStale(ctx context.Context, prefix string) (items []Item, revision int64, err error) {
	defer Error.WrapP(&err)
	return c.list(ctx, Range{Prefix: prefix, Stale: true})
}

func (c *Client) list(ctx context.Context, page Range) (items []Item, revision int64, err error) {
	revision, err = c.listPages(ctx, page, func(next []Item) error {
		items = append(items, next...)
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return items, revision, nil
}

// ListPages is like List for a prefix with many items: it passes each page to yield and
// keeps none. An error of yield ends the listing. The keys arrive in ascending order.
func (c *Client) ListPages(ctx context.Context, prefix string, yield func(page []Item) error) (revision int64, err error) {
	defer Error.WrapP(&err)
	return c.listPages(ctx, Range{Prefix: prefix}, yield)
}

func (c *Client) listPages(ctx context.Context, page Range, yield func([]Item) error) (revision int64, err error) {
	for {
		request := page
		resp, err := c.call(ctx, Request{Range: &request, Large: !page.Stale})
		if err != nil {
			return 0, err
		}
		if page.After == "" {
			revision = resp.Page.Revision
		}
		if err := yield(resp.Page.Items); err != nil {
			return 0, err
		}
		if !resp.Page.More || len(resp.Page.Items) == 0 {
			return revision, nil
		}
		page.After = resp.Page.Items[len(resp.Page.Items)-1].Key
	}
}

// Watch returns the changes of keys with a prefix after a revision and the
// revision for the next call. It returns no events if none arrives within wait.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Event, revision int64, err error) {
	defer Error.WrapP(&err)
	resp, err := c.call(ctx, Request{Watch: &Watch{Prefix: prefix, After: after, Wait: wait}})
	if err != nil {
		return nil, 0, err
	}
	return resp.Events, max(resp.Revision, after), nil
}

// Write applies txn. If it fails with ErrConflict, current has the current items of
// the conditions.
func (c *Client) Write(ctx context.Context, txn Txn) (revision int64, current []Item, err error) {
	defer Error.WrapP(&err)
	return c.write(ctx, Request{Txn: &txn})
}

// WriteLarge is like Write, with a longer timeout for a txn whose conditions name a
// large item: after a conflict the response has its value.
func (c *Client) WriteLarge(ctx context.Context, txn Txn) (revision int64, current []Item, err error) {
	defer Error.WrapP(&err)
	return c.write(ctx, Request{Txn: &txn, Large: true})
}

func (c *Client) write(ctx context.Context, req Request) (revision int64, current []Item, err error) {
	resp, err := c.call(ctx, req)
	if err != nil {
		return 0, nil, err
	}
	if resp.Conflict {
		return 0, resp.Page.Items, ErrConflict
	}
	return resp.Revision, nil, nil
}

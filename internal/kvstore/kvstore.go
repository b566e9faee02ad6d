// Package kvstore is the interface to a key-value store with revisions,
// conditional writes and leases. What speaks to a real store is plugged in as
// a function; Relay adds a way through another host.
//
// # Usage
//
//	client := &kvstore.Client{Do: adapter.Do}
//	item, err := client.Get(ctx, "cell/owner")
//	rev, err := client.Write(ctx, kvstore.Txn{
//		Expected: []kvstore.Condition{{Key: "cell/owner", Revision: item.Revision}},
//		Puts:     []kvstore.Put{{Key: "cell/owner", Value: value}},
//	})
//
// A write that fails with ErrRefused did nothing. After any other error but a
// Conflict it may have been done, or may be done later if its conditions still
// hold.
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
	// ErrRefused means that the store answered and did nothing.
	ErrRefused = errs.New("store: refused, nothing was done")
	// ErrUnreachable means that nothing was sent.
	ErrUnreachable = errs.New("store: unreachable, nothing was sent")
	// ErrUnknown means that there was no answer.
	ErrUnknown = errs.New("store: no answer, the call may have been carried out")
	// ErrCompacted means that the history asked for is gone: list again.
	ErrCompacted = errs.New("store: history is gone")
	// ErrConflict means that a condition did not hold.
	ErrConflict = errs.New("store: a condition does not hold")
)

// NotApplied reports whether err proves that a write was not carried out and
// never will be.
func NotApplied(err error) bool {
	return errs.Is(err, ErrRefused) || errs.Is(err, ErrUnreachable) || errs.Is(err, ErrConflict)
}

// MaxTxn is the number of conditions, puts and removals in one write.
const MaxTxn = 32

// Item is a key with its value. Revision 0 means that the key does not exist.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of the last change
	Created  int64 // revision of the creation
}

// Condition holds if the key's revision is the given one; 0: the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes one key.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a write that is carried out whole or not at all.
type Txn struct {
	Expected []Condition
	Puts     []Put
	Remove   []string
}

// Page is a part of a listing.
type Page struct {
	Items    []Item
	More     bool
	Revision int64 // of the store
}

// Event is a change of a key.
type Event struct {
	Item    Item // without a value if the key was removed
	Removed bool
}

// Request is one call: exactly one of the fields is set, besides Large.
type Request struct {
	Get   string
	Range *Range
	Txn   *Txn
	Watch *Watch
	// Large means that the answer may be long: once it has begun, it has more
	// time to arrive.
	Large bool
}

// Watch asks for the changes after a revision and waits for the first.
type Watch struct {
	Prefix string
	After  int64
	Wait   time.Duration
}

// Range asks for a page of the keys with a prefix, after a key.
type Range struct {
	Prefix string
	After  string
	Stale  bool // the answer may be seconds old, and costs the store little
}

// Response is the answer to a Request.
type Response struct {
	Page     Page  // Get: at most one item
	Revision int64 // Txn: of the write; Watch: where the next one begins
	Conflict bool  // Txn: a condition did not hold; Page has the present items
	Events   []Event
}

// Client makes typed calls.
type Client struct {
	// Do carries out one call.
	Do func(ctx context.Context, req Request) (Response, error)
	// Timeout bounds one call; 0: the context alone.
	Timeout time.Duration
	// LargeTimeout replaces it for calls with a long answer.
	LargeTimeout time.Duration

	lastGood atomic.Int64
	lastBad  atomic.Int64
}

// LastSuccess returns when the store answered last.
func (c *Client) LastSuccess() time.Time { return time.Unix(0, c.lastGood.Load()) }

// LastFailure returns when a call failed last.
func (c *Client) LastFailure() time.Time { return time.Unix(0, c.lastBad.Load()) }

// Up reports whether the last call was answered.
func (c *Client) Up() bool { return c.lastGood.Load() >= c.lastBad.Load() }

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
		// A call that its caller gave up says nothing about the store.
		if !errors.Is(context.Cause(ctx), context.Canceled) && !errs.Is(err, ErrCompacted) {
			c.lastBad.Store(time.Now().UnixNano())
		}
		return Response{}, err
	}
	c.lastGood.Store(time.Now().UnixNano())
	return resp, nil
}

// Get returns the item of a key; its Revision is 0 if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (item Item, err error) {
	defer Error.WrapP(&err)
	return c.get(ctx, Request{Get: key})
}

// GetLarge is Get for a key whose value may be large.
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

// List returns all items with a prefix and the revision from which a Watch
// misses nothing. The pages are no snapshot.
func (c *Client) List(ctx context.Context, prefix string) (items []Item, revision int64, err error) {
	defer Error.WrapP(&err)
	return c.list(ctx, Range{Prefix: prefix})
}

// ListStale returns all items with a prefix as they were some seconds ago at
// the earliest.
func (c *Client) ListStale(ctx context.Context, prefix string) (items []Item, revision int64, err error) {
	defer Error.WrapP(&err)
	return c.list(ctx, Range{Prefix: prefix, Stale: true})
}

func (c *Client) list(ctx context.Context, page Range) (items []Item, revision int64, err error) {
	for {
		request := page
		resp, err := c.call(ctx, Request{Range: &request, Large: !page.Stale})
		if err != nil {
			return nil, 0, err
		}
		if page.After == "" {
			revision = resp.Page.Revision
		}
		items = append(items, resp.Page.Items...)
		if !resp.Page.More || len(resp.Page.Items) == 0 {
			return items, revision, nil
		}
		page.After = resp.Page.Items[len(resp.Page.Items)-1].Key
	}
}

// Watch returns the changes of keys with a prefix after a revision and the
// revision to go on from. It returns none after wait.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Event, revision int64, err error) {
	defer Error.WrapP(&err)
	resp, err := c.call(ctx, Request{Watch: &Watch{Prefix: prefix, After: after, Wait: wait}})
	if err != nil {
		return nil, 0, err
	}
	return resp.Events, max(resp.Revision, after), nil
}

// Write carries out txn. After ErrConflict found has the present items of the
// conditions.
func (c *Client) Write(ctx context.Context, txn Txn) (revision int64, found []Item, err error) {
	defer Error.WrapP(&err)
	return c.write(ctx, Request{Txn: &txn})
}

// WriteLarge is Write for a txn whose conditions name a large item.
func (c *Client) WriteLarge(ctx context.Context, txn Txn) (revision int64, found []Item, err error) {
	defer Error.WrapP(&err)
	return c.write(ctx, Request{Txn: &txn, Large: true})
}

func (c *Client) write(ctx context.Context, req Request) (revision int64, found []Item, err error) {
	resp, err := c.call(ctx, req)
	if err != nil {
		return 0, nil, err
	}
	if resp.Conflict {
		return 0, resp.Page.Items, ErrConflict
	}
	return resp.Revision, nil, nil
}

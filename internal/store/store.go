// Package store is the client of the platform's key-value service and holds
// everything that is assumed of it: compare-and-swap per key, revisions that
// only grow, watches that answer with what changed after a revision, and
// answers that may be lost after a write took effect.
//
// # Usage
//
//	client := store.New("127.0.0.1:7100", time.Second)
//	revision, err := client.Put(ctx, "cell/config", value, 41)
//	if store.IsUnknown(err) {
//		// the write may have taken effect: read back before concluding
//	}
//
// Every call is counted by kind; a waiting watch counts as one read.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("store")

// ErrConflict means that the key has another revision: the write had no effect.
var ErrConflict = errs.New("store: revision conflict")

// MaxValueBytes is the largest value the service takes.
const MaxValueBytes = 1 << 20

// Entry is one key with its value. Deleted entries appear in watch answers only.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Answer is what a read or watch returns: entries and the revision they are of.
type Answer struct {
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// Client talks to the service at one address.
type Client struct {
	// Do sends a request; tests replace it.
	Do func(req *http.Request) (*http.Response, error)

	base    string
	timeout time.Duration
	reads   atomic.Int64
	writes  atomic.Int64
}

// New returns a Client; timeout bounds each call but a watch's hold.
func New(address string, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	httpClient := &http.Client{Transport: transport}
	return &Client{Do: httpClient.Do, base: "http://" + address, timeout: timeout}
}

// Reads returns how many reads and watches were sent.
func (c *Client) Reads() int64 { return c.reads.Load() }

// Writes returns how many writes were sent.
func (c *Client) Writes() int64 { return c.writes.Load() }

// IsUnknown reports whether a write that failed with err may have taken effect.
func IsUnknown(err error) bool { return err != nil && !errs.Is(err, ErrConflict) }

// List returns all entries whose key has prefix.
func (c *Client) List(ctx context.Context, prefix string) (answer Answer, err error) {
	defer Error.WrapP(&err)
	c.reads.Add(1)
	err = c.call(ctx, c.timeout, http.MethodGet, "/v1/kv?"+url.Values{"prefix": {prefix}}.Encode(), nil, &answer)
	return answer, err
}

// Get returns the entry of key; a key that is absent has revision 0.
func (c *Client) Get(ctx context.Context, key string) (entry Entry, err error) {
	defer Error.WrapP(&err)
	c.reads.Add(1)
	err = c.call(ctx, c.timeout, http.MethodGet, "/v1/kv?"+url.Values{"key": {key}}.Encode(), nil, &entry)
	return entry, err
}

// Watch returns what changed under prefix after revision, at once or when it
// changes, and an empty answer after hold.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, hold time.Duration) (answer Answer, err error) {
	defer Error.WrapP(&err)
	c.reads.Add(1)
	query := url.Values{
		"prefix":  {prefix},
		"after":   {fmt.Sprint(after)},
		"hold-ms": {fmt.Sprint(hold.Milliseconds())},
	}
	err = c.call(ctx, hold+c.timeout, http.MethodGet, "/v1/watch?"+query.Encode(), nil, &answer)
	return answer, err
}

// Put writes value if key has the given revision; 0 means absent. It returns
// the new revision, ErrConflict, or an error after which the write may have
// taken effect.
func (c *Client) Put(ctx context.Context, key string, value []byte, revision int64) (newRevision int64, err error) {
	defer Error.WrapP(&err)
	c.writes.Add(1)
	var answer struct {
		Revision int64 `json:"revision"`
	}
	query := url.Values{"key": {key}, "if-revision": {fmt.Sprint(revision)}}
	err = c.call(ctx, c.timeout, http.MethodPut, "/v1/kv?"+query.Encode(), value, &answer)
	return answer.Revision, err
}

// Delete removes key if it has the given revision.
func (c *Client) Delete(ctx context.Context, key string, revision int64) (err error) {
	defer Error.WrapP(&err)
	c.writes.Add(1)
	query := url.Values{"key": {key}, "if-revision": {fmt.Sprint(revision)}}
	return c.call(ctx, c.timeout, http.MethodDelete, "/v1/kv?"+query.Encode(), nil, nil)
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body []byte, out any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return ErrConflict
	default:
		return errs.New("%s %s: status %d", method, path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

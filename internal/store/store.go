// Package store is a client of the platform's key-value service.
//
// # Assumptions about the service
//
//   - Writes are compare-and-swap operations on the revision of a single key.
//   - Revisions only increase.
//   - A watch returns the changes after a given revision.
//   - The response to a write may be lost although the write was applied.
//
// # Usage
//
//	client := store.New("127.0.0.1:7100", time.Second)
//	revision, err := client.Put(ctx, "cell/config", value, 41)
//	if store.IsUnknown(err) {
//		// The write may have been applied: read the key to find out.
//	}
//
// The client counts reads and writes. A watch counts as one read.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/halfopen"
)

// Error is the class of all errors of this package.
var Error = errs.Class("store")

// ErrConflict means that the key has another revision and that the write was not
// applied.
var ErrConflict = errs.New("store: revision conflict")

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Entry is a key with its value. Deleted entries appear only in the results of
// watches.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Answer is the result of a list or watch: the entries, and the store revision at
// which they were read.
type Answer struct {
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// Client is a client of the service at one address. It is safe for concurrent use.
type Client struct {
	// Do sends a request. Tests replace it.
	Do func(req *http.Request) (*http.Response, error)

	baseURL string
	timeout time.Duration
	reads   atomic.Int64
	writes  atomic.Int64
}

// New returns a Client of the service at address. The timeout bounds each call. A
// watch may additionally take as long as it waits for changes.
func New(address string, timeout time.Duration) *Client {
	dialer := &net.Dialer{}
	httpClient := &http.Client{Transport: halfopen.NewTransport(dialer.DialContext, func(dial halfopen.Dial) *http.Transport {
		return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	})}
	return &Client{Do: httpClient.Do, baseURL: "http://" + address, timeout: timeout}
}

// Reads returns the number of reads and watches sent.
func (c *Client) Reads() int64 { return c.reads.Load() }

// Writes returns the number of writes sent.
func (c *Client) Writes() int64 { return c.writes.Load() }

// IsUnknown reports whether a write that failed with err may have been applied.
func IsUnknown(err error) bool { return err != nil && !errs.Is(err, ErrConflict) }

// List returns all entries whose keys start with prefix.
func (c *Client) List(ctx context.Context, prefix string) (answer Answer, err error) {
	defer Error.WrapP(&err)
	c.reads.Add(1)
	err = c.call(ctx, c.timeout, http.MethodGet, "/v1/kv?"+url.Values{"prefix": {prefix}}.Encode(), nil, &answer)
	return answer, err
}

// Get returns the entry of key. The entry of a key that does not exist has
// revision 0.
func (c *Client) Get(ctx context.Context, key string) (entry Entry, err error) {
	defer Error.WrapP(&err)
	c.reads.Add(1)
	err = c.call(ctx, c.timeout, http.MethodGet, "/v1/kv?"+url.Values{"key": {key}}.Encode(), nil, &entry)
	return entry, err
}

// Watch returns the entries under prefix that changed after the revision after. If
// there are none, it waits for a change, and returns an empty answer if none occurs
// within maxWait.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, maxWait time.Duration) (answer Answer, err error) {
	defer Error.WrapP(&err)
	c.reads.Add(1)
	query := url.Values{
		"prefix":  {prefix},
		"after":   {fmt.Sprint(after)},
		"hold-ms": {fmt.Sprint(maxWait.Milliseconds())},
	}
	err = c.call(ctx, maxWait+c.timeout, http.MethodGet, "/v1/watch?"+query.Encode(), nil, &answer)
	return answer, err
}

// Put writes value if key has the given revision, where 0 means that the key must
// not exist, and returns the new revision. It fails with ErrConflict if the key has
// another revision. After any other error the write may have been applied.
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

// Delete removes key if it has the given revision. Its errors are those of Put.
func (c *Client) Delete(ctx context.Context, key string, revision int64) (err error) {
	defer Error.WrapP(&err)
	c.writes.Add(1)
	query := url.Values{"key": {key}, "if-revision": {fmt.Sprint(revision)}}
	return c.call(ctx, c.timeout, http.MethodDelete, "/v1/kv?"+query.Encode(), nil, nil)
}

// call sends a request and decodes the JSON response into out, unless out is nil.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body []byte, out any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
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

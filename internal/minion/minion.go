// Package minion is the client of the minions, which serve requests, and holds
// everything that is assumed of them.
//
// # What is assumed
//
//   - A minion serves one request per slot and answers with the request id it
//     was sent, so that crossed answers are noticed.
//   - Its status tells how many requests are in its slots and whether it leaves.
//   - A minion refuses a request above its slots with status 503 and the header
//     X-Refused, having run nothing.
//
// # Usage
//
//	m := minion.New("127.0.0.1:7400", "hay-1", 64)
//	answer, err := m.Do(ctx, minion.Request{ID: id, Path: "/bid", Body: body})
//	if minion.IsUnsent(err) {
//		// nothing was written: the request may go to another minion
//	}
package minion

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("minion")

// ErrUnsent is the class of errors after which nothing was written to the minion.
var ErrUnsent = errs.Class("minion unsent")

// ErrRefused means that the minion answered that it ran nothing.
var ErrRefused = errs.New("minion: refused")

// ErrCrossed means that the answer belongs to another request.
var ErrCrossed = errs.New("minion: answer to another request")

// Headers between the system and minions.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderRefused   = "X-Refused"
)

// IsUnsent reports whether nothing was run for a request that failed with err.
func IsUnsent(err error) bool { return ErrUnsent.Has(err) || errs.Is(err, ErrRefused) }

// Request is one request to a minion.
type Request struct {
	ID    string
	Route string
	Body  []byte
}

// Answer is the whole answer of a minion.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Status is what a minion tells of itself.
type Status struct {
	Name    string `json:"name"`
	Busy    int    `json:"busy"`
	Leaving bool   `json:"leaving"`
}

// Client talks to one minion over a bounded number of connections.
type Client struct {
	// RoundTrip sends a request, at most once; tests replace it. It must report
	// a connection to the trace of the request before it writes.
	RoundTrip func(req *http.Request) (*http.Response, error)

	base      string
	transport *http.Transport
}

const maxAnswerBytes = 64 << 20

// New returns a Client of the minion called name at address that opens at most
// the given number of connections.
func New(address, name string, connections int) *Client {
	transport := &http.Transport{
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{
		RoundTrip: transport.RoundTrip,
		base:      "http://" + address + "/v1/minions/" + url.PathEscape(name),
		transport: transport,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends a request and waits for its whole answer. The request is written at
// most once: a connection that breaks under it is not tried again.
func (c *Client) Do(ctx context.Context, request Request) (answer Answer, err error) {
	defer Error.WrapP(&err)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/serve/"+url.PathEscape(request.Route), onceReader(request.Body))
	if err != nil {
		return Answer{}, ErrUnsent.Wrap(err)
	}
	req.ContentLength = int64(len(request.Body))
	req.GetBody = nil
	req.Header.Set(HeaderRequestID, request.ID)
	resp, err := c.RoundTrip(req)
	if err != nil {
		if !connected.Load() {
			return Answer{}, ErrUnsent.Wrap(err)
		}
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, err
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, errs.New("answer above %d bytes", maxAnswerBytes)
	}
	if resp.Header.Get(HeaderRefused) != "" {
		return Answer{}, ErrRefused
	}
	if got := resp.Header.Get(HeaderRequestID); got != request.ID {
		return Answer{}, ErrCrossed
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// onceReader hides the type of the body, so that the transport cannot rewind
// it for a second attempt.
func onceReader(body []byte) io.Reader {
	if len(body) == 0 {
		return struct{ io.Reader }{bytes.NewReader([]byte{})}
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// Status asks the minion for its status.
func (c *Client) Status(ctx context.Context) (status Status, err error) {
	defer Error.WrapP(&err)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/status", nil)
	if err != nil {
		return Status{}, err
	}
	resp, err := c.RoundTrip(req)
	if err != nil {
		return Status{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Status{}, errs.New("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&status)
	return status, err
}

// Package minion is a client of minions, the back-end servers that answer requests.
//
// # Assumptions about minions
//
//   - A minion serves one request per slot. It repeats the ID of the request in its
//     answer, so that an answer to another request is detected.
//   - The status of a minion contains the number of occupied slots and whether the
//     minion is leaving the cell.
//   - If all slots are occupied, a minion rejects the request without running it,
//     with status 503 and the header X-Refused.
//
// # Usage
//
//	m := minion.New("127.0.0.1:7400", "hay-1", 64)
//	answer, err := m.Do(ctx, minion.Request{ID: id, Route: "bid", Body: body})
//	if minion.IsUnsent(err) {
//		// The minion did not run the request: it may be sent to another minion.
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

	"turmericspread.org/turmericspread/internal/halfopen"
)

// Error is the class of all errors of this package.
var Error = errs.Class("minion")

// ErrUnsent is the class of errors that occur before any part of the request is
// written to the minion.
var ErrUnsent = errs.Class("minion unsent")

// ErrRefused means that the minion rejected the request without running it.
var ErrRefused = errs.New("minion: refused")

// ErrCrossed means that the answer carries the ID of another request.
var ErrCrossed = errs.New("minion: answer to another request")

// Headers of requests to minions and of their answers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderRefused   = "X-Refused"
)

// IsUnsent reports whether err proves that the minion did not run the request.
func IsUnsent(err error) bool { return ErrUnsent.Has(err) || errs.Is(err, ErrRefused) }

// Request is one request to a minion. The minion repeats the ID in its answer.
type Request struct {
	ID    string
	Route string
	Body  []byte
}

// Answer is the complete answer of a minion.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Status is the state that a minion reports about itself.
type Status struct {
	Name    string `json:"name"`
	Busy    int    `json:"busy"`
	Leaving bool   `json:"leaving"`
}

// Client is a client of one minion with a bounded number of connections. It is safe
// for concurrent use.
type Client struct {
	// RoundTrip sends a request at most once. It must call GotConn of the request's
	// httptrace.ClientTrace before it writes, because a request that failed without
	// that call counts as unsent. Tests replace it.
	RoundTrip func(req *http.Request) (*http.Response, error)

	baseURL   string
	transport *http.Transport
}

// maxAnswerBytes bounds the body of an answer, which is held in memory.
const maxAnswerBytes = 64 << 20

// New returns a Client of the minion called name at address. It opens at most the
// given number of connections.
func New(address, name string, connections int) *Client {
	transport := &http.Transport{
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{
		RoundTrip: transport.RoundTrip,
		baseURL:   "http://" + address + "/v1/minions/" + url.PathEscape(name),
		transport: transport,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends a request and waits for the complete answer. The request is written at
// most once: it is not retried if its connection breaks. After an error for which
// IsUnsent is false, the minion may have run the request.
func (c *Client) Do(ctx context.Context, request Request) (answer Answer, err error) {
	defer Error.WrapP(&err)
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(info.Reused)
	}}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/serve/"+url.PathEscape(request.Route), onceReader(request.Body))
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
		if reused.Load() && halfopen.Unanswered(ctx, err) {
			// The open connections may all have gone silent. Package halfopen would need twice the
			// connections that the minion accepts.
			c.Close()
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

// onceReader hides the type of the body from the transport. The transport would
// rewind a body of a known type to retry the request.
func onceReader(body []byte) io.Reader {
	if len(body) == 0 {
		return struct{ io.Reader }{bytes.NewReader([]byte{})}
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// Status queries the minion's status.
func (c *Client) Status(ctx context.Context) (status Status, err error) {
	defer Error.WrapP(&err)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/status", nil)
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

package carrier

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/work"
)

const (
	// responseMargin is added to the timeout of a call for the transport to the
	// carrier and back.
	responseMargin = 150 * time.Millisecond
	// carrierCooldown is the time during which a lost carrier is not used.
	carrierCooldown = 3 * time.Second
	// expireInterval is the minimum interval between two checks for overdue
	// responses.
	expireInterval = 50 * time.Millisecond
)

// Stream is the owner's end of a connection to a carrier.
type Stream interface {
	Send(msg *RequestBatch) error
	Receive() (msg *ResponseBatch, err error)
	Close() error
}

// Client sends requests through carriers. Its methods must be called on one
// goroutine; Post delivers responses to the same goroutine. Set the exported
// fields before use.
type Client struct {
	// Open connects to the carrier at the given address. The stream ends with
	// ctx.
	Open func(ctx context.Context, address string) (Stream, error)
	// Post runs a function on the goroutine that owns the Client.
	Post func(fn func())
	// Spawn runs a function on another goroutine.
	Spawn func(fn func())
	// Now returns the time of a monotonic clock.
	Now func() time.Duration
	// OnLost is called if the connection to a carrier has failed, with the
	// number of requests that have no response.
	OnLost func(address string, requests int, err error)

	connections   map[string]*connection
	cooldownUntil map[string]time.Duration // by address: end of the cooldown
	lastNumber    uint64                   // number of the most recent request
	nextExpiry    time.Duration            // earliest time of the next check for overdue responses
}

// New returns a Client without connections.
func New() *Client {
	return &Client{connections: map[string]*connection{}, cooldownUntil: map[string]time.Duration{}}
}

// connection is the connection to one carrier.
type connection struct {
	address string
	cancel  context.CancelFunc
	pending map[uint64]pendingCall
	outbox  *outbox[Request]
	overdue int // calls without a response in time since the last response
}

// pendingCall is a request that has no response yet.
type pendingCall struct {
	deadline time.Duration
	done     func(response Response, err error)
}

// Available reports whether the carrier at the given address is not in its
// cooldown after a failure.
func (c *Client) Available(address string) bool { return c.Now() >= c.cooldownUntil[address] }

// Send has the carrier at the given address execute the request. It calls done
// with the worker's response, its refusal, or ErrNoResponse.
func (c *Client) Send(ctx context.Context, address string, request Request, done func(response Response, err error)) {
	conn := c.connections[address]
	if conn == nil {
		conn = c.connect(ctx, address)
	}
	c.lastNumber++
	request.Number = c.lastNumber
	conn.pending[request.Number] = pendingCall{c.Now() + request.Timeout + responseMargin, done}
	conn.outbox.add(request)
}

// connect opens a connection in the background. Requests can be queued
// immediately.
func (c *Client) connect(ctx context.Context, address string) *connection {
	connCtx, cancel := context.WithCancel(ctx)
	conn := &connection{address: address, cancel: cancel, pending: map[uint64]pendingCall{}, outbox: newOutbox[Request]()}
	c.connections[address] = conn
	c.Spawn(func() {
		err := c.run(connCtx, conn)
		cancel()
		c.Post(func() { c.fail(conn, err) })
	})
	return conn
}

// run transfers requests and responses until the stream fails or ctx ends.
func (c *Client) run(ctx context.Context, conn *connection) (err error) {
	defer Error.WrapP(&err)
	stream, err := c.Open(ctx, conn.address)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	c.Spawn(func() {
		// If sending fails, the context is cancelled, which ends the receiving
		// side as well.
		defer conn.cancel()
		_ = conn.outbox.sendBatches(ctx, func(list []Request) error { return stream.Send(&RequestBatch{List: list}) })
	})
	for {
		msg, err := stream.Receive()
		if err != nil {
			return err
		}
		c.Post(func() { c.handleResponses(conn, msg.List) })
	}
}

// handleResponses completes the calls that the responses belong to. A carrier
// that rejects a request because it is shutting down enters its cooldown.
func (c *Client) handleResponses(conn *connection, responses []Response) {
	conn.overdue = 0
	for _, response := range responses {
		if call, ok := conn.pending[response.Number]; ok {
			delete(conn.pending, response.Number)
			err := response.err()
			if errs.Is(err, work.ErrNotSent) {
				c.cooldownUntil[conn.address] = c.Now() + carrierCooldown
			}
			call.done(response, err)
		}
	}
}

// fail closes a connection whose stream has ended. All of its pending calls end
// with ErrNoResponse, and the carrier's cooldown begins.
func (c *Client) fail(conn *connection, err error) {
	if c.connections[conn.address] != conn {
		return
	}
	delete(c.connections, conn.address)
	c.cooldownUntil[conn.address] = c.Now() + carrierCooldown
	pending := conn.pending
	conn.pending = map[uint64]pendingCall{}
	c.OnLost(conn.address, len(pending), err)
	for _, call := range pending {
		call.done(Response{}, ErrNoResponse)
	}
}

// Expire ends calls that have no response in time. It must be called
// periodically. If several responses of one carrier are overdue at the same
// time, the carrier counts as lost, because workers usually become unresponsive
// one at a time. So does one from which nothing arrives while as many become overdue
// one after the other: its connection may have gone silent, and the next one is new.
func (c *Client) Expire() {
	const lostAfter = 3 // overdue responses in one check, or since the last response
	now := c.Now()
	if now < c.nextExpiry {
		return
	}
	c.nextExpiry = now + expireInterval
	for _, conn := range c.connections {
		var overdue []pendingCall
		for number, call := range conn.pending {
			if now >= call.deadline {
				overdue = append(overdue, call)
				delete(conn.pending, number)
			}
		}
		conn.overdue += len(overdue)
		if conn.overdue >= lostAfter || len(overdue) >= lostAfter {
			conn.cancel()
			c.fail(conn, ErrNoResponse)
		}
		for _, call := range overdue {
			call.done(Response{}, ErrNoResponse)
		}
	}
}

// Close closes all connections. Requests in flight no longer get a response.
func (c *Client) Close() {
	for _, conn := range c.connections {
		conn.cancel()
	}
	c.connections = map[string]*connection{}
}

// Retain closes idle connections to all carriers that keep rejects. A
// connection with pending calls stays open.
func (c *Client) Retain(keep func(address string) bool) {
	for address, conn := range c.connections {
		if !keep(address) && len(conn.pending) == 0 {
			conn.cancel()
			delete(c.connections, address)
		}
	}
}

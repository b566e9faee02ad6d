package carrier

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/work"
)

const (
	// answerMargin is added to a call's timeout for the way to the carrier and back.
	answerMargin = 150 * time.Millisecond
	// carrierRest is how long a carrier that was lost is not used again.
	carrierRest = 3 * time.Second
	// expirePeriod is the time between two looks for overdue answers.
	expirePeriod = 50 * time.Millisecond
)

// Stream is the owner's end of a connection to a carrier.
type Stream interface {
	Send(msg *RequestBatch) error
	Receive() (msg *ResponseBatch, err error)
	Close() error
}

// Client sends orders through carriers. Its methods run on one goroutine, and
// Post brings answers back to it. Set the exported fields before use.
type Client struct {
	// Open connects to the carrier at an address; the stream ends with ctx.
	Open func(ctx context.Context, address string) (Stream, error)
	// Post runs a function on the goroutine that owns the Client.
	Post func(fn func())
	// Spawn runs a function on another goroutine.
	Spawn func(fn func())
	// Now reads a steady clock.
	Now func() time.Duration
	// OnLost is told of a carrier that failed.
	OnLost func(address string, orders int, err error)

	lanes map[string]*lane
	rest  map[string]time.Duration // by address: until when not to use it
	last  uint64                   // number of the newest order
	next  time.Duration            // when to look for overdue answers
}

// New returns a Client without connections.
func New() *Client {
	return &Client{lanes: map[string]*lane{}, rest: map[string]time.Duration{}}
}

// lane is the connection to one carrier.
type lane struct {
	address string
	cancel  context.CancelFunc
	pending map[uint64]call
	outbox  *outbox[Request]
}

type call struct {
	until time.Duration
	done  func(a Response, err error)
}

// Available reports whether the carrier at address has not failed lately.
func (c *Client) Available(address string) bool { return c.Now() >= c.rest[address] }

// Send has the carrier at address carry out order. Done gets the worker's
// answer, its refusal, or ErrNoResponse.
func (c *Client) Send(ctx context.Context, address string, order Request, done func(a Response, err error)) {
	l := c.lanes[address]
	if l == nil {
		l = c.open(ctx, address)
	}
	c.last++
	order.Number = c.last
	l.pending[order.Number] = call{c.Now() + order.Timeout + answerMargin, done}
	l.outbox.put(order)
}

func (c *Client) open(ctx context.Context, address string) *lane {
	laneCtx, cancel := context.WithCancel(ctx)
	l := &lane{address: address, cancel: cancel, pending: map[uint64]call{}, outbox: newOutbox[Request]()}
	c.lanes[address] = l
	c.Spawn(func() {
		err := c.run(laneCtx, l)
		cancel()
		c.Post(func() { c.lose(l, err) })
	})
	return l
}

// run moves orders and answers until the stream breaks or ctx ends.
func (c *Client) run(ctx context.Context, l *lane) (err error) {
	defer Error.WrapP(&err)
	stream, err := c.Open(ctx, l.address)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	c.Spawn(func() {
		// A stream that cannot be written ends with the context, which ends the
		// receiving side as well.
		defer l.cancel()
		_ = l.outbox.drain(ctx, func(list []Request) error { return stream.Send(&RequestBatch{List: list}) })
	})
	for {
		msg, err := stream.Receive()
		if err != nil {
			return err
		}
		c.Post(func() { c.take(l, msg.List) })
	}
}

func (c *Client) take(l *lane, answers []Response) {
	for _, a := range answers {
		if waiting, ok := l.pending[a.Number]; ok {
			delete(l.pending, a.Number)
			err := a.err()
			if errs.Is(err, work.ErrNotSent) {
				c.rest[l.address] = c.Now() + carrierRest
			}
			waiting.done(a, err)
		}
	}
}

// lose ends all calls of a lane whose stream has ended.
func (c *Client) lose(l *lane, err error) {
	if c.lanes[l.address] != l {
		return
	}
	delete(c.lanes, l.address)
	c.rest[l.address] = c.Now() + carrierRest
	pending := l.pending
	l.pending = map[uint64]call{}
	c.OnLost(l.address, len(pending), err)
	for _, waiting := range pending {
		waiting.done(Response{}, ErrNoResponse)
	}
}

// Expire ends calls that were not answered in time. A carrier that owes several
// answers is taken as lost: workers are silent one at a time.
func (c *Client) Expire() {
	const lostAfter = 3 // overdue orders within one look
	now := c.Now()
	if now < c.next {
		return
	}
	c.next = now + expirePeriod
	for _, l := range c.lanes {
		var overdue []call
		for number, waiting := range l.pending {
			if now >= waiting.until {
				overdue = append(overdue, waiting)
				delete(l.pending, number)
			}
		}
		if len(overdue) >= lostAfter {
			l.cancel()
			c.lose(l, ErrNoResponse)
		}
		for _, waiting := range overdue {
			waiting.done(Response{}, ErrNoResponse)
		}
	}
}

// Close ends all connections; orders under way are not answered any more.
func (c *Client) Close() {
	for _, l := range c.lanes {
		l.cancel()
	}
	c.lanes = map[string]*lane{}
}

// Retain closes the connections to all carriers but those given.
func (c *Client) Retain(keep func(address string) bool) {
	for address, l := range c.lanes {
		if !keep(address) && len(l.pending) == 0 {
			l.cancel()
			delete(c.lanes, address)
		}
	}
}

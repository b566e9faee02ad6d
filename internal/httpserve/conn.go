package httpserve

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/connlimit"
)

const (
	// firstBuffer is the size of the read buffer of a connection; it holds most requests.
	firstBuffer = 2 << 10
	// keptBuffer is the largest read buffer that a connection keeps between requests.
	keptBuffer = 4 << 10
	// prefetch is what hertz reads of a body before it calls the handlers.
	prefetch = 8 << 10
	// maxEmptyLines bounds the bytes of empty lines before a request. HTTP asks servers to
	// accept at least one such line.
	maxEmptyLines = 64
	// peekBeforeRequest is the number of bytes that hertz waits for before a request.
	peekBeforeRequest = 4
)

// phase is what a connection reads.
type phase uint8

const (
	phaseIdle    phase = iota // waits for the first byte of a request
	phaseHead                 // reads the head of a request
	phaseBody                 // reads the body, before and after the handlers are called
	phaseServing              // waits for the client to leave while its request is served
)

// conn is a connection that hertz reads requests from. It passes on no part of a head before
// its end has arrived, so that hertz parses each head once.
type conn struct {
	net.Conn
	opts     *Options
	entry    *connlimit.Conn
	cancel   func()        // ends the context of the handlers when the client has left
	detected chan struct{} // receives a value when the detection has ended

	phase     phase
	inHandler bool // failures are the handler's to respond to
	detecting bool // started by ReadBody, which hertz does not know
	limits    Limits
	started   time.Time // when the first byte of the request arrived
	deadline  time.Time // of reads in this phase; zero: not set
	buf       []byte
	r, w      int   // buf[r:w] is read but not consumed
	scanned   int   // bytes of the head without its end
	empty     int   // bytes of empty lines before the request
	consumed  int64 // bytes of the body and its framing
	received  int64 // bytes since the end of the head
	allowed   int64 // bound of consumed
	bodyHeld  int64 // reserved for the body
	bufHeld   int64 // reserved for buf
	headHeld  int64 // reserved for the request context
	failure   *Refusal
	refused   bool // a response was written past hertz

	out      *[]byte   // response that is not flushed yet
	writable time.Time // deadline of writes
	unread   bool      // the connection is closed with a request that was not read
}

var (
	_ network.Conn = (*conn)(nil)

	errRefused = errs.New("request refused")
)

// Refusal is the reason for which a request was not read.
type Refusal struct {
	Status int
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// Peek implements network.Reader.
func (c *conn) Peek(n int) (p []byte, err error) {
	if c.phase <= phaseHead {
		if err := c.readHead(); err != nil {
			return nil, err
		}
		if n <= peekBeforeRequest {
			n = min(n, c.Len())
		}
	}
	if n > c.Len() {
		err = c.fill(n)
	}
	return c.buf[c.r : c.r+min(n, c.Len())], err
}

// readHead reads until the end of a head.
func (c *conn) readHead() (err error) {
	if c.phase == phaseIdle {
		if err := c.awaitRequest(); err != nil {
			return err
		}
	}
	for {
		c.skipEmptyLines()
		unread := c.buf[c.r:c.w]
		end := headEnd(unread, max(c.scanned-len("\n\r\n")+1, 0))
		switch {
		case c.empty > maxEmptyLines:
			return c.fail(400, "empty-lines", "too many empty lines before the request")
		case end > c.limits.HeaderBytes || end < 0 && len(unread) >= c.limits.HeaderBytes:
			return c.fail(431, "header-size", "request header too large")
		case end >= 0:
			return c.checkHead(unread[:end])
		case len(unread) > 0 && (unread[0] <= ' ' || unread[0] > '~'):
			return nil // no request, which hertz responds to
		}
		c.scanned = len(unread)
		if err := c.more(c.limits.HeaderBytes + prefetch); err != nil {
			return err
		}
	}
}

const (
	// maxFields bounds the fields of a header. Clients send about ten.
	maxFields = 100
	// headFactor is the memory that the request context of hertz keeps for a head until the
	// connection is closed, as a multiple of its size.
	headFactor = 6
)

// checkHead returns an error if a whole head takes too much memory once it is parsed.
func (c *conn) checkHead(head []byte) (err error) {
	if bytes.Count(head, []byte{'\n'}) > maxFields+2 {
		return c.fail(431, "header-fields", "too many header fields")
	}
	if need := int64(headFactor * len(head)); len(head) > firstBuffer && need > c.headHeld {
		if c.entry.ReserveWhole(need-c.headHeld) != nil {
			return c.fail(503, "", noMemoryText)
		}
		c.headHeld = need
	}
	return nil
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() (err error) {
	c.limits = c.opts.Limits().orDefaults()
	if c.Len() == 0 {
		c.setDeadline(time.Now().Add(c.limits.IdleTimeout))
		if err := c.more(keptBuffer); err != nil {
			return err
		}
		c.limits = c.opts.Limits().orDefaults()
	}
	c.phase, c.started, c.deadline = phaseHead, time.Now(), time.Time{}
	c.entry.Sent(c.started)
	if !c.entry.SetState(connlimit.Reading) {
		return c.failEvicted()
	}
	return nil
}

// skipEmptyLines drops empty lines before a request.
func (c *conn) skipEmptyLines() {
	for c.scanned == 0 && c.r < c.w && (c.buf[c.r] == '\r' || c.buf[c.r] == '\n') {
		c.r++
		c.empty++
	}
}

// headEnd returns the length of the head that b begins with, or -1 if its end has not been
// read. It is searched from the given offset on.
func headEnd(b []byte, from int) (n int) {
	for i := from; ; {
		j := bytes.IndexByte(b[i:], '\n')
		if j < 0 {
			return -1
		}
		i += j + 1
		switch rest := b[i:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return i + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return i + len("\r\n")
		}
	}
}

// fill reads until n bytes are buffered.
func (c *conn) fill(n int) (err error) {
	const slack = 64 // framing that hertz reads with a part of a body
	limit := prefetch + slack
	if c.phase == phaseHead {
		limit += c.limits.HeaderBytes // the head has ended, but not for hertz
	}
	if c.phase == phaseBody && c.consumed >= c.allowed || n > limit {
		return c.fail(400, "framing", "too little payload in too many bytes")
	}
	for c.Len() < n {
		if err := c.more(limit); err != nil {
			return err
		}
	}
	return nil
}

// more reads once into the buffer, which it grows up to a size of at least limit.
func (c *conn) more(limit int) (err error) {
	switch {
	case c.Len() == 0:
		c.r, c.w = 0, 0
		if c.buf == nil {
			c.buf = make([]byte, firstBuffer)
		}
	case c.w == len(c.buf) && c.r > 0:
		c.w = copy(c.buf, c.buf[c.r:c.w])
		c.r = 0
	case c.w == len(c.buf):
		size := max(min(2*len(c.buf), limit), len(c.buf)+firstBuffer)
		if size > connlimit.FreeBytes {
			if c.entry.Reserve(int64(size)-c.bufHeld) != nil {
				return c.fail(503, "", noMemoryText)
			}
			c.bufHeld = int64(size)
		}
		c.buf = append(make([]byte, 0, size), c.buf[:c.w]...)[:size]
	}
	n, err := c.read(c.buf[c.w:])
	c.w += n
	return err
}

// read reads once from the client, within the time for the phase.
func (c *conn) read(p []byte) (n int, err error) {
	if c.refused || c.failure != nil {
		return 0, io.EOF
	}
	for {
		if c.deadline.IsZero() {
			c.setDeadline(c.phaseDeadline())
		}
		if c.entry.Evicted() {
			return 0, c.failEvicted()
		}
		n, err = c.Conn.Read(p)
		if n > 0 {
			if c.phase == phaseBody {
				c.received += int64(n)
				c.entry.Sent(time.Now())
			}
			return n, nil
		}
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded) || c.phase == phaseServing:
			return 0, err
		case c.entry.Evicted():
			return 0, c.failEvicted()
		case c.phase == phaseIdle:
			c.opts.Group.Count("idle")
			return 0, io.EOF
		case c.phase == phaseBody && time.Now().Before(c.phaseDeadline()):
			c.deadline = time.Time{} // enough has arrived for more time
		default:
			return 0, c.fail(408, "slow", "request not received in time")
		}
	}
}

const (
	// minBodyRate is the rate in bytes per second at which a body must arrive after the
	// time for the header. A body of 4 MB may take maxRequestTime at this rate.
	minBodyRate = 64 << 10
	// maxRequestTime bounds the time to read a request. No client waits longer for the
	// response: the platform bounds deadlines to a minute.
	maxRequestTime = time.Minute
)

// phaseDeadline returns the time by which the client must have sent more.
func (c *conn) phaseDeadline() time.Time {
	allowed := c.limits.HeaderTimeout
	if c.phase == phaseBody {
		allowed = min(allowed+time.Duration(c.received)*time.Second/minBodyRate, max(maxRequestTime, allowed))
	}
	return c.started.Add(allowed)
}

func (c *conn) setDeadline(t time.Time) {
	c.deadline = t
	_ = c.SetReadDeadline(t)
}

// fail ends the reading of the request. Before the handlers are called, it responds.
// The metrics count the reason unless it is empty.
func (c *conn) fail(status int, reason, text string) error {
	if reason != "" {
		c.opts.Group.Count(reason)
	}
	c.unread = true
	if c.inHandler {
		c.failure = &Refusal{status, text}
		return c.failure
	}
	c.dropBuffer()
	c.refuse(status, text)
	return io.EOF
}

// failEvicted ends the reading because the connection has to give way.
func (c *conn) failEvicted() error {
	if c.phase == phaseIdle {
		return io.EOF // there is nothing to respond to
	}
	return c.fail(503, "", evictedText)
}

// Reasons of refusals with status 503. Nothing of the request was passed to a handler.
const (
	evictedText  = "closed in favour of other connections"
	noMemoryText = "no memory for the request"
)

// Skip implements network.Reader.
func (c *conn) Skip(n int) error {
	if n > c.Len() {
		return errRefused
	}
	c.r += n
	switch c.phase {
	case phaseHead:
		c.phase, c.deadline = phaseBody, time.Time{}
		c.consumed, c.received, c.allowed = 0, int64(c.Len()), 2*prefetch
	case phaseBody:
		c.consumed += int64(n)
	}
	return nil
}

// Read implements io.Reader for the bodies of announced length.
func (c *conn) Read(p []byte) (n int, err error) {
	if c.Len() > 0 {
		n = copy(p, c.buf[c.r:c.w])
		c.r += n
	} else {
		n, err = c.read(p)
	}
	c.consumed += int64(n)
	return n, err
}

// Len implements network.Reader.
func (c *conn) Len() int { return c.w - c.r }

// Release implements network.Reader. The buffer is released between two requests.
func (c *conn) Release() error { return nil }

// ReadByte implements network.Reader.
func (c *conn) ReadByte() (b byte, err error) {
	p, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	b = p[0]
	return b, c.Skip(1)
}

// ReadBinary implements network.Reader.
func (c *conn) ReadBinary(n int) (p []byte, err error) {
	p, err = c.Peek(n)
	if err != nil {
		return nil, err
	}
	p = bytes.Clone(p)
	return p, c.Skip(n)
}

// SetReadTimeout implements network.Conn. Hertz calls it with idleMark between requests.
func (c *conn) SetReadTimeout(d time.Duration) error {
	if d != idleMark {
		return nil
	}
	c.phase, c.inHandler, c.scanned, c.empty = phaseIdle, false, 0, 0
	if c.Len() == 0 && len(c.buf) > keptBuffer {
		c.dropBuffer()
	}
	return nil
}

// dropBuffer drops the read buffer and its reservation.
func (c *conn) dropBuffer() {
	c.buf, c.r, c.w = nil, 0, 0
	if c.bufHeld > 0 {
		c.entry.Release(c.bufHeld)
		c.bufHeld = 0
	}
}

// DetectConnectionClose ends the context of the handlers if the client closes the connection
// before AbortBlockingRead is called. Hertz calls both for requests without a body.
func (c *conn) DetectConnectionClose() {
	c.phase = phaseServing
	c.setDeadline(time.Now().Add(servingDeadline))
	go func() {
		if _, err := c.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
		c.detected <- struct{}{}
	}()
}

// servingDeadline is later than the end of every request.
const servingDeadline = time.Hour

// AbortBlockingRead ends the detection.
func (c *conn) AbortBlockingRead() {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-c.detected
}

// buffers holds buffers for responses.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, firstBuffer); return &b }}

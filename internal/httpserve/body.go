package httpserve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"turmericspread.org/turmericspread/internal/connlimit"
)

const (
	// bodyPart is read at once of a chunked body, and is the first size of a body's buffer.
	bodyPart = 4 << 10
	// maxOverhead bounds the framing of a chunked body: it may exceed the payload by this
	// much. A body of 3,000 chunks of one byte is within it.
	maxOverhead = 16 << 10
	// decodeFactor is the memory that decoding a body takes, as a multiple of its size: the
	// decoder's buffer, which it doubles, and strings.
	decodeFactor = 2
)

// serveRequest calls the handlers of a request, after reading its body unless they do.
func serveRequest(ctx context.Context, rc *app.RequestContext, opts Options) {
	c, ok := rc.GetConn().(*conn)
	if !ok {
		rc.Next(ctx)
		return
	}
	c.inHandler = true
	defer c.endRequest(rc)
	var refusal *Refusal
	switch {
	case !rc.Request.IsBodyStream():
		if !c.entry.SetState(connlimit.Serving) {
			refusal = &Refusal{503, evictedText}
		}
	case !opts.StreamBody:
		refusal = ReadBody(rc, opts.MaxBody)
	}
	if refusal != nil {
		JSON(rc, refusal.Status, struct {
			Error string `json:"error"`
		}{refusal.Reason})
		rc.Abort()
		return
	}
	rc.Next(ctx)
}

// endRequest ends what ReadBody began. The connection of a request whose body was not read
// is closed after the response.
func (c *conn) endRequest(rc *app.RequestContext) {
	if c.detecting {
		c.detecting = false
		c.AbortBlockingRead()
	}
	if c.bodyHeld > 0 {
		c.entry.Release(c.bodyHeld)
		c.bodyHeld = 0
	}
	if rc.Request.IsBodyStream() && len(rc.Request.BodyBytes()) != rc.Request.Header.ContentLength() {
		c.unread = true
		if c.failure == nil {
			c.failure = &Refusal{Reason: "not read"} // hertz must not read the rest
		}
		rc.SetConnectionClose()
	}
	c.entry.Sent(time.Now()) // the client was waiting
	if !c.entry.SetState(connlimit.Idle) {
		rc.SetConnectionClose()
	}
}

// ReadBody reads the body of a request, so that c.Request.Body returns it. It reads nothing
// if the announced length is over limit. It must be called at most once.
func ReadBody(rc *app.RequestContext, limit int) (refusal *Refusal) {
	c, ok := rc.GetConn().(*conn)
	if !ok || !rc.Request.IsBodyStream() {
		return nil
	}
	announced := rc.Request.Header.ContentLength()
	if announced > limit {
		c.opts.Group.Count("body-size")
		return &Refusal{413, "body too large"}
	}
	body, err := c.readBody(rc, announced, limit)
	switch {
	case errors.As(err, &refusal):
		return refusal
	case err != nil:
		return &Refusal{400, "the body ends early or is malformed"}
	case !c.entry.SetState(connlimit.Serving):
		return &Refusal{503, evictedText}
	}
	rc.Request.SetBodyRaw(body)
	c.detecting = true
	c.DetectConnectionClose()
	return nil
}

// readBody reads a body of announced length, or a chunked one if it is negative.
func (c *conn) readBody(rc *app.RequestContext, announced, limit int) (body []byte, err error) {
	if head := rc.Request.BodyBytes(); len(head) == announced {
		return bytes.Clone(head), nil
	}
	stream := rc.RequestBodyStream()
	for {
		if len(body) == cap(body) {
			if body, err = c.growBody(body, announced, limit); err != nil {
				return nil, err
			}
		}
		part := body[len(body):cap(body)]
		c.allowed = math.MaxInt64
		if announced < 0 {
			part = part[:min(len(part), prefetch)]
			c.allowed = int64(2*len(body) + maxOverhead)
		}
		n, err := stream.Read(part)
		body = body[:len(body)+n]
		switch {
		case c.failure != nil:
			return nil, c.failure
		case len(body) > limit:
			c.opts.Group.Count("body-size")
			return nil, &Refusal{413, "body too large"}
		case errors.Is(err, io.EOF):
			return c.reserveDecoding(body)
		case err != nil:
			return nil, err
		}
	}
}

// growBody doubles the room for a body, to at most its announced length or one byte over
// the limit.
func (c *conn) growBody(body []byte, announced, limit int) (grown []byte, err error) {
	size := max(bodyPart, 2*cap(body))
	if announced >= 0 {
		size = min(size, announced)
	}
	size = min(size, limit+1)
	if size > connlimit.FreeBytes {
		if c.entry.Reserve(int64(size)-c.bodyHeld) != nil {
			return nil, c.fail(503, "", noMemoryText)
		}
		c.bodyHeld = int64(size)
	}
	return append(make([]byte, 0, size), body...), nil
}

// reserveDecoding reserves memory for decoding a large body.
func (c *conn) reserveDecoding(body []byte) ([]byte, error) {
	if n := int64(decodeFactor * len(body)); n > connlimit.FreeBytes {
		if c.entry.ReserveWhole(n) != nil {
			return nil, c.fail(503, "", noMemoryText)
		}
		c.bodyHeld += n
	}
	c.entry.Sent(time.Now())
	return body, nil
}

package httpserve

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	// writeTimeout bounds the time to send a response to a client that does not read.
	writeTimeout = 20 * time.Second
	// refusalTimeout bounds the time to send a refusal.
	refusalTimeout = time.Second
	// lingerTime and lingerBytes bound what is read of a refused request after the response.
	// A connection that is closed with unread bytes is reset, and the client may lose the
	// response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 4 << 20
)

// Malloc implements network.Writer.
func (c *conn) Malloc(n int) (p []byte, err error) {
	if c.out == nil {
		c.out = buffers.Get().(*[]byte)
	}
	old := len(*c.out)
	*c.out = slices.Grow(*c.out, n)[:old+n]
	return (*c.out)[old:], nil
}

// WriteBinary implements network.Writer.
func (c *conn) WriteBinary(b []byte) (n int, err error) {
	p, _ := c.Malloc(len(b))
	return copy(p, b), nil
}

// Flush implements network.Writer.
func (c *conn) Flush() (err error) {
	if c.out == nil {
		return nil
	}
	if !c.refused {
		c.extendWriteDeadline()
		_, err = c.Conn.Write(*c.out)
	}
	if cap(*c.out) <= keptBuffer {
		*c.out = (*c.out)[:0]
		buffers.Put(c.out)
	}
	c.out = nil
	return err
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (n int, err error) {
	if err := c.Flush(); err != nil || c.refused {
		return len(b), err
	}
	c.extendWriteDeadline()
	return c.Conn.Write(b)
}

// extendWriteDeadline leaves at least half of writeTimeout for the next write. It does not
// set a deadline for each of them.
func (c *conn) extendWriteDeadline() {
	if now := time.Now(); c.writable.Sub(now) < writeTimeout/2 {
		c.writable = now.Add(writeTimeout)
		_ = c.SetWriteDeadline(c.writable)
	}
}

// SetWriteTimeout implements network.Conn. The connection sets its own.
func (c *conn) SetWriteTimeout(time.Duration) error { return nil }

// refuse responds in place of hertz, whose responses are dropped from now on.
func (c *conn) refuse(status int, text string) {
	c.refused = true
	body := fmt.Sprintf(`{"error":%q}`, text)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), retry, len(body), body)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.unread {
		c.unread = false
		c.linger()
	}
	err := c.Conn.Close()
	c.dropBuffer()
	c.entry.Remove()
	return err
}

// linger lets the client read the response to a request that was not read to its end.
func (c *conn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		buf := buffers.Get().(*[]byte)
		_, _ = io.CopyBuffer(onlyWriter{io.Discard}, io.LimitReader(c.Conn, lingerBytes), (*buf)[:cap(*buf)])
		buffers.Put(buf)
	}
}

// onlyWriter hides io.ReaderFrom, which would allocate a buffer of its own.
type onlyWriter struct{ io.Writer }

// CloseNow implements connlimit.Target.
func (c *conn) CloseNow() { _ = c.Conn.Close() }

// Interrupt implements connlimit.Target.
func (c *conn) Interrupt() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// HandleSpecificError tells hertz not to log errors of the connection.
func (c *conn) HandleSpecificError(error, string) bool { return true }

var _ net.Conn = (*conn)(nil)

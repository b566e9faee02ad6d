package peer

import (
	"math"
	"net"
	"time"

	"turmericspread.org/turmericspread/internal/connlimit"
)

const (
	// maxFrameBytes bounds one frame. The senders of this project split messages into frames
	// of 64 KB; drpc buffers a frame whole before it checks anything.
	maxFrameBytes = 1 << 20
	// messageStep is the step in which memory is reserved for a message.
	messageStep = 256 << 10
	// messageFactor is the memory that receiving a message takes, as a multiple of its size:
	// the buffer of drpc, its copy while it grows, and the decoded message. With 2, a crowd of
	// 80 peers took up to 80 MB on a host with 96 MB beside other load.
	messageFactor = 3
	// freeMessageBytes is the size up to which messages need no reservation.
	freeMessageBytes = connlimit.FreeBytes
)

// LimitListener returns a listener whose connections belong to group: their number and the
// sum of their messages are bounded.
func LimitListener(listener net.Listener, group *connlimit.Group) net.Listener {
	return &limitListener{listener, group}
}

type limitListener struct {
	net.Listener
	group *connlimit.Group
}

// Accept implements net.Listener. It closes connections that the group has no place for.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitConn{Conn: raw}
		if c.entry = l.group.Add(c); c.entry != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// limitConn is a connection that follows the frames that it passes on, and reserves memory
// for their messages. The reservation for the largest message stays until the connection is
// closed, as drpc keeps its buffer.
type limitConn struct {
	net.Conn
	entry    *connlimit.Conn
	frame    frameParser
	message  int64 // bytes of the message in progress
	reserved int64
}

// Read implements net.Conn.
func (c *limitConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.entry.Sent(time.Now())
	for rest := p[:n]; len(rest) > 0; {
		var data int
		var done bool
		data, rest, done = c.frame.next(rest)
		if c.frame.left > maxFrameBytes {
			return 0, Error.New("frame of %d bytes", c.frame.left)
		}
		c.message += int64(data)
		if err := c.reserve(); err != nil {
			return 0, Error.Wrap(err)
		}
		if done {
			c.message = 0
		}
	}
	ok := false
	if c.message == 0 && c.frame.atStart() {
		// Serving marks the connection as one that has sent a whole message.
		ok = c.entry.SetState(connlimit.Serving) && c.entry.SetState(connlimit.Idle)
	} else {
		ok = c.entry.SetState(connlimit.Reading)
	}
	if !ok {
		return 0, net.ErrClosed
	}
	return n, err
}

// reserve reserves memory for the message in progress.
func (c *limitConn) reserve() (err error) {
	need := c.message * messageFactor
	if c.message <= freeMessageBytes || need <= c.reserved {
		return nil
	}
	step := max(need-c.reserved, messageStep)
	if !c.entry.SetState(connlimit.Reading) {
		return connlimit.ErrFull.New("closed in favour of other connections")
	}
	if err := c.entry.Reserve(step); err != nil {
		return err
	}
	c.reserved += step
	return nil
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.entry.Remove()
	return err
}

// CloseNow implements connlimit.Target.
func (c *limitConn) CloseNow() { _ = c.Conn.Close() }

// Interrupt implements connlimit.Target. A call has no response that says "not run", so the
// connection is closed; its peer repeats calls that may be repeated.
func (c *limitConn) Interrupt() { _ = c.Conn.Close() }

// frameParser finds the frames in a stream: a control byte, three numbers (stream, message and
// length of the data, in groups of 7 bits) and the data. The lowest bit of the control byte
// marks the last frame of a message.
type frameParser struct {
	field  int // 0: control byte, 1 to 3: numbers, 4: data
	last   bool
	length uint64
	shift  uint
	left   int // of the data
}

// atStart reports whether the next byte begins a frame.
func (f *frameParser) atStart() bool { return f.field == 0 }

// next consumes bytes of one frame. It returns how many of them are data, and whether the
// frame is whole and the last one of a message.
func (f *frameParser) next(p []byte) (data int, rest []byte, done bool) {
	const dataField, more, bits, maxShift = 4, 0x80, 7, 63
	for len(p) > 0 && f.field < dataField {
		b := p[0]
		p = p[1:]
		if f.field == 0 {
			f.last, f.field = b&1 != 0, 1
			continue
		}
		if f.shift < maxShift {
			f.length |= uint64(b&^more) << f.shift
		}
		f.shift += bits
		if b&more == 0 || f.shift > maxShift {
			if f.field++; f.field == dataField {
				f.left = int(min(f.length, math.MaxInt))
			}
			f.length, f.shift = 0, 0
		}
	}
	if f.field < dataField {
		return 0, p, false
	}
	data = min(f.left, len(p))
	f.left -= data
	if f.left == 0 {
		f.field = 0
		return data, p[data:], f.last
	}
	return data, p[data:], false
}

package peer

import (
	"context"
	"io"

	"github.com/zeebo/errs"
	"storj.io/drpc"
)

// Stream is an open bidirectional stream of messages with another process. One
// goroutine may send while another receives.
type Stream[Out, In any] struct {
	stream  drpc.Stream
	conn    io.Closer // set on the side that has opened the stream
	release func()    // ends the reservation for the message received last
}

// Open opens a stream of the call named rpc, on a new connection. The stream ends with ctx and
// must be closed.
func Open[Out, In any](ctx context.Context, c *Client, address, rpc string) (s *Stream[Out, In], err error) {
	defer Error.WrapP(&err)
	c.calls.Add(1)
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.NewStream(ctx, rpc, encoding{})
	if err != nil {
		return nil, errs.Combine(err, conn.Close())
	}
	return &Stream[Out, In]{stream: stream, conn: conn, release: func() {}}, nil
}

// HandleStream registers fn for streams of the call named rpc. The stream ends
// when fn returns.
func HandleStream[In, Out any](m *Mux, rpc string, fn func(ctx context.Context, s *Stream[Out, In]) error) {
	m.handlers[rpc] = func(stream drpc.Stream) error {
		s := &Stream[Out, In]{stream: stream, release: func() {}}
		defer func() { s.release() }()
		return Error.Wrap(fn(stream.Context(), s))
	}
}

// Send sends one message.
func (s *Stream[Out, In]) Send(msg *Out) (err error) {
	defer Error.WrapP(&err)
	return s.stream.MsgSend(msg, encoding{})
}

// Receive waits for the next message. The memory that the message takes decoded stays reserved
// until the next call.
func (s *Stream[Out, In]) Receive() (msg *In, err error) {
	defer Error.WrapP(&err)
	s.release()
	msg = new(In)
	if s.release, err = receive(s.stream.Context(), s.stream, msg); err != nil {
		return nil, err
	}
	return msg, nil
}

// Close ends the stream.
func (s *Stream[Out, In]) Close() (err error) {
	err = s.stream.Close()
	if s.conn != nil {
		err = errs.Combine(err, s.conn.Close())
	}
	return Error.Wrap(err)
}

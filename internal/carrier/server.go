package carrier

import (
	"context"

	"turmericspread.org/turmericspread/internal/work"
)

// Targets are the calls to workers.
type Targets struct {
	Start    func(ctx context.Context, w work.Worker, order work.StartRequest) (work.RunResponse, error)
	Stop     func(ctx context.Context, w work.Worker, order work.RunRequest) (work.RunResponse, error)
	Renew    func(ctx context.Context, w work.Worker, order work.RenewRequest) (work.RenewResponse, error)
	Throttle func(ctx context.Context, w work.Worker, order work.RunRequest, percent int) (work.RunResponse, error)
}

// Server carries out the orders of an owner. Set the exported fields before use.
type Server struct {
	Targets Targets
	// Spawn runs a function on another goroutine.
	Spawn func(fn func())
	// Leaving reports whether this host is about to stop: it takes no more
	// orders and answers those that it has.
	Leaving func() bool
}

// ServerStream is the carrier's end of a connection.
type ServerStream interface {
	Send(msg *ResponseBatch) error
	Receive() (msg *RequestBatch, err error)
}

// Serve carries out the orders of one stream until it ends.
func (s *Server) Serve(ctx context.Context, stream ServerStream) (err error) {
	defer Error.WrapP(&err)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := newOutbox[Response]()
	s.Spawn(func() {
		defer cancel()
		_ = out.drain(ctx, func(list []Response) error { return stream.Send(&ResponseBatch{List: list}) })
	})
	for {
		msg, err := stream.Receive()
		if err != nil {
			return err
		}
		for i := range msg.List {
			s.take(ctx, &msg.List[i], out)
		}
	}
}

func (s *Server) take(ctx context.Context, order *Request, out *outbox[Response]) {
	if s.Leaving() {
		answer := Response{Number: order.Number}
		answer.setError(work.ErrNotSent)
		out.put(answer)
		return
	}
	s.Spawn(func() {
		answer, err := s.Execute(ctx, order)
		answer.setError(err)
		out.put(answer)
	})
}

// Execute makes the call to the order's worker.
func (s *Server) Execute(ctx context.Context, order *Request) (answer Response, err error) {
	ctx, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	answer.Number = order.Number
	w := work.Worker{ID: order.Worker, Address: order.Address}
	switch {
	case order.Start != nil:
		answer.Run, err = s.Targets.Start(ctx, w, *order.Start)
	case order.Stop != nil:
		answer.Run, err = s.Targets.Stop(ctx, w, *order.Stop)
	case order.Throttle != nil:
		answer.Run, err = s.Targets.Throttle(ctx, w, *order.Throttle, order.Percent)
	case order.Renew != nil:
		var report work.RenewResponse
		if report, err = s.Targets.Renew(ctx, w, *order.Renew); err == nil {
			answer.Renewal = &report
		}
	default:
		err = work.ErrMalformed
	}
	return answer, err
}

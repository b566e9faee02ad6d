package carrier

import (
	"context"
	"time"

	"turmericspread.org/turmericspread/internal/work"
)

// Targets are the functions that call a worker.
type Targets struct {
	Start    func(ctx context.Context, w work.Worker, request work.StartRequest) (work.RunResponse, error)
	Stop     func(ctx context.Context, w work.Worker, request work.RunRequest) (work.RunResponse, error)
	Renew    func(ctx context.Context, w work.Worker, request work.RenewRequest) (work.RenewResponse, error)
	Throttle func(ctx context.Context, w work.Worker, request work.RunRequest, percent int) (work.RunResponse, error)
}

// Server executes the requests of a cell's owner on a carrier. Set the exported
// fields before use.
type Server struct {
	Targets Targets
	// Spawn runs a function on another goroutine.
	Spawn func(fn func())
	// Slots bounds the requests in progress, of all streams: each takes one place in it. If
	// it is nil, they are unbounded.
	Slots chan struct{}
	// Leaving reports whether this host is shutting down. It then rejects new
	// requests and still responds to those in progress.
	Leaving func() bool
}

const (
	// maxTimeout bounds the time for one request. A renewal takes 2.5 s at most.
	maxTimeout = 10 * time.Second
	// maxUnsent is the number of responses that may wait for an owner that does not read them: more
	// than the requests to the workers of one carrier in a second.
	maxUnsent = 4096
)

// ServerStream is the carrier's end of a connection.
type ServerStream interface {
	Send(msg *ResponseBatch) error
	Receive() (msg *RequestBatch, err error)
}

// Serve executes the requests of one stream until the stream ends.
func (s *Server) Serve(ctx context.Context, stream ServerStream) (err error) {
	defer Error.WrapP(&err)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := newOutbox[Response]()
	s.Spawn(func() {
		defer cancel()
		_ = out.sendBatches(ctx, func(list []Response) error { return stream.Send(&ResponseBatch{List: list}) })
	})
	for {
		msg, err := stream.Receive()
		if err != nil {
			return err
		}
		for i := range msg.List {
			if out.len() > maxUnsent {
				return Error.New("%d responses are not read", out.len())
			}
			if err := s.acquire(ctx); err != nil {
				return err
			}
			request := msg.List[i] // the list does not stay in memory for it
			s.handle(ctx, &request, out)
		}
	}
}

// acquire waits for a slot.
func (s *Server) acquire(ctx context.Context) (err error) {
	if s.Slots == nil {
		return nil
	}
	select {
	case s.Slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release frees a slot.
func (s *Server) release() {
	if s.Slots != nil {
		<-s.Slots
	}
}

// handle executes a request, for which a slot was acquired, in the background and queues its
// response. If the host is shutting down, the request is rejected.
func (s *Server) handle(ctx context.Context, request *Request, out *outbox[Response]) {
	if s.Leaving() {
		s.release()
		response := Response{Number: request.Number}
		response.setError(work.ErrNotSent)
		out.add(response)
		return
	}
	s.Spawn(func() {
		defer s.release()
		response, err := s.Execute(ctx, request)
		response.setError(err)
		out.add(response)
	})
}

// Execute calls the worker that the request is addressed to.
func (s *Server) Execute(ctx context.Context, request *Request) (response Response, err error) {
	ctx, cancel := context.WithTimeout(ctx, min(request.Timeout, maxTimeout))
	defer cancel()
	response.Number = request.Number
	w := work.Worker{ID: request.Worker, Address: request.Address, Born: request.Born}
	switch {
	case request.Start != nil:
		response.Run, err = s.Targets.Start(ctx, w, *request.Start)
	case request.Stop != nil:
		response.Run, err = s.Targets.Stop(ctx, w, *request.Stop)
	case request.Throttle != nil:
		response.Run, err = s.Targets.Throttle(ctx, w, *request.Throttle, request.Percent)
	case request.Renew != nil:
		var renewal work.RenewResponse
		if renewal, err = s.Targets.Renew(ctx, w, *request.Renew); err == nil {
			response.Renewal = &renewal
		}
	default:
		err = work.ErrMalformed
	}
	return response, err
}

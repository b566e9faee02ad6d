// Package carrier lets the owner of a cell call its workers through other
// hosts. Each worker costs its caller a connection and a long poll, so one
// process can serve only some hundreds of workers, whereas the scheduling
// decisions for a whole cell are much cheaper. The owner therefore makes all
// decisions by itself and delegates the calls to other hosts, which are called
// carriers.
//
// A carrier is stateless and makes no decisions. If it loses, delays or repeats
// a request, the effect is the same as on a direct connection to the worker,
// where all of this can happen as well: each request contains the owner's
// fencing token, and a start request contains a deadline on the worker's own
// clock.
//
// # Usage
//
//	c := carrier.New()
//	c.Open, c.Post, c.Spawn, c.Now, c.OnLost = open, loop.Post, spawn, boottime.Now, onLost // on the owner
//	c.Send(ctx, address, carrier.Request{Worker: id, Renew: &renew, Timeout: timeout},
//		func(response carrier.Response, err error) { ... })
//	c.Expire() // periodically
//
//	server := &carrier.Server{Targets: targets, Spawn: spawn, Leaving: leaving} // on every host
//	err := server.Serve(ctx, stream)
package carrier

import (
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/work"
)

// Error is the class of all errors of this package.
var Error = errs.Class("carrier")

// ErrNoResponse means that the carrier did not respond in time or that the
// connection to it was lost. The request may have been executed.
var ErrNoResponse = errs.New("no answer through the carrier")

// Request is one call to a worker. Exactly one of the pointers is set.
type Request struct {
	Number  uint64        `cbor:"1,keyasint"` // matches the response to the request
	Worker  string        `cbor:"2,keyasint"`
	Address string        `cbor:"3,keyasint"` // of the worker
	Timeout time.Duration `cbor:"4,keyasint"` // of the call to the worker

	Start    *work.StartRequest `cbor:"5,keyasint,omitempty"`
	Stop     *work.RunRequest   `cbor:"6,keyasint,omitempty"`
	Throttle *work.RunRequest   `cbor:"7,keyasint,omitempty"`
	Percent  int                `cbor:"8,keyasint,omitempty"` // of Throttle: maximum processor usage
	Renew    *work.RenewRequest `cbor:"9,keyasint,omitempty"`
	Born     int64              `cbor:"10,keyasint,omitempty"` // incarnation of the worker that may execute it; 0: any
}

// Response is the worker's response to the request with the same number.
type Response struct {
	Number  uint64              `cbor:"1,keyasint"`
	Refusal int                 `cbor:"2,keyasint,omitempty"` // index into work.Refusals, counted from 1; 0: none
	Failure string              `cbor:"3,keyasint,omitempty"` // error text; empty if the request was executed
	Run     work.RunResponse    `cbor:"4,keyasint"`
	Renewal *work.RenewResponse `cbor:"5,keyasint,omitempty"`
}

// RequestBatch is one message to a carrier. It contains all requests since the
// previous message.
type RequestBatch struct {
	List []Request `cbor:"1,keyasint"`
}

// ResponseBatch is one message from a carrier. It contains all responses since
// the previous message.
type ResponseBatch struct {
	List []Response `cbor:"1,keyasint"`
}

// setError records why a request was rejected or has no response.
func (r *Response) setError(err error) {
	if err == nil {
		return
	}
	r.Failure = err.Error()
	for i, refusal := range work.Refusals() {
		if errs.Is(err, refusal) {
			r.Refusal = i + 1
			return
		}
	}
}

// err returns the error recorded by setError. Refusals are mapped back to the
// errors of package work, so that errs.Is recognises them.
func (r *Response) err() error {
	refusals := work.Refusals()
	switch {
	case r.Refusal > 0 && r.Refusal <= len(refusals):
		return refusals[r.Refusal-1]
	case r.Failure != "":
		return Error.New("%s", r.Failure)
	}
	return nil
}

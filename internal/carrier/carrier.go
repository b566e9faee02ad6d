// Package carrier lets the owner of a cell order its workers through other
// hosts. A worker costs its caller a connection and a long poll, so one process
// can serve some hundreds of them; the decisions of a whole cell cost far less.
// The owner therefore keeps deciding about every worker and has other hosts,
// the carriers, make the calls.
//
// A carrier keeps no state and decides nothing. An order that is lost, late or
// repeated on the way is what an order to a worker can always be: each carries
// its fence, and a start its deadline on the worker's own clock.
//
// # Usage
//
//	c := carrier.New()
//	c.Open, c.Post, c.Now = open, loop.Post, boottime.Now // on the owner
//	c.Send(address, carrier.Request{Worker: id, Renew: &hold}, timeout, func(a carrier.Response, err error) { ... })
//	c.Expire(now) // now and then
//
//	server := &carrier.Server{Targets: targets} // on every host
//	err := server.Serve(ctx, stream)
package carrier

import (
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/work"
)

// Error is the class of all errors of this package.
var Error = errs.Class("carrier")

// ErrNoResponse means that the carrier did not answer in time, or was lost: the
// order may have been carried out.
var ErrNoResponse = errs.New("no answer through the carrier")

// Request is one call to a worker. Exactly one of the orders is set.
type Request struct {
	Number  uint64        `cbor:"1,keyasint"` // pairs the order with its answer
	Worker  string        `cbor:"2,keyasint"`
	Address string        `cbor:"3,keyasint"` // of the worker
	Timeout time.Duration `cbor:"4,keyasint"` // of the call to the worker

	Start    *work.StartRequest `cbor:"5,keyasint,omitempty"`
	Stop     *work.RunRequest   `cbor:"6,keyasint,omitempty"`
	Throttle *work.RunRequest   `cbor:"7,keyasint,omitempty"`
	Percent  int                `cbor:"8,keyasint,omitempty"` // of Throttle
	Renew    *work.RenewRequest `cbor:"9,keyasint,omitempty"`
}

// Response is what a worker answered to the order of the same number.
type Response struct {
	Number  uint64              `cbor:"1,keyasint"`
	Refusal int                 `cbor:"2,keyasint,omitempty"` // index in refusals, from 1; 0: none
	Failure string              `cbor:"3,keyasint,omitempty"` // without it and a refusal the order was carried out
	Run     work.RunResponse    `cbor:"4,keyasint"`
	Renewal *work.RenewResponse `cbor:"5,keyasint,omitempty"`
}

// RequestBatch is a message to a carrier: what has gathered since the one before.
type RequestBatch struct {
	List []Request `cbor:"1,keyasint"`
}

// ResponseBatch is a message of a carrier: what has gathered since the one before.
type ResponseBatch struct {
	List []Response `cbor:"1,keyasint"`
}

// setError notes why an order was not carried out, or not answered.
func (a *Response) setError(err error) {
	if err == nil {
		return
	}
	a.Failure = err.Error()
	for i, refusal := range work.Refusals() {
		if errs.Is(err, refusal) {
			a.Refusal = i + 1
			return
		}
	}
}

// err returns the error that setError noted; refusals keep their identity.
func (a *Response) err() error {
	refusals := work.Refusals()
	switch {
	case a.Refusal > 0 && a.Refusal <= len(refusals):
		return refusals[a.Refusal-1]
	case a.Failure != "":
		return Error.New("%s", a.Failure)
	}
	return nil
}

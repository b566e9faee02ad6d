// Package halfopen tells pooled connections that have gone silent from peers that do not answer.
// A silent connection is still open on this side, is never reset, and carries nothing any more,
// while new connections to the same peer work.
//
// # Usage
//
//	dialer := &net.Dialer{Timeout: dialTimeout}
//	client := &http.Client{Transport: halfopen.NewTransport(dialer.DialContext, func(dial halfopen.Dial) *http.Transport {
//		return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4}
//	})}
//
// A caller that cancels the context of a request because no answer arrived in time must do so
// with the cause context.DeadlineExceeded.
package halfopen

import (
	"context"
	"errors"
	"net"
)

// Unanswered reports whether a call that failed with err got no answer in time. A call that its
// caller has given up for another reason does not count.
func Unanswered(ctx context.Context, err error) bool {
	if err == nil {
		return false
	}
	var timeout net.Error
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded) || ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout()
}

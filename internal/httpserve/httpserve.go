// Package httpserve creates hertz servers with the timeouts and limits that all
// HTTP servers of this project share.
//
// # Usage
//
//	srv := httpserve.New(listener, httpserve.Options{MaxBody: 1 << 20})
//	srv.GET("/v1/status", handler)
//	go srv.Run()
//	defer httpserve.Stop(srv, time.Second)
package httpserve

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("http")

const (
	readTimeout = 10 * time.Second // to read a request
	idleTimeout = 2 * time.Minute  // of a connection without requests
)

// Options holds the limits that differ between servers.
type Options struct {
	MaxBody int // largest request body in bytes
}

// New returns a server on listener. It also silences the logger of hertz for the
// whole process.
func New(listener net.Listener, opts Options) *server.Hertz {
	hlog.SetOutput(io.Discard)
	return server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(opts.MaxBody),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
}

// Stop shuts srv down after the requests in flight have ended, but after timeout at
// the latest.
func Stop(srv *server.Hertz, timeout time.Duration) (err error) {
	defer Error.WrapP(&err)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return srv.Shutdown(ctx)
}

// JSON responds with the given status and with body encoded as JSON.
func JSON(c *app.RequestContext, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = 500, []byte(`{"error":"encoding"}`)
	}
	c.Data(status, "application/json", data)
}

// Decode decodes the JSON body of the request into out. Unknown fields are an
// error.
func Decode(c *app.RequestContext, out any) (err error) {
	defer Error.WrapP(&err)
	decoder := json.NewDecoder(bytes.NewReader(c.Request.Body()))
	decoder.DisallowUnknownFields()
	return decoder.Decode(out)
}

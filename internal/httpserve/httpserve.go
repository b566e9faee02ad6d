// Package httpserve builds hertz servers with the limits that every HTTP
// server of this project has.
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
	readTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
)

// Options bound what a server takes from its peers.
type Options struct {
	MaxBody int // largest request body in bytes
}

// New returns a server on listener.
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

// Stop ends srv after the requests in flight, within timeout.
func Stop(srv *server.Hertz, timeout time.Duration) (err error) {
	defer Error.WrapP(&err)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return srv.Shutdown(ctx)
}

// JSON writes body with status.
func JSON(c *app.RequestContext, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = 500, []byte(`{"error":"encoding"}`)
	}
	c.Data(status, "application/json", data)
}

// Decode reads the request's JSON body into out and refuses unknown fields.
func Decode(c *app.RequestContext, out any) (err error) {
	defer Error.WrapP(&err)
	decoder := json.NewDecoder(bytes.NewReader(c.Request.Body()))
	decoder.DisallowUnknownFields()
	return decoder.Decode(out)
}

// Package httpserve creates hertz servers with the timeouts and limits that all
// HTTP servers of this project share.
//
// # Usage
//
//	srv := httpserve.New(listener, httpserve.Options{MaxBody: 1 << 20})
//	srv.GET("/v1/status", handler)
//	go srv.Run()
//	defer httpserve.Stop(srv, time.Second)
//
// The connections bound what a client can make the process buffer or wait for; see
// docs/design/uncontrolled-clients.md.
package httpserve

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/connlimit"
)

// Error is the class of all errors of this package.
var Error = errs.Class("http")

// Defaults of Limits. Heads of clients have a few hundred bytes.
const (
	defaultHeaderBytes   = 32 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

const (
	// maxKeptBody bounds the buffers for bodies that a connection keeps between requests.
	maxKeptBody = 16 << 10
	// idleMark and readMark are the timeouts that hertz sets before it waits for a request
	// and before it reads one. They only mark these points; the connection sets its own.
	idleMark = 2 * time.Minute
	readMark = 10 * time.Second
)

// Limits bound the requests of a server. They may change while it runs; 0 means the default.
type Limits struct {
	HeaderBytes   int           // request line and header
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // of a connection without a request
}

// orDefaults replaces what is 0 or negative by the defaults.
func (l Limits) orDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Options holds what differs between servers.
type Options struct {
	MaxBody int // largest request body in bytes
	// StreamBody passes requests to the handlers before their bodies are read. A handler
	// that needs the body calls ReadBody.
	StreamBody bool
	Limits     func() Limits    // nil: the defaults
	Group      *connlimit.Group // bounds connections and buffered bytes; nil: unbounded
}

// New returns a server on listener. It also silences the logger of hertz for the
// whole process.
func New(listener net.Listener, opts Options) *server.Hertz {
	hlog.SetOutput(io.Discard)
	if opts.Limits == nil {
		opts.Limits = func() Limits { return Limits{} }
	}
	if opts.Group == nil {
		opts.Group = connlimit.NewGroup("", connlimit.Bounds{Connections: math.MaxInt, Bytes: math.MaxInt64})
	}
	srv := server.New(
		server.WithListener(listener),
		server.WithTransport(func(*config.Options) network.Transporter { return newTransport(listener, opts) }),
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(math.MaxInt), // ReadBody bounds bodies
		server.WithMaxHeaderBytes(0),               // the connection bounds headers
		server.WithMaxKeepBodySize(maxKeptBody),
		server.WithDisablePreParseMultipartForm(true),
		server.WithReadTimeout(readMark),
		server.WithIdleTimeout(idleMark),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
	srv.Use(func(ctx context.Context, c *app.RequestContext) { serveRequest(ctx, c, opts) })
	return srv
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

package httpserve

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/connlimit"
)

// serve starts a server whose handler responds with the size of the body.
func serve(t testing.TB, opts Options) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := New(listener, opts)
	srv.Any("/*path", func(ctx context.Context, c *app.RequestContext) {
		if string(c.Path()) == "/wait" {
			<-ctx.Done()
			left.Add(1)
			return
		}
		c.String(200, fmt.Sprint(len(c.Request.Body())))
	})
	go func() { _ = srv.Run() }()
	t.Cleanup(func() { _ = Stop(srv, 0) })
	return listener.Addr().String()
}

// left counts handlers of the path /wait that ended because their client left.
var left atomic.Int64

func dial(t testing.TB, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn, bufio.NewReader(conn)
}

// response reads one response as its status and body, or "closed".
func response(r *bufio.Reader) string {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "closed"
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != 200 {
		return fmt.Sprint(resp.StatusCode)
	}
	return string(body)
}

const (
	get      = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	postHead = "POST /a HTTP/1.1\r\nHost: h\r\n"
	chunks   = postHead + "Transfer-Encoding: chunked\r\n\r\n"
)

func post(size int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", postHead, size, strings.Repeat("x", size))
}

// TestRequests guards against requests within the limits that are not served, and against
// requests beyond them that are read on. Each request arrives whole, in two parts split at
// every byte of the head, or byte by byte.
func TestRequests(t *testing.T) {
	address := serve(t, Options{MaxBody: 100_000})
	for _, tc := range []struct {
		name, send string
		want       []string
	}{
		{"without a body", get, []string{"0"}},
		{"after empty lines", "\r\n\r\n" + get, []string{"0"}},
		{"with bare line feeds", "GET /a HTTP/1.1\nHost: h\n\n", []string{"0"}},
		{"small body", post(500), []string{"500"}},
		{"pipelined", post(3) + get + post(9000) + get, []string{"3", "0", "9000", "0"}},
		{"chunks", chunks + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" + get, []string{"5", "0"}},
		{"chunks of one byte", chunks + strings.Repeat("1\r\nx\r\n", 3000) + "0\r\n\r\n", []string{"3000"}},
		{"trailers", chunks + "3\r\nabc\r\n0\r\nX-A: b\r\n\r\n" + get, []string{"3", "0"}},
		{"announced over the limit", post(100_001), []string{"413", "closed"}},
		{"announced over the limit, not sent whole", postHead + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 9000), []string{"413", "closed"}},
		{"chunks over the limit", chunks + "186a1\r\n" + strings.Repeat("x", 100_001) + "\r\n0\r\n\r\n", []string{"413", "closed"}},
		{"too much framing", chunks + strings.Repeat("1\r\nx\r\n", 20_000), []string{"400", "closed"}},
		{"trailers over the limit", chunks + "0\r\n" + strings.Repeat("X-A: b\r\n", 3000), []string{"400", "closed"}},
		{"header over the limit", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 40_000), []string{"431", "closed"}},
		{"many header fields", "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:b\r\n", 200) + "\r\n", []string{"431", "closed"}},
		{"large header", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 30_000) + "\r\n\r\n" + get, []string{"0", "0"}},
		{"expects to continue", strings.Replace(post(9000), "\r\n", "\r\nExpect: 100-continue\r\n", 1), []string{"100", "9000"}},
		{"empty lines", strings.Repeat("\r\n", 100) + get, []string{"400", "closed"}},
		{"no HTTP", "\x16\x03\x01\x02\x00", []string{"400", "closed"}},
	} {
		check := func(t *testing.T, parts ...string) {
			conn, r := dial(t, address)
			go func() {
				for _, part := range parts {
					_, _ = conn.Write([]byte(part))
				}
			}()
			for i, want := range tc.want {
				assert.Equal(t, response(r), want, "response %d", i)
			}
		}
		t.Run(tc.name, func(t *testing.T) {
			check(t, tc.send)
			if len(tc.send) < 1000 {
				check(t, strings.Split(tc.send, "")...)
			}
			for i := 1; i < min(len(tc.send), 120); i++ {
				check(t, tc.send[:i], tc.send[i:])
			}
		})
	}
}

// TestLimitsWhileReading guards against limits of the configuration that apply only after a
// request was read, or only to new connections.
func TestLimitsWhileReading(t *testing.T) {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{})
	address := serve(t, Options{MaxBody: 1 << 20, Limits: func() Limits { return *limits.Load() }})
	conn, r := dial(t, address)
	filler := "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2000)
	_, _ = conn.Write([]byte(filler + "\r\n\r\n"))
	assert.Equal(t, response(r), "0")
	limits.Store(&Limits{HeaderBytes: 1000, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond})
	_, _ = conn.Write([]byte(filler))
	assert.Equal(t, response(r), "431")
	for _, tc := range []struct{ name, send, want string }{
		{"a head that stops", "GET /a HT", "408"},
		{"a small body that stops", postHead + "Content-Length: 10\r\n\r\nabc", "408"},
		{"a large body that stops", postHead + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 10_000), "408"},
		{"no request", "", "closed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, r := dial(t, address)
			_, _ = conn.Write([]byte(tc.send))
			assert.Equal(t, response(r), tc.want)
		})
	}
}

// TestClientLeaves guards against handlers that go on for a client that has left.
func TestClientLeaves(t *testing.T) {
	address := serve(t, Options{MaxBody: 1 << 20})
	before := left.Load()
	for i, send := range []string{get, post(10), post(20_000), chunks + "1\r\nx\r\n0\r\n\r\n"} {
		conn, _ := dial(t, address)
		_, _ = conn.Write([]byte(strings.Replace(send, "/a", "/wait", 1)))
		time.Sleep(50 * time.Millisecond)
		_ = conn.Close()
		for start := time.Now(); left.Load() <= before+int64(i) && time.Since(start) < 10*time.Second; {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, left.Load(), before+int64(i+1), "request %d", i)
	}
}

// TestSumOfBodies guards against bodies that together take more than the group may, and
// against small requests that are refused meanwhile.
func TestSumOfBodies(t *testing.T) {
	group := connlimit.NewGroup("test", connlimit.Bounds{Connections: 50, Bytes: 4 << 20})
	address := serve(t, Options{MaxBody: 1 << 20, Group: group})
	for range 20 {
		conn, _ := dial(t, address)
		part := bytes.Repeat([]byte("x"), 900_000)
		_, _ = fmt.Fprintf(conn, "%sContent-Length: 1000000\r\n\r\n", postHead)
		_, _ = conn.Write(part)
		_, held := group.Open()
		assert.Assert(t, held <= 4<<20)
	}
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(time.Millisecond) {
		if _, held := group.Open(); held >= 2<<20 {
			break
		}
	}
	_, held := group.Open()
	assert.Assert(t, held >= 2<<20, "what is read of bodies must be counted: %d", held)
	conn, r := dial(t, address)
	_, _ = conn.Write([]byte(post(6000)))
	assert.Equal(t, response(r), "6000")
	_, _ = conn.Write([]byte(post(1_000_000)))
	assert.Equal(t, response(r), "1000000", "the connections that stopped must give way")
	for range 60 {
		_, _ = dial(t, address)
	}
	_, _ = conn.Write([]byte(get))
	assert.Equal(t, response(r), "0", "connections without a request must be closed first")
	open, _ := group.Open()
	assert.Assert(t, open <= 50)
}

func BenchmarkRequests(b *testing.B) {
	address := serve(b, Options{MaxBody: 1 << 20})
	for _, bench := range []struct{ name, send string }{{"get", get}, {"post", post(700)}} {
		b.Run(bench.name, func(b *testing.B) {
			conn, r := dial(b, address)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = conn.Write([]byte(bench.send))
				if response(r) == "closed" {
					b.Fatal("closed")
				}
			}
		})
	}
}

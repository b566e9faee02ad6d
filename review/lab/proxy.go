package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address. Its open connections can go silent for good, while new
// ones work.
type proxy struct {
	to    string
	mu    sync.Mutex
	conns map[*proxyConn]bool
}

type proxyConn struct {
	mu     sync.Mutex
	silent bool
}

// newProxy starts a proxy on a free loopback port.
func newProxy(to string) (p *proxy, address string, err error) {
	l, err := listen()
	if err != nil {
		return nil, "", err
	}
	p = &proxy{to: to, conns: map[*proxyConn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, l.Addr().String(), nil
}

func (p *proxy) forward(from net.Conn) {
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = from.Close()
		return
	}
	c := &proxyConn{}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wait sync.WaitGroup
	for _, way := range [][2]net.Conn{{from, to}, {to, from}} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.copy(way[1], way[0])
		}()
	}
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards in one direction. What arrives on a silent connection is dropped, also its end.
func (c *proxyConn) copy(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		c.mu.Lock()
		silent := c.silent
		if !silent && n > 0 {
			_, _ = dst.Write(buf[:n])
		}
		c.mu.Unlock()
		if err == nil {
			continue
		}
		if !silent && err == io.EOF {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		}
		return
	}
}

// silence makes all open connections silent and returns how many there are.
func (p *proxy) silence() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		n++
	}
	return n
}

package main

import (
	"net"
	"sync"
	"time"
)

// keepAlive is the interval of the keep-alive probes on the connections of the system's
// processes to minions. A minion that has started again resets a connection of before when
// it receives the next bytes or the next probe.
const keepAlive = time.Second

// link is the network path to one minion. It forwards connections to the address of the
// minion's process, unless the minion is cut off.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	isDark bool
	conns  map[*linkConn]bool
}

// linkConn is one connection to the minion.
type linkConn struct {
	link           *link
	client, server net.Conn
	lastData       time.Time // when the client last sent something
	lost           bool      // the minion was cut off since the connection was opened
}

func newLink() (l *link, err error) {
	l = &link{conns: map[*linkConn]bool{}}
	if l.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// setTarget sets the address of the minion's process.
func (l *link) setTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

// cut partitions the minion from all machines: nothing is forwarded, and no connection is
// closed.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDark = true
	for c := range l.conns {
		c.lost = true
	}
}

// heal ends the cut after the minion's process has ended behind it. Connections of before
// are reset once the machine receives something on them.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDark = false
	for c := range l.conns {
		if c.lost {
			go c.resetAtNextProbe()
		}
	}
}

// isCut reports whether the minion is cut off.
func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDark
}

func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		c := &linkConn{link: l, client: client, lastData: time.Now()}
		l.mu.Lock()
		l.conns[c] = true
		c.lost = l.isDark
		target := l.target
		l.mu.Unlock()
		if !c.lost {
			if c.server, err = net.Dial("tcp", target); err != nil {
				c.reset()
				continue
			}
			go c.backward()
		}
		go c.forward()
	}
}

// forward passes what the client sends to the minion.
func (c *linkConn) forward() {
	defer c.close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.client.Read(buffer)
		if err != nil {
			return
		}
		c.link.mu.Lock()
		c.lastData = time.Now()
		lost, dark := c.lost, c.link.isDark
		c.link.mu.Unlock()
		switch {
		case lost && !dark:
			c.reset()
			return
		case lost:
			continue // lost on the way
		}
		if _, err := c.server.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// backward passes what the minion sends to the client.
func (c *linkConn) backward() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.server.Read(buffer)
		c.link.mu.Lock()
		lost := c.lost
		c.link.mu.Unlock()
		if lost {
			return // the client hears nothing
		}
		if err != nil {
			c.close()
			return
		}
		if _, err := c.client.Write(buffer[:n]); err != nil {
			c.close()
			return
		}
	}
}

// resetAtNextProbe resets a connection when the client's next keep-alive probe is due.
func (c *linkConn) resetAtNextProbe() {
	c.link.mu.Lock()
	idle := time.Since(c.lastData)
	c.link.mu.Unlock()
	time.Sleep(keepAlive - idle%keepAlive)
	c.reset()
}

func (c *linkConn) reset() {
	if tcp, ok := c.client.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.close()
}

func (c *linkConn) close() {
	_ = c.client.Close()
	if c.server != nil {
		_ = c.server.Close()
	}
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
}

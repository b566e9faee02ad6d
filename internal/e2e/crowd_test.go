package e2e

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Sizes and bounds of the crowds. They are fixed and independent of the machine's speed.
const (
	crowdMemoryMB = 96 // of the machine, in the settings of the entry process
	// crowdSize is the number of hostile connections, unless a case says otherwise.
	crowdSize = 80
	// crowdDescriptors bounds the open descriptors of the process.
	crowdDescriptors = 512
	// crowdPatience bounds the time for which a hostile client goes on sending.
	crowdPatience = 8 * time.Second
)

// peerFrame starts a message to a peer with one frame of the given size. Control is 5 for the
// last frame of a message, and 4 if further frames follow.
func peerFrame(control byte, size int) string {
	frame := []byte{control, 1, 1}
	for ; size >= 0x80; size >>= 7 {
		frame = append(frame, byte(size)|0x80)
	}
	return string(append(frame, byte(size)))
}

// repeat returns a function that writes head and then part until total bytes are sent.
func repeat(head, part string, total int) func(conn net.Conn) {
	return func(conn net.Conn) {
		_, err := conn.Write([]byte(head))
		for sent := 0; sent < total && err == nil; sent += len(part) {
			_, err = conn.Write([]byte(part))
		}
	}
}

// TestCrowdAtEntry guards against clients and strangers on the peer port that end or hang an
// entry process: a crowd of connections sends and then stays connected. The process must live,
// within the memory of its machine, and must accept a job meanwhile.
func TestCrowdAtEntry(t *testing.T) {
	const mib = 1 << 20
	block := strings.Repeat("x", 256<<10)
	const post = "POST /v1/jobs HTTP/1.1\r\nHost: a.example\r\n"
	for _, tc := range []struct {
		name  string
		peers bool // the listener for peers
		size  int  // connections; 0: crowdSize
		send  func(conn net.Conn)
	}{
		{name: "peers: messages without end", peers: true, send: repeat(peerFrame(5, 64*mib), block, 8*mib)},
		{name: "peers: messages of many frames", peers: true, send: repeat("", peerFrame(4, 32<<10)+strings.Repeat("x", 32<<10), 200*(32<<10))},
		{name: "peers: idle connections", peers: true, size: 800, send: func(net.Conn) {}},
		{name: "clients: heads without end", send: repeat("GET /v1/status HTTP/1.1\r\nX-Filler: ", block, 8*mib)},
		{name: "clients: bodies just short of their end", send: repeat(post+fmt.Sprintf("Content-Length: %d\r\n\r\n", 4*mib), block, 4*mib-len(block))},
		{name: "clients: large chunks", send: repeat(post+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(block), block), 8*mib)},
		{name: "clients: idle connections", size: 800, send: func(net.Conn) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 1, "memory-mb = "+strconv.Itoa(crowdMemoryMB))
			address := c.cell.Entries[0].HTTPAddress
			if tc.peers {
				address = c.cell.Entries[0].PeerAddress
			}
			size := tc.size
			if size == 0 {
				size = crowdSize
			}
			var group sync.WaitGroup
			for range size {
				conn, err := net.DialTimeout("tcp", address, crowdPatience)
				if err != nil {
					continue // the process refuses further connections
				}
				defer func() { _ = conn.Close() }()
				group.Go(func() {
					_ = conn.SetDeadline(time.Now().Add(crowdPatience))
					tc.send(conn)
				})
			}
			group.Wait()
			c.checkAlive(t)
		})
	}
}

// checkAlive checks that the first entry process lives within the memory and the descriptors of its
// machine, and that it accepts a job.
func (c *cluster) checkAlive(t *testing.T) {
	t.Helper()
	err := c.submitOne()
	peak, descriptors := c.entries[0].statusMB("VmHWM:"), c.entries[0].descriptors()
	t.Logf("peak %.0f MB, %d descriptors, submission: %v", peak, descriptors, err)
	assert.Check(t, peak > 0, "the process has ended")
	assert.Check(t, peak <= crowdMemoryMB, "peak resident memory in MB")
	assert.Check(t, descriptors <= crowdDescriptors, "open descriptors")
	assert.Check(t, err, "submission")
}

// submitOne submits a job as an ordinary client does, with retries.
func (c *cluster) submitOne() (err error) {
	for range 10 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err = c.clients[0].Submit(ctx, smallJob("report", 1, `{}`))
		cancel()
		if err == nil {
			return nil
		}
		time.Sleep(time.Second)
	}
	return err
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// TestFloodAtEntry guards against clients that submit more work than the owners of the shards can
// hold: 80 of them submit jobs of 1,000 tasks, 200 each, of which a few run at a time.
func TestFloodAtEntry(t *testing.T) {
	const clients, jobs, tasks = 80, 200, 1000
	c := newCluster(t, 1, "memory-mb = "+strconv.Itoa(crowdMemoryMB))
	end := time.Now().Add(crowdPatience)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for sent := 0; sent < jobs && time.Now().Before(end); sent++ {
				ctx, cancel := context.WithTimeout(t.Context(), crowdPatience)
				_, _ = c.clients[0].Submit(ctx, smallJob("report", tasks, `{}`))
				cancel()
			}
		})
	}
	group.Wait()
	c.checkAlive(t)
}

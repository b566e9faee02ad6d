// Package connlimit bounds what the connections of a listener hold: their number and the
// bytes that are buffered for requests in progress.
//
// # Usage
//
//	limits := connlimit.Derive(144, connlimit.Descriptors())
//	group := connlimit.NewGroup("callers", limits.Callers)
//	entry := group.Add(conn)
//	defer entry.Remove()
//	if err := entry.Reserve(1 << 20); err != nil {
//		// respond that there is no memory for the request
//	}
//
// When a bound is reached, Victims decides which connections are closed.
package connlimit

import (
	"cmp"
	"slices"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("connection limit")

// ErrFull is the class of errors of a connection that has to give way to others.
var ErrFull = errs.Class("no memory for the request")

// Bounds bound one group of connections.
type Bounds struct {
	Connections int
	Bytes       int64 // buffered beyond FreeBytes per connection
}

// Limits holds the bounds of the listeners of a process.
type Limits struct{ Callers, Peers, Readiness, Metrics Bounds }

const (
	// FreeBytes is what a connection may buffer without a reservation. A request with a
	// spec of 4,000 bytes fits, so that small requests are served while the bytes of the
	// group are used up.
	FreeBytes = 16 << 10
	// connectionBytes is what a connection takes: its stack, its request context and, while
	// a small request is read, up to FreeBytes of buffers. 2,500 idle ones take 11 KB each.
	connectionBytes = 32 << 10
	// defaultMemoryMB is assumed if the memory of the machine is unknown.
	defaultMemoryMB = 512
	// minBytes is enough for one body of 4 MB and for decoding it.
	minBytes = 14 << 20
)

// Derive returns the limits for a machine with the given memory in MB (0: unknown) and a
// process with the given number of descriptors. The connections of callers and those of peers
// may each take an eighth of the memory, and what they buffer a sixth. The remainder is for the
// program, the cell's data and garbage. Of the descriptors, a quarter stays for calls to the
// store, to workers and to peers.
func Derive(memoryMB int64, descriptors int) Limits {
	const (
		probeConnections = 32 // of a load balancer or a monitoring system
		probeBytes       = 1 << 20
		minConnections   = 8
	)
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	memory := memoryMB << 20
	bounds := func(connections, descriptors int, bytes int64) Bounds {
		return Bounds{Connections: max(min(connections, descriptors), minConnections), Bytes: bytes}
	}
	fitting := int(memory / 8 / connectionBytes)
	return Limits{
		Callers:   bounds(fitting, descriptors*3/8, max(memory/6, minBytes)),
		Peers:     bounds(fitting, descriptors/4, max(memory/6, minBytes)),
		Readiness: bounds(probeConnections, descriptors/32, probeBytes),
		Metrics:   bounds(probeConnections, descriptors/32, probeBytes),
	}
}

// Descriptors returns the number of descriptors that the process may open.
func Descriptors() int {
	const unknown = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	return int(min(limit.Cur, 1<<20))
}

// State is what a connection is doing.
type State int32

// States of a connection.
const (
	Idle    State = iota // between two requests, or sending a response
	Reading              // part of a request has been read
	Serving              // a whole request is being served
	evicted              // closed in favour of others
)

// Load describes a connection to Victims.
type Load struct {
	State  State
	Held   int64         // reserved bytes
	Silent time.Duration // since it last sent anything
	Served bool          // a whole request of it has been served
}

// idleGrace is how long a connection that holds bytes between two requests or messages is
// kept after its last one: its peer may be waiting for the response.
const idleGrace = 5 * time.Second

// Victims returns the indexes of the connections that are closed to free a number of bytes
// and of connections, in this order. It handles the load of clients that send a part of a
// request and stop, of clients that only connect, and of clients that fill the memory as
// fast as they can. Connections that hold most and have sent least lately are closed first;
// a connection whose request is being served is never closed. The result is nil if closing
// all others would not be enough.
func Victims(loads []Load, bytes int64, connections int) (victims []int) {
	candidates := make([]int, 0, len(loads))
	for i, l := range loads {
		if l.State == Reading || l.State == Idle && (bytes == 0 || l.Held > 0 && l.Silent >= idleGrace) {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		x, y := loads[a], loads[b]
		if bytes > 0 {
			return cmp.Compare(y.weight(), x.weight())
		}
		if x.Served != y.Served {
			if y.Served {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.Silent, x.Silent), cmp.Compare(y.Held, x.Held))
	})
	for _, i := range candidates {
		if bytes <= 0 && connections <= 0 {
			break
		}
		if bytes > 0 && loads[i].Held == 0 {
			continue
		}
		victims = append(victims, i)
		bytes -= loads[i].Held
		connections--
	}
	if bytes > 0 || connections > 0 {
		return nil
	}
	return victims
}

// unservedFactor is how much more the bytes count of a connection that has never sent a whole
// request. Hosts and ordinary clients keep their connections for many requests.
const unservedFactor = 8

// weight is the bytes that a connection holds times its silence. The second that is added
// makes the size decide between connections that are all sending.
func (l Load) weight() float64 {
	weight := float64(l.Held) * (l.Silent.Seconds() + 1)
	if !l.Served {
		weight *= unservedFactor
	}
	return weight
}

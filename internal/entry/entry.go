// Package entry implements an entry process. It owns shards, serves callers and
// operators over HTTP, and exchanges heartbeats and calls with the other entry
// processes.
//
// # Usage
//
//	e := entry.New(set, log)
//	err := e.Run(ctx) // until ctx ends, then a graceful stop
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/connlimit"
	"turmericspread.org/turmericspread/internal/control"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/httpserve"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/settings"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/slot"
	"turmericspread.org/turmericspread/internal/store"
	"turmericspread.org/turmericspread/internal/worker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("entry")

// Entry is an entry process.
type Entry struct {
	Settings settings.Settings
	Log      zerolog.Logger
	// Network connects the process to the outside.
	Network Network

	info       Info
	loop       *control.Loop
	store      *store.Client
	hosts      *hostlist.Client
	peers      *peer.Client
	workers    *worker.Client
	checks     *invariant.Checks
	tables     atomic.Pointer[config.Tables]
	ready      atomic.Bool
	started    time.Time
	group      sync.WaitGroup
	httpServer *server.Hertz
	// The connections of the two listeners.
	callerConnections, peerConnections *connlimit.Group
	runCtx                             context.Context
	abort                              context.CancelFunc

	// The remaining fields are used only on the control goroutine.
	tracker        *shard.Tracker
	members        map[shard.Instance]*member
	hostList       []hostlist.Host
	hostsByShard   map[shard.ID][]hostlist.Host
	shards         []shard.ID
	racks          map[shard.ID]*rack.Rack
	sets           map[shard.ID]*slot.Set
	queues         map[string]*job.Queue
	writesInFlight map[*shard.Write]bool
	configRevision int64
	leaseValid     bool
	leaving        bool
	storeOK        bool
	lastPlan       time.Time
	lastHeartbeat  time.Time
	outbound       map[shard.ID]int             // requests in flight to each set of minions
	firstSeen      map[shard.Instance]time.Time // when an instance was first observed in a shard table
	unlistedSince  map[shard.Instance]time.Time // since when the host list does not name an instance's host
	fetchingTables bool
	fleet          *fleet
	storeLoaded    bool
}

// Network contains the functions that connect the process to others. New sets
// the real ones; tests replace them. A process without an HTTP address serves
// no HTTP.
type Network struct {
	Listen   func(address string) (net.Listener, error)
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	Store    func(req *http.Request) (*http.Response, error)
	HostList func(req *http.Request) (*http.Response, error)
	Worker   func(req *http.Request) (*http.Response, error)
	// Minion, if set, replaces the connections to minions.
	Minion func(req *http.Request) (*http.Response, error)
	// Gate, if set, is called before each function that runs on the control
	// goroutine; tests use it to pause the process.
	Gate func()
}

// New returns an Entry; Run starts it.
func New(set settings.Settings, log zerolog.Logger) *Entry {
	const instanceBytes = 6
	suffix := make([]byte, instanceBytes)
	_, _ = rand.Read(suffix)
	instance := shard.NewInstance(set.Entry.Name, set.Entry.PeerAddress, hex.EncodeToString(suffix))
	log = log.With().Str("entry", set.Entry.Name).Logger()
	e := &Entry{
		Settings: set,
		Log:      log,
		info: Info{
			Instance: instance, Name: set.Entry.Name, Place: set.Entry.Place,
			PeerAddress: set.Entry.PeerAddress, HTTPAddress: set.Entry.HTTPAddress,
		},
		loop:    control.New(),
		store:   store.New(set.Store.Address, set.Store.Timeout),
		hosts:   hostlist.New(set.HostList.Address),
		peers:   peer.NewClient(),
		workers: worker.New(),
		checks:  invariant.New(log),
		started: time.Now(),
		tracker: shard.NewTracker(instance, shard.Timing{
			Lease: set.Timing.Lease, ClockDrift: set.Timing.ClockDrift, SuspectAfter: set.Timing.SuspectAfter,
		}),
		members:        map[shard.Instance]*member{},
		hostsByShard:   map[shard.ID][]hostlist.Host{},
		racks:          map[shard.ID]*rack.Rack{},
		sets:           map[shard.ID]*slot.Set{},
		queues:         map[string]*job.Queue{},
		writesInFlight: map[*shard.Write]bool{},
		outbound:       map[shard.ID]int{},
		unlistedSince:  map[shard.Instance]time.Time{},
		firstSeen:      map[shard.Instance]time.Time{},
		storeOK:        true,
	}
	e.initConnections()
	e.tables.Store(config.New())
	e.runCtx, e.abort = context.WithCancel(context.Background())
	e.Network = Network{
		Listen:   func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:     e.peers.Dial,
		Store:    e.store.Do,
		HostList: e.hosts.Do,
		Worker:   e.workers.Do,
	}
	return e
}

// Abort ends the process immediately, as a crash would.
func (e *Entry) Abort() { e.abort() }

// Run serves until ctx ends and then stops gracefully.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer Error.WrapP(&err)
	defer e.abort()
	e.peers.Dial = e.Network.Dial
	e.store.Do, e.hosts.Do, e.workers.Do = e.Network.Store, e.Network.HostList, e.Network.Worker
	e.loop.BeforeEach = e.Network.Gate
	peerListener, err := e.Network.Listen(e.info.PeerAddress)
	if err != nil {
		return err
	}
	httpDone, err := e.serveHTTP()
	if err != nil {
		_ = peerListener.Close()
		return err
	}
	peerListener = peer.LimitListener(peerListener, e.peerConnections)
	e.spawn(func() { e.loop.Run(e.runCtx) })
	e.spawn(func() { _ = peer.Serve(e.runCtx, peerListener, e.mux()) })
	e.spawn(func() { e.watchStore(e.runCtx) })
	e.spawn(func() { e.pollHosts(e.runCtx) })
	e.spawn(func() { e.tickLoop(e.runCtx) })
	event.Started.Log(e.Log).Str("instance", string(e.info.Instance)).Str("place", e.info.Place).
		Str("http", e.info.HTTPAddress).Str("peer", e.info.PeerAddress).Send()
	select {
	case <-ctx.Done():
		e.stop()
	case <-e.runCtx.Done():
	case err = <-httpDone:
	}
	e.abort()
	e.stopHTTP(time.Second)
	_ = e.peers.Close()
	e.group.Wait()
	event.Stopped.Log(e.Log).Send()
	return err
}

// serveHTTP starts the HTTP server for callers and operators. The channel done
// receives the error that ends it.
func (e *Entry) serveHTTP() (done chan error, err error) {
	done = make(chan error, 1)
	if e.info.HTTPAddress == "" {
		return done, nil
	}
	listener, err := e.Network.Listen(e.info.HTTPAddress)
	if err != nil {
		return nil, err
	}
	e.httpServer = httpserve.New(listener, httpserve.Options{
		MaxBody: bodyReadFactor * e.Settings.Limits.BodyBytes, Group: e.callerConnections,
	})
	e.httpServer.Use(e.limitBody)
	e.routes(e.httpServer)
	e.spawn(func() { done <- e.httpServer.Run() })
	return done, nil
}

// initConnections creates the groups of the connections of callers and of peers. Their bounds are
// derived from the memory of the machine, but a body that is read must fit, with the memory for
// decoding it. If the memory is unknown, the setting alone bounds the connections of callers.
func (e *Entry) initConnections() {
	const decodedBodies = 4 * bodyReadFactor
	largest := int64(decodedBodies * e.Settings.Limits.BodyBytes)
	limits := connlimit.Derive(e.Settings.Entry.MemoryMB, connlimit.Descriptors())
	limits.Callers.Bytes, limits.Peers.Bytes = max(limits.Callers.Bytes, largest), max(limits.Peers.Bytes, largest)
	if set := e.Settings.Limits.Connections; e.Settings.Entry.MemoryMB == 0 || set < limits.Callers.Connections {
		limits.Callers.Connections = set
	}
	e.callerConnections = connlimit.NewLoggedGroup("callers", limits.Callers, e.Log)
	e.peerConnections = connlimit.NewLoggedGroup("peers", limits.Peers, e.Log)
}

// stopHTTP stops the HTTP server after the requests in flight, at the latest
// after timeout.
func (e *Entry) stopHTTP(timeout time.Duration) {
	if e.httpServer != nil {
		_ = httpserve.Stop(e.httpServer, timeout)
	}
}

// spawn runs fn on a goroutine that Run waits for.
func (e *Entry) spawn(fn func()) {
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		fn()
	}()
}

// stop hands over all shards and waits for the requests in flight.
func (e *Entry) stop() {
	event.Stopping.Log(e.Log).Send()
	e.ready.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), e.Settings.Timing.Stop)
	defer cancel()
	_ = e.loop.Call(ctx, func() {
		e.leaving = true
		e.tracker.ReleaseAll()
	})
	const pollInterval = 10 * time.Millisecond
	for {
		remaining := 0
		err := e.loop.Call(ctx, func() { remaining = len(e.tracker.OwnedShards()) + e.inFlight() })
		if err != nil {
			event.StopForced.Log(e.Log).Int("left", remaining).Send()
			return
		}
		if remaining == 0 {
			break
		}
		time.Sleep(pollInterval)
	}
	deadline, _ := ctx.Deadline()
	e.stopHTTP(time.Until(deadline))
}

// inFlight counts the requests in flight through this process.
func (e *Entry) inFlight() (n int) {
	for _, set := range e.sets {
		n += set.InFlight()
	}
	for _, count := range e.outbound {
		n += count
	}
	return n
}

// tickInterval is the interval between two ticks of the control state.
const tickInterval = 10 * time.Millisecond

// tickLoop calls tick periodically on the control goroutine.
func (e *Entry) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// Waiting for each tick keeps ticks from accumulating in a busy loop.
			err := e.loop.Call(ctx, func() { e.tick(ctx, time.Now()) })
			if errors.Is(err, context.Canceled) {
				return
			}
		}
	}
}

// planInterval is the interval between two evaluations of shard ownership.
const planInterval = 50 * time.Millisecond

// tick runs the periodic work of the process and of all shards that it owns.
func (e *Entry) tick(ctx context.Context, now time.Time) {
	if now.Sub(e.lastPlan) >= planInterval {
		e.lastPlan = now
		e.planShards(now)
	}
	e.syncShards(now)
	if now.Sub(e.lastHeartbeat) >= e.Settings.Timing.Heartbeat {
		e.lastHeartbeat = now
		e.sendHeartbeats(ctx, now)
	}
	for _, r := range e.racks {
		r.Tick(now)
	}
	for _, set := range e.sets {
		set.Tick(now)
	}
	for _, q := range e.queues {
		q.Tick(now)
	}
}

// Package host assembles one entry host: it serves callers, takes part in the
// ownership of the cell and, while it is the owner, decides about jobs and
// workers. It keeps nothing that has to outlive the process: what must last is
// in the store.
//
// # Usage
//
//	h := host.New()
//	h.Name, h.PeerAddress = "host-1", "10.1.0.17:8180"
//	h.SetSeeds(seeds)
//	h.DirectStore, h.Workers = store.Do, workers // adapters
//	err := h.Run(ctx) // until ctx ends, then a planned stop
package host

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/boottime"
	"turmericspread.org/turmericspread/internal/carrier"
	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/control"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/tablefeed"
	"turmericspread.org/turmericspread/internal/work"
)

// Error is the class of all errors of this package.
var Error = errs.Class("host")

// Targets are the ways to workers and to the placement adviser.
type Targets struct {
	carrier.Targets
	Advise func(ctx context.Context, order work.AdviceRequest) (work.AdviceResponse, error)
}

// StoreLayout tell where the platform keeps what it and the operators write, and how
// to read it.
type StoreLayout struct {
	WorkersPrefix string
	DecodeWorker  func(key string, value []byte) (work.Worker, error)
	TablesKey     string
	DecodeTables  func(value []byte) (*work.Tables, error)
}

// Host is one entry host. Set the exported fields before Run.
type Host struct {
	Name          string
	Place         string  // data centre
	PeerAddress   string  // where other hosts connect
	CPUShare      float64 // processor share, to prefer strong hosts as owners
	Bounds        cell.Bounds
	ShutdownGrace time.Duration // bound of a planned stop
	Log           zerolog.Logger
	DirectStore   func(ctx context.Context, req kvstore.Request) (kvstore.Response, error)
	Targets       Targets
	StoreLayout   StoreLayout
	Listen        func(address string) (net.Listener, error)
	// MaxTablesAge is the age of the configuration in force from which calls wait
	// for a newer look at it.
	MaxTablesAge time.Duration
	// DirectWorkers is how many workers an owner calls by itself; with more, it
	// has other hosts make the calls.
	DirectWorkers int

	instance string
	loop     *control.Loop
	peers    *peer.Client
	relay    *kvstore.Relay
	store    *kvstore.Client
	tables   *tablefeed.Feed
	ready    atomic.Bool
	stopping atomic.Bool
	group    sync.WaitGroup
	started  time.Time
	runCtx   context.Context // ends with the process
	abort    context.CancelFunc
	look     chan struct{} // asks for a read of the cell's rows
	adviser  adviser
	workers  *carrier.Server

	loadingUntil atomic.Int64 // until when this host counts as loading the cell, by boot

	refreshMu  sync.Mutex
	refreshing chan struct{} // closed when the look at the configuration under way has ended

	relayLast atomic.Pointer[string] // address of the host that relayed a call last
	stats     *Stats

	seeds atomic.Pointer[[]string]
	view  atomic.Pointer[view] // of the cell, for other goroutines

	// The rest belongs to the control goroutine.
	row       ownerRow
	rowRev    int64
	rowKnown  bool
	beatRev   int64
	beatSeen  time.Time // when beatRev was first seen
	members   map[string]memberRow
	heard     map[string]time.Time // when another host was heard last, by instance
	cutOff    map[string]bool      // whether the store turns a host away, by instance
	own       *cell.Owner
	ownCancel context.CancelFunc
	carriers  *carrier.Client // of the ownership
	// carrierList has the addresses of the hosts that call the workers; empty:
	// this host does.
	carrierList []string
	claiming    bool
	suspect     suspicion
}

// view is what other goroutines need to know of the cell.
type view struct {
	owner   ownerRow
	known   bool
	members []memberRow
}

// New returns a Host that does not run yet.
func New() *Host {
	const instanceBytes = 6
	suffix := make([]byte, instanceBytes)
	_, _ = rand.Read(suffix)
	h := &Host{
		Log:      zerolog.Nop(),
		Listen:   func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		instance: hex.EncodeToString(suffix),

		DirectWorkers: directWorkers,
		MaxTablesAge:  tablesBound,
		tables:        tablefeed.New(),
		loop:          control.New(),
		peers:         peer.NewClient(),
		members:       map[string]memberRow{},
		heard:         map[string]time.Time{},
		cutOff:        map[string]bool{},
		started:       time.Now(),
		look:          make(chan struct{}, 1),
		stats:         newStats(),
	}
	h.view.Store(&view{})
	h.SetSeeds(nil)
	h.runCtx, h.abort = context.WithCancel(context.Background())
	return h
}

// Abort ends the process's work at once, as a crash would.
func (h *Host) Abort() { h.abort() }

// Owner reports whether this host owns the cell.
func (h *Host) Owner() (owner bool) {
	_ = h.loop.Call(h.runCtx, func() { owner = h.own != nil })
	return owner
}

// Members returns the number of hosts that are known from the store.
func (h *Host) Members() int { return len(h.view.Load().members) }

// SetSeeds sets the peer addresses of some other hosts, possibly stale. They
// are asked while no host is known from the store.
func (h *Host) SetSeeds(seeds []string) { h.seeds.Store(&seeds) }

const (
	// directTimeout bounds a direct call to the store; slow stores answer
	// within a quarter of a second.
	directTimeout = 400 * time.Millisecond
	// storeTimeout bounds a call with its second way.
	storeTimeout = 900 * time.Millisecond
	// largeTimeout bounds a call with a long answer: half a megabyte takes 0.4 s
	// on the slowest links, and they are shared.
	largeTimeout = 2500 * time.Millisecond
	// storeDownAfter is how long no call may be answered until the store counts
	// as away.
	storeDownAfter = 800 * time.Millisecond
	// tickPeriod is the time between two looks for what is due by time.
	tickPeriod = 10 * time.Millisecond
)

// Run serves until ctx ends and then stops gracefully.
func (h *Host) Run(ctx context.Context) (err error) {
	defer Error.WrapP(&err)
	h.relay = &kvstore.Relay{
		Direct: h.DirectStore, ViaPeer: h.storeThroughPeer, DirectTimeout: directTimeout, LargeTimeout: largeTimeout,
		OnDirectChange: h.directChanged, ProbeKey: ownerKey,
	}
	h.store = &kvstore.Client{Do: h.observeStore(h.relay.Do), Timeout: storeTimeout, LargeTimeout: largeTimeout}
	h.adviser.busy, h.adviser.rest = map[string]time.Duration{}, map[string]time.Time{}
	h.workers = &carrier.Server{Targets: h.observeWorkers(h.Targets.Targets), Spawn: h.spawn, Leaving: h.stopping.Load}
	listener, err := h.Listen(h.PeerAddress)
	if err != nil {
		return err
	}
	runCtx, cancel := h.runCtx, h.abort
	defer cancel()
	h.spawn(func() { h.loop.Run(runCtx) })
	h.spawn(func() {
		if err := peer.Serve(runCtx, listener, h.mux()); err != nil && runCtx.Err() == nil {
			h.Log.Error().Err(err).Msg("peer server ended")
		}
	})
	h.spawn(func() { h.followTables(runCtx) })
	h.spawn(func() { h.followCell(runCtx) })
	h.spawn(func() { h.watchOwner(runCtx) })
	h.spawn(func() { h.tick(runCtx) })
	event.Started.Log(h.Log).Str("instance", h.instance).Str("place", h.Place).Str("peer", h.PeerAddress).Send()
	select {
	case <-ctx.Done():
		h.stop(runCtx)
	case <-runCtx.Done():
	}
	cancel()
	_ = h.peers.Close()
	h.group.Wait()
	event.Stopped.Log(h.Log).Send()
	return nil
}

// Instance names this process.
func (h *Host) Instance() string { return h.instance }

// Ready reports whether this host should get new connections.
func (h *Host) Ready() bool { return h.ready.Load() && !h.stopping.Load() }

// Stopping reports whether a planned stop has begun.
func (h *Host) Stopping() bool { return h.stopping.Load() }

func (h *Host) spawn(fn func()) {
	h.group.Add(1)
	go func() {
		defer h.group.Done()
		fn()
	}()
}

// post runs fn on the control goroutine and then what has become due.
func (h *Host) post(fn func()) {
	h.loop.Post(func() {
		fn()
		if h.own != nil {
			h.own.Tick()
		}
	})
}

func (h *Host) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			err := h.loop.Call(ctx, func() {
				if h.own != nil {
					h.carriers.Expire()
					h.own.Tick()
				}
			})
			if err != nil {
				return
			}
		}
	}
}

// storeUp reports whether the store answers this host, directly or through another.
func (h *Host) storeUp() bool {
	return h.store.Up() || time.Since(h.store.LastSuccess()) < storeDownAfter
}

// storeLost returns how long ago the store last failed to answer. A process
// that has just started cannot tell and reports its own age.
func (h *Host) storeLost() time.Duration {
	return min(time.Since(h.store.LastFailure()), time.Since(h.started))
}

func (h *Host) directChanged(direct bool, err error) {
	if direct {
		event.StoreDirectUp.Log(h.Log).Send()
		return
	}
	event.StoreDirectDown.Log(h.Log).Err(err).Send()
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// boot reads the clock that leases are checked against.
func boot() time.Duration { return boottime.Now() }

// wall reads the time of day since 1970.
func wall() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Package host implements one entry host. A host serves clients, takes part in
// the election of the cell's owner and, while it is the owner, schedules jobs
// on the workers. It has no durable state of its own: everything that must
// survive the process is in the store.
//
// # Usage
//
//	h := host.New()
//	h.Name, h.PeerAddress = "host-1", "10.1.0.17:8180"
//	h.SetSeeds(seeds)
//	h.DirectStore, h.Targets = store.Do, targets // adapters
//	err := h.Run(ctx) // until ctx ends, then stops gracefully
package host

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/backlog"
	"turmericspread.org/turmericspread/internal/boottime"
	"turmericspread.org/turmericspread/internal/carrier"
	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/connlimit"
	"turmericspread.org/turmericspread/internal/control"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/tablefeed"
	"turmericspread.org/turmericspread/internal/work"
)

// Error is the class of all errors of this package.
var Error = errs.Class("host")

// Targets are the functions that call workers and the placement adviser.
type Targets struct {
	carrier.Targets
	Advise func(ctx context.Context, request work.AdviceRequest) (work.AdviceResponse, error)
}

// StoreLayout describes where the platform stores the worker list, the operators'
// evacuation requests and configuration, and how to decode them.
type StoreLayout struct {
	WorkersPrefix string
	DecodeWorker  func(key string, value []byte) (work.Worker, error)
	// EvacuationsPrefix is that of the keys that request the evacuation of the data
	// centre that the rest of the key names; empty: there are none.
	EvacuationsPrefix string
	// WavesPrefix is that of the keys that request the upkeep of machines; empty: there
	// are none.
	WavesPrefix string
	DecodeWave  func(key string, value []byte) (work.Wave, error)
	// EncodeWaveState returns the item that tells operators the state of a wave.
	EncodeWaveState func(name string, state cell.WaveState) (key string, value []byte)
	TablesKey       string
	DecodeTables    func(value []byte) (*work.Tables, error)
}

// Host is one entry host. Set the exported fields before Run.
type Host struct {
	Name          string
	Place         string  // data centre
	PeerAddress   string  // address on which other hosts connect to this one
	CPUShare      float64 // processor share of this host; hosts with a larger share are preferred as owners
	Bounds        cell.Bounds
	ShutdownGrace time.Duration // maximum time for a graceful stop
	Log           zerolog.Logger
	DirectStore   func(ctx context.Context, req kvstore.Request) (kvstore.Response, error)
	Targets       Targets
	StoreLayout   StoreLayout
	Listen        func(address string) (net.Listener, error)
	// MemoryMB is the memory of the machine, which bounds the calls that are held
	// during an outage of the store; 0: unknown.
	MemoryMB int64
	// PeerConnections bounds the connections and messages of other hosts. If it is nil,
	// they are unbounded.
	PeerConnections *connlimit.Group
	// MetricsWriters write further metrics.
	MetricsWriters []func(w io.Writer)
	// ListMachines reads the platform's list of machines, and OrderUpkeep orders the upkeep
	// of one of them; nil: the platform has none.
	ListMachines func(ctx context.Context) ([]work.Machine, error)
	OrderUpkeep  func(ctx context.Context, holder string, request work.UpkeepRequest) error
	// MaxTablesAge is the age of the current configuration from which a request
	// waits for a refresh.
	MaxTablesAge time.Duration
	// DirectWorkers is the maximum number of workers that an owner calls
	// directly. With more workers, other hosts make the calls on its behalf.
	DirectWorkers int

	instance          string
	loop              *control.Loop
	peers             *peer.Client
	relay             *kvstore.Relay
	store             *kvstore.Client
	tables            *tablefeed.Feed
	ready             atomic.Bool
	stopping          atomic.Bool
	group             sync.WaitGroup
	started           time.Time
	runCtx            context.Context // ends with the process
	abort             context.CancelFunc
	cellReadRequested chan struct{} // requests a read of the cell's rows
	adviceBalancer    adviceBalancer
	carrierServer     *carrier.Server

	loadingUntil atomic.Int64 // on the boot clock: end of the time granted for loading the cell; 0: not loading

	running    atomic.Bool // Run has begun
	holding    holder
	tombstones tombstoneBudget

	refreshMu   sync.Mutex
	refreshDone chan struct{} // closed when the refresh of the configuration in progress has ended

	lastRelay atomic.Pointer[string] // address of the host that relayed the last request
	stats     *Stats

	malformedWorkers atomic.Pointer[map[string]int64] // by key: revision that was read last
	malformedWaves   sync.Map                         // by key: revision that was logged last

	seeds atomic.Pointer[[]string]
	view  atomic.Pointer[view] // state of the cell for other goroutines
	loads atomic.Pointer[knownLoads]
	// window counts the jobs that were stored by this host and are not confirmed by the owner.
	window backlog.Window

	// The fields below are accessed only on the control goroutine.
	currentOwner      ownerRow  // empty if the cell has no owner
	ownerRowRevision  int64     // store revision of currentOwner; 0: no owner
	ownerRowRead      bool      // the cell's rows were read at least once
	livenessRevision  int64     // store revision of the last observed liveness marker
	livenessChangedAt time.Time // when a new liveness marker or a new owner was last observed
	members           map[string]memberRow
	heartbeats        map[string]heartbeat // last ones, by instance
	cellOwner         *cell.Owner          // nil unless this host owns the cell
	cancelOwner       context.CancelFunc
	carrierClient     *carrier.Client // set while this host owns the cell
	// carrierAddresses has the addresses of the current carriers; empty: this
	// host calls all workers directly.
	carrierAddresses []string
	claiming         bool // a claim by this host is in progress
	ownerSuspicion   suspicion
	ownerRecord      ownerRecord
	handingOver      bool // this host offers the cell to others
}

// view is a snapshot of the cell's state for other goroutines.
type view struct {
	owner   ownerRow
	known   bool // the cell has an owner
	members []memberRow
	// memoryMB is the memory of the smallest host; 0: unknown.
	memoryMB int64
}

// New returns a Host that is not running yet.
func New() *Host {
	const instanceBytes = 6
	suffix := make([]byte, instanceBytes)
	_, _ = rand.Read(suffix)
	h := &Host{
		Log:      zerolog.Nop(),
		Listen:   func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		instance: hex.EncodeToString(suffix),

		DirectWorkers:     defaultDirectWorkers,
		MaxTablesAge:      defaultMaxTablesAge,
		tables:            tablefeed.New(),
		loop:              control.New(),
		peers:             peer.NewClient(),
		members:           map[string]memberRow{},
		heartbeats:        map[string]heartbeat{},
		started:           time.Now(),
		cellReadRequested: make(chan struct{}, 1),
		stats:             newStats(),
	}
	h.peers.OnSilent = func(address string, closed int) { h.LogSilent("hosts", address, closed) }
	h.view.Store(&view{})
	h.malformedWorkers.Store(&map[string]int64{})
	h.SetSeeds(nil)
	h.runCtx, h.abort = context.WithCancel(context.Background())
	return h
}

// maxSilentLogs bounds the lines on silent connections in each second: those to all workers may go
// silent at the same time.
const maxSilentLogs = 20

// LogSilent logs that idle connections to a peer of some kind were closed because others to it
// had gone silent.
func (h *Host) LogSilent(kind, address string, closed int) {
	if h.stats.silentLogs.allow(time.Now(), maxSilentLogs) {
		event.ConnectionsSilent.Log(h.Log).Str("to", kind).Str("address", address).Int("closed", closed).Send()
	}
}

// Abort stops all work of the host immediately, like a crash.
func (h *Host) Abort() { h.abort() }

// Owner reports whether this host owns the cell.
func (h *Host) Owner() (owner bool) {
	_ = h.loop.Call(h.runCtx, func() { owner = h.cellOwner != nil })
	return owner
}

// Members returns the number of hosts that are registered in the store.
func (h *Host) Members() int { return len(h.view.Load().members) }

// SetSeeds sets the peer addresses of some other hosts, which may be out of
// date. They are used while no registered host is known.
func (h *Host) SetSeeds(seeds []string) { h.seeds.Store(&seeds) }

const (
	// directTimeout bounds a direct store request. Slow stores respond within
	// 250 ms.
	directTimeout = 400 * time.Millisecond
	// storeTimeout bounds a store request including an attempt through another
	// host.
	storeTimeout = 900 * time.Millisecond
	// largeTimeout bounds a request with a large response. Half a megabyte
	// takes 0.4 s on the slowest links, and the links are shared.
	largeTimeout = 2500 * time.Millisecond
	// storeUnavailableAfter is the time without any response after which the
	// store counts as unavailable.
	storeUnavailableAfter = 800 * time.Millisecond
	// tickInterval is the interval between two checks for work that is due.
	tickInterval = 10 * time.Millisecond
)

// Run serves until ctx ends and then stops gracefully. After Abort it returns
// without a graceful stop. It fails only if it cannot listen on PeerAddress.
func (h *Host) Run(ctx context.Context) (err error) {
	defer Error.WrapP(&err)
	h.relay = &kvstore.Relay{
		Direct: h.DirectStore, ViaPeer: h.storeThroughPeer, DirectTimeout: directTimeout, LargeTimeout: largeTimeout,
		OnDirectChange: h.logDirectChange, ProbeKey: ownerKey,
	}
	h.store = &kvstore.Client{Do: h.observeStore(h.relay.Do), Timeout: storeTimeout, LargeTimeout: largeTimeout}
	h.initHolding()
	h.adviceBalancer.pending, h.adviceBalancer.cooldownUntil = map[string]time.Duration{}, map[string]time.Time{}
	h.carrierServer = &carrier.Server{
		Targets: h.observeWorkers(h.Targets.Targets), Spawn: h.spawn, Leaving: h.stopping.Load,
		Slots: make(chan struct{}, carrierSlots(h.MemoryMB)),
	}
	listener, err := h.Listen(h.PeerAddress)
	if err != nil {
		return err
	}
	h.running.Store(true)
	if h.PeerConnections != nil {
		listener = peer.LimitListener(listener, h.PeerConnections)
	}
	runCtx, cancel := h.runCtx, h.abort
	defer cancel()
	h.spawn(func() { h.loop.Run(runCtx) })
	h.spawn(func() {
		if err := peer.Serve(runCtx, listener, h.mux()); err != nil && runCtx.Err() == nil {
			h.Log.Error().Err(err).Msg("peer server failed")
		}
	})
	h.spawn(func() { h.followTables(runCtx) })
	h.spawn(func() { h.followCell(runCtx) })
	h.spawn(func() { h.monitorOwner(runCtx) })
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

// Instance returns the random identifier of this process.
func (h *Host) Instance() string { return h.instance }

// Ready reports whether this host should receive new connections.
func (h *Host) Ready() bool { return h.ready.Load() && !h.stopping.Load() }

// Stopping reports whether a graceful stop has begun.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// spawn runs fn on another goroutine. Run does not return before fn does.
func (h *Host) spawn(fn func()) {
	h.group.Add(1)
	go func() {
		defer h.group.Done()
		fn()
	}()
}

// post runs fn on the control goroutine, followed by the work that has become
// due.
func (h *Host) post(fn func()) {
	h.loop.Post(func() {
		fn()
		if h.cellOwner != nil {
			h.cellOwner.Tick()
		}
	})
}

// tick periodically expires overdue calls through carriers and runs the work
// that is due.
func (h *Host) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			err := h.loop.Call(ctx, func() {
				if h.cellOwner != nil {
					h.carrierClient.Expire()
					h.cellOwner.Tick()
				}
			})
			if err != nil {
				return
			}
		}
	}
}

// storeUp reports whether the store responds to this host, directly or through
// another host.
func (h *Host) storeUp() bool {
	return h.store.Up() || time.Since(h.store.LastSuccess()) < storeUnavailableAfter
}

// sinceStoreFailure returns the time since the last failure of the store. A
// process that has just started has observed none and returns its own age instead.
func (h *Host) sinceStoreFailure() time.Duration {
	return min(time.Since(h.store.LastFailure()), time.Since(h.started))
}

// logDirectChange logs that direct access to the store was lost or regained.
func (h *Host) logDirectChange(direct bool, err error) {
	if direct {
		event.StoreDirectUp.Log(h.Log).Send()
		return
	}
	event.StoreDirectDown.Log(h.Log).Err(err).Send()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// bootClock returns the time of the clock that leases are checked against.
func bootClock() time.Duration { return boottime.Now() }

// wallClock returns the time since 1970.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

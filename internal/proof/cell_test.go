package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/entry"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/settings"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/standin"
)

// Addresses of the stand-ins in the simulated network. A cut of minionsTarget affects
// all minions.
const (
	storeAddress   = "store"
	hostsAddress   = "host-list"
	workersAddress = "workers"
	minionsTarget  = "minions"
)

var dataCentres = []string{"boyolali", "klaten", "salatiga"}

// process is one run of an entry host's process.
type process struct {
	node  *node
	entry *entry.Entry
	done  chan struct{}
}

// cell is a whole cell in virtual time. The process at index i of procs runs entry
// host e<i>; retired holds the processes that were killed and replaced.
type cell struct {
	t        *testing.T
	net      *network
	store    *standin.Store
	hosts    *standin.HostList
	workers  *standin.Workers
	minions  map[string]*standin.Minion
	hostRows []hostlist.Host // workers, then minions, then entry hosts
	mu       sync.Mutex
	procs    []*process
	retired  []*process
	stop     context.CancelFunc
	logs     *logBuffer
	settings func(i int) settings.Settings
}

// options describes the size and the faults of a cell.
type options struct {
	entries         int
	racks           int
	workersPerRack  int
	minionsPerPlace int // in each data centre
	capacity        resource.Vector
	ignoreEpochs    bool
	seed            uint64
	hostLag         time.Duration
	taskLease       time.Duration
}

// smallCell returns the options that most tests use.
func smallCell(seed uint64) options {
	return options{
		entries: 4, racks: 3, workersPerRack: 3, minionsPerPlace: 2, seed: seed,
		capacity: resource.Vector{MilliCores: 8000, MemoryMB: 16384},
		hostLag:  time.Second, taskLease: 10 * time.Second,
	}
}

// newCell starts the stand-ins and all entry processes of a cell.
func newCell(t *testing.T, opts options) *cell {
	t.Helper()
	c := &cell{
		t: t, net: newNetwork(opts.seed), store: standin.NewStore(), workers: standin.NewWorkers(),
		minions: map[string]*standin.Minion{}, logs: &logBuffer{},
	}
	c.workers.IgnoreEpochs = opts.ignoreEpochs
	c.net.serve(storeAddress, c.store.Routes)
	c.net.serve(workersAddress, c.workers.Routes)
	for r := range opts.racks {
		place := dataCentres[r%len(dataCentres)]
		for w := range opts.workersPerRack {
			name := fmt.Sprintf("r%d-w%d", r, w)
			c.workers.Add(name, opts.capacity)
			c.hostRows = append(c.hostRows, hostlist.Host{
				Name: name, Kind: hostlist.KindWorker, Address: workersAddress, Place: place,
				Rack: fmt.Sprintf("r%d", r), State: "live", Capacity: opts.capacity,
			})
		}
	}
	for p := range min(opts.minionsPerPlace, 1) * len(dataCentres) {
		for m := range opts.minionsPerPlace {
			c.addMinion(dataCentres[p], fmt.Sprintf("%s-m%d", dataCentres[p], m))
		}
	}
	for i := range opts.entries {
		c.hostRows = append(c.hostRows, hostlist.Host{
			Name: fmt.Sprintf("e%d", i), Kind: hostlist.KindEntry, Place: dataCentres[i%len(dataCentres)], State: "live",
		})
	}
	c.hosts = standin.NewHostList(c.hostRows, opts.hostLag)
	c.net.serve(hostsAddress, c.hosts.Routes)
	c.settings = func(i int) settings.Settings { return c.entrySettings(i, opts) }
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	go c.workers.Run(ctx)
	c.procs = make([]*process, opts.entries)
	for i := range opts.entries {
		c.startProcess(i)
	}
	return c
}

// addMinion adds a minion to the network and to the rows of the host list.
func (c *cell) addMinion(place, name string) {
	const slots, connections = 8, 64
	m := standin.NewMinion(name, slots, connections)
	c.minions[name] = m
	c.net.serve("minion-"+name, m.Routes)
	c.hostRows = append(c.hostRows, hostlist.Host{
		Name: name, Kind: hostlist.KindMinion, Address: "minion-" + name, Place: place,
		Service: "hay-auction", Slots: slots, Connections: connections, State: "live",
	})
}

func peerAddress(i int) string { return fmt.Sprintf("peer-%d", i) }

func (c *cell) entrySettings(i int, opts options) settings.Settings {
	set := settings.Settings{
		Entry:    settings.Entry{Name: fmt.Sprintf("e%d", i), Place: dataCentres[i%len(dataCentres)], PeerAddress: peerAddress(i)},
		Store:    settings.Store{Address: storeAddress, Timeout: time.Second},
		HostList: settings.HostList{Address: hostsAddress, Poll: time.Second, Lag: settings.DefaultHostListLag},
		Timing:   settings.DefaultTiming(),
	}
	set.Timing.TaskLease = opts.taskLease
	for j := range opts.entries {
		set.Entry.Peers = append(set.Entry.Peers, peerAddress(j))
	}
	return set
}

// startProcess starts the process of entry host i. It replaces a process that has
// ended.
func (c *cell) startProcess(i int) {
	p := &process{node: &node{net: c.net, address: peerAddress(i)}, done: make(chan struct{})}
	p.entry = entry.New(c.settings(i), zerolog.New(c.logs).With().Timestamp().Logger())
	p.entry.Network = entry.Network{
		Listen: p.node.listen, Dial: p.node.dial, Gate: p.node.waitWhilePaused,
		Store:    p.node.roundTrip(storeAddress),   //nolint:bodyclose // the caller closes it
		HostList: p.node.roundTrip(hostsAddress),   //nolint:bodyclose // the caller closes it
		Worker:   p.node.roundTrip(workersAddress), //nolint:bodyclose // the caller closes it
		Minion:   p.node.roundTrip(minionsTarget),  //nolint:bodyclose // the caller closes it
	}
	go func() {
		defer close(p.done)
		_ = p.entry.Run(context.Background())
	}()
	// The process must run before the test calls it.
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.procs[i]; old != nil {
		c.retired = append(c.retired, old)
	}
	c.procs[i] = p
}

// proc returns the current process of entry host i.
func (c *cell) proc(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.procs[i]
}

// killProcess simulates a crash of the process of entry host i.
func (c *cell) killProcess(i int) {
	p := c.proc(i)
	p.node.kill()
	p.entry.Abort()
	<-p.done
}

// close ends all processes and stand-ins.
func (c *cell) close() {
	c.net.removeCuts()
	for i := range c.procs {
		c.killProcess(i)
	}
	c.stop()
	// Calls in flight end at their timeouts.
	time.Sleep(time.Minute)
}

// eventually calls fn in virtual time until it returns nil. After the timeout it
// marks the test as failed and returns.
func (c *cell) eventually(timeout time.Duration, fn func() error) {
	c.t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		err := fn()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Errorf("condition not met within %s: %v", timeout, err)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// configure activates tables and waits until all processes use them and all shards
// have owners.
func (c *cell) configure(tables *config.Tables) {
	c.t.Helper()
	var version int64
	c.eventually(20*time.Second, func() (err error) {
		version, err = c.proc(0).entry.Edit(context.Background(), func(current *config.Tables) error {
			current.Teams, current.Pools, current.Routes = tables.Teams, tables.Pools, tables.Routes
			return nil
		})
		return err
	})
	c.eventually(10*time.Second, func() error {
		for i := range c.procs {
			if got := c.proc(i).entry.Tables().Version; got < version {
				return fmt.Errorf("e%d has version %d", i, got)
			}
		}
		return nil
	})
	c.awaitOwners()
}

// awaitOwners waits until every process observes a live owner of every shard.
func (c *cell) awaitOwners() {
	c.t.Helper()
	c.eventually(30*time.Second, func() error {
		for i := range c.procs {
			dump, err := c.proc(i).entry.Dump(context.Background())
			if err != nil {
				return err
			}
			if len(dump.Status.Shards) == 0 {
				return fmt.Errorf("e%d has no shards yet", i)
			}
			for _, sh := range dump.Status.Shards {
				if !c.isLive(sh.Owner) {
					return fmt.Errorf("on e%d, shard %s has the owner %q, which is not live", i, sh.Shard, sh.Owner)
				}
			}
		}
		return nil
	})
}

// isLive reports whether owner is the current process of an entry host.
func (c *cell) isLive(owner shard.Instance) bool {
	for i := range c.procs {
		if c.proc(i).entry.Instance() == owner {
			return true
		}
	}
	return false
}

func mustTables(t *testing.T, text string) *config.Tables {
	t.Helper()
	tables, err := config.Parse("tables.ini", []byte(text))
	assert.NilError(t, err)
	return tables
}

// spec returns a job whose tasks each demand the given cores and behave like work.
func spec(route string, tasks int, cores float64, work standin.Work) job.Spec {
	payload, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	return job.Spec{
		Route: route, Tasks: tasks, Demand: resource.Vector{MilliCores: int64(cores * 1000), MemoryMB: 512}, Payload: payload,
	}
}

// checkGuarantees fails the test if a stand-in or a process counted a violation of a
// guarantee.
func (c *cell) checkGuarantees() {
	c.t.Helper()
	stats := c.workers.Stats()
	var violations []string
	expect := func(ok bool, format string, args ...any) {
		if !ok {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	expect(stats.DoubleRuns == 0, "%d tasks ran twice at a time: %v", stats.DoubleRuns, stats.DoubleAttempts)
	expect(stats.DoubleStarts == 0, "%d non-idempotent tasks started twice: %v", stats.DoubleStarts, stats.DoubleAttempts)
	for name, m := range c.minions {
		s := m.Stats()
		expect(s.RefusedSlots == 0, "%s rejected %d requests because its slots were occupied", name, s.RefusedSlots)
		expect(s.RepeatedRequests == 0, "%s received %d requests repeatedly", name, s.RepeatedRequests)
	}
	for _, p := range append(append([]*process{}, c.procs...), c.retired...) {
		for _, count := range p.entry.Invariants() {
			expect(count.Broken == 0, "invariant %s violated %d times in %s: %s", count.Name, count.Broken, p.node.address, count.Last)
		}
	}
	assert.Check(c.t, len(violations) == 0, strings.Join(violations, "\n"))
}

// logBuffer collects the logs of all processes of a cell.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// save writes the logs to a temporary file and returns its name.
func (b *logBuffer) save(t *testing.T) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	file, err := os.CreateTemp("", "proof-*.log")
	assert.NilError(t, err)
	_, err = file.Write(b.buf.Bytes())
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	return file.Name()
}

func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

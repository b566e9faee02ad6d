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

const (
	storeAddress   = "store"
	hostsAddress   = "host-list"
	workersAddress = "workers"
	minionsTarget  = "minions"
)

var placeNames = []string{"boyolali", "klaten", "salatiga"}

// process is one entry process of a cell.
type process struct {
	node  *node
	entry *entry.Entry
	done  chan struct{}
}

// cell is a whole cell in virtual time.
type cell struct {
	t        *testing.T
	net      *network
	store    *standin.Store
	hosts    *standin.HostList
	workers  *standin.Workers
	minions  map[string]*standin.Minion
	rows     []hostlist.Host
	mu       sync.Mutex
	procs    []*process
	retired  []*process
	stop     context.CancelFunc
	logs     *logBuffer
	settings func(i int) settings.Settings
}

// options sizes a cell.
type options struct {
	entries      int
	racks        int
	perRack      int
	minions      int // in each place
	capacity     resource.Vector
	ignoreEpochs bool
	seed         uint64
	hostLag      time.Duration
	taskLease    time.Duration
}

func smallCell(seed uint64) options {
	return options{
		entries: 4, racks: 3, perRack: 3, minions: 2, seed: seed,
		capacity: resource.Vector{MilliCores: 8000, MemoryMB: 16384},
		hostLag:  time.Second, taskLease: 10 * time.Second,
	}
}

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
		place := placeNames[r%len(placeNames)]
		for w := range opts.perRack {
			name := fmt.Sprintf("r%d-w%d", r, w)
			c.workers.Add(name, opts.capacity)
			c.rows = append(c.rows, hostlist.Host{
				Name: name, Kind: hostlist.KindWorker, Address: workersAddress, Place: place,
				Rack: fmt.Sprintf("r%d", r), State: "live", Capacity: opts.capacity,
			})
		}
	}
	for p := range min(opts.minions, 1) * len(placeNames) {
		for m := range opts.minions {
			c.addMinion(placeNames[p], fmt.Sprintf("%s-m%d", placeNames[p], m))
		}
	}
	for i := range opts.entries {
		c.rows = append(c.rows, hostlist.Host{
			Name: fmt.Sprintf("e%d", i), Kind: hostlist.KindEntry, Place: placeNames[i%len(placeNames)], State: "live",
		})
	}
	c.hosts = standin.NewHostList(c.rows, opts.hostLag)
	c.net.serve(hostsAddress, c.hosts.Routes)
	c.settings = func(i int) settings.Settings { return c.entrySettings(i, opts) }
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	go c.workers.Run(ctx)
	c.procs = make([]*process, opts.entries)
	for i := range opts.entries {
		c.boot(i)
	}
	return c
}

func (c *cell) addMinion(place, name string) {
	const slots, connections = 8, 64
	m := standin.NewMinion(name, slots, connections)
	c.minions[name] = m
	c.net.serve("minion-"+name, m.Routes)
	c.rows = append(c.rows, hostlist.Host{
		Name: name, Kind: hostlist.KindMinion, Address: "minion-" + name, Place: place,
		Service: "hay-auction", Slots: slots, Connections: connections, State: "live",
	})
}

func peerAddress(i int) string { return fmt.Sprintf("peer-%d", i) }

func (c *cell) entrySettings(i int, opts options) settings.Settings {
	set := settings.Settings{
		Entry:    settings.Entry{Name: fmt.Sprintf("e%d", i), Place: placeNames[i%len(placeNames)], PeerAddress: peerAddress(i)},
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

// boot starts the process of host i, in place of one that has ended.
func (c *cell) boot(i int) {
	p := &process{node: &node{net: c.net, address: peerAddress(i)}, done: make(chan struct{})}
	p.entry = entry.New(c.settings(i), zerolog.New(c.logs).With().Timestamp().Logger())
	p.entry.Network = entry.Network{
		Listen: p.node.listen, Dial: p.node.dial, Gate: p.node.gate,
		Store:    p.node.do(storeAddress),   //nolint:bodyclose // the caller closes it
		HostList: p.node.do(hostsAddress),   //nolint:bodyclose // the caller closes it
		Worker:   p.node.do(workersAddress), //nolint:bodyclose // the caller closes it
		Minion:   p.node.do(minionsTarget),  //nolint:bodyclose // the caller closes it
	}
	go func() {
		defer close(p.done)
		_ = p.entry.Run(context.Background())
	}()
	// Nobody may call the process before it runs.
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.procs[i]; old != nil {
		c.retired = append(c.retired, old)
	}
	c.procs[i] = p
}

func (c *cell) proc(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.procs[i]
}

// kill ends the process of host i as a crash would.
func (c *cell) kill(i int) {
	p := c.proc(i)
	p.node.kill()
	p.entry.Abort()
	<-p.done
}

// close ends the whole cell.
func (c *cell) close() {
	c.net.healAll()
	for i := range c.procs {
		c.kill(i)
	}
	c.stop()
	// Calls under way end by their time-outs.
	time.Sleep(time.Minute)
}

// eventually waits in virtual time until fn returns nil.
func (c *cell) eventually(limit time.Duration, fn func() error) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := fn()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Errorf("not within %s: %v", limit, err)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// configure puts tables in force everywhere.
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
	c.settle()
}

// settle waits until every shard has a live owner in every process's view.
func (c *cell) settle() {
	c.t.Helper()
	c.eventually(30*time.Second, func() error {
		for i := range c.procs {
			dump, err := c.proc(i).entry.Dump(context.Background())
			if err != nil {
				return err
			}
			if len(dump.Status.Shards) == 0 {
				return fmt.Errorf("e%d knows no shards", i)
			}
			for _, sh := range dump.Status.Shards {
				if !c.isLive(sh.Owner) {
					return fmt.Errorf("e%d sees shard %s owned by %q", i, sh.Shard, sh.Owner)
				}
			}
		}
		return nil
	})
}

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

func spec(route string, tasks int, cores float64, work standin.Work) job.Spec {
	payload, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	return job.Spec{
		Route: route, Tasks: tasks, Demand: resource.Vector{MilliCores: int64(cores * 1000), MemoryMB: 512}, Payload: payload,
	}
}

// check fails the test if a stand-in or a process counted a broken promise.
func (c *cell) check() {
	c.t.Helper()
	stats := c.workers.Stats()
	var broken []string
	note := func(ok bool, format string, args ...any) {
		if !ok {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	note(stats.DoubleRuns == 0, "%d tasks ran in two places: %v", stats.DoubleRuns, stats.DoubleAttempts)
	note(stats.DoubleStarts == 0, "%d non-idempotent tasks started twice: %v", stats.DoubleStarts, stats.DoubleAttempts)
	for name, m := range c.minions {
		s := m.Stats()
		note(s.RefusedSlots == 0, "%s refused %d requests above its slots", name, s.RefusedSlots)
		note(s.RepeatedRequests == 0, "%s got %d requests again", name, s.RepeatedRequests)
	}
	for _, p := range append(append([]*process{}, c.procs...), c.retired...) {
		for _, count := range p.entry.Invariants() {
			note(count.Broken == 0, "invariant %s broken %d times in %s: %s", count.Name, count.Broken, p.node.address, count.Last)
		}
	}
	assert.Check(c.t, len(broken) == 0, strings.Join(broken, "\n"))
}

// logBuffer keeps the logs of all processes of a run.
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

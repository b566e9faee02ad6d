// Package standin contains small stand-ins for the parts of the platform: the store,
// the host list, the workers and the minions. They enforce the same limits as the
// real ones and count the calls that violate a limit.
//
// # Usage
//
//	cell, err := standin.LoadCell("cell.ini")
//	running, err := cell.Start(ctx)
//	defer running.Stop()
package standin

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/httpserve"
	"turmericspread.org/turmericspread/internal/inifile"
	"turmericspread.org/turmericspread/internal/resource"
)

// Error is the class of all errors of this package.
var Error = errs.Class("stand-in")

// EntryHost is a host of a cell that accepts calls from clients. Place is its data
// centre.
type EntryHost struct {
	Name        string
	Place       string
	HTTPAddress string
	PeerAddress string
}

// Cell describes a cell that consists of stand-ins.
type Cell struct {
	StoreAddress    string
	HostListAddress string
	WorkersAddress  string
	MinionsAddress  string        // of the first minion; the others use the following ports
	Lag             time.Duration // of changes to the host list
	IgnoreEpochs    bool          // see Workers.IgnoreEpochs
	Entries         []EntryHost
	Hosts           []hostlist.Host
}

// LoadCell reads a cell from an INI file.
func LoadCell(name string) (cell *Cell, err error) {
	defer Error.WrapP(&err)
	file, err := inifile.Load(name)
	if err != nil {
		return nil, err
	}
	return decodeCell(file)
}

// ParseCell reads a cell from data in the INI format. The name appears in errors.
func ParseCell(name string, data []byte) (cell *Cell, err error) {
	defer Error.WrapP(&err)
	file, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	return decodeCell(file)
}

// decodeCell reads the sections of a cell file: the platform, the entry hosts, the
// racks of workers and the groups of minions.
func decodeCell(file *inifile.File) (cell *Cell, err error) {
	const defaultLag = time.Second
	platform := file.Section("platform")
	cell = &Cell{
		StoreAddress:    platform.Address("store", ""),
		HostListAddress: platform.Address("host-list", ""),
		WorkersAddress:  platform.Address("workers", ""),
		MinionsAddress:  platform.Address("minions", ""),
		Lag:             platform.Duration("lag", defaultLag),
		IgnoreEpochs:    platform.Bool("weak-workers", false),
	}
	for _, name := range file.Names("entry") {
		sec := file.Section("entry " + name)
		cell.Entries = append(cell.Entries, EntryHost{
			Name: name, Place: sec.Name("place", ""),
			HTTPAddress: sec.Address("http-address", ""), PeerAddress: sec.Address("peer-address", ""),
		})
	}
	for _, name := range file.Names("rack") {
		cell.decodeRack(name, file.Section("rack "+name))
	}
	for _, name := range file.Names("minions") {
		if err := cell.decodeMinions(name, file.Section("minions "+name)); err != nil {
			return nil, err
		}
	}
	cell.AssignAddresses()
	return cell, file.Check()
}

// decodeRack appends the workers of a rack, which all have the same capacity.
func (c *Cell) decodeRack(rack string, sec *inifile.Section) {
	const maxWorkers, mbPerGB = 1000, 1024
	n := sec.Int("workers", 1, 1, maxWorkers)
	capacity := resource.Vector{
		MilliCores:   sec.Int("cores", 1, 1, 1<<20) * 1000,
		MemoryMB:     sec.Int("memory-gb", 1, 1, 1<<20) * mbPerGB,
		Accelerators: sec.Int("accelerators", 0, 0, 1<<10),
	}
	place := sec.Name("place", "")
	for i := range n {
		c.Hosts = append(c.Hosts, hostlist.Host{
			Name: fmt.Sprintf("%s-w%d", rack, i+1), Kind: hostlist.KindWorker, Address: c.WorkersAddress,
			Place: place, Rack: rack, State: "live", Capacity: capacity,
		})
	}
}

// decodeMinions appends the minions of a group, which serve the same service.
func (c *Cell) decodeMinions(name string, sec *inifile.Section) (err error) {
	const maxMinions = 1000
	n := sec.Int("count", 1, 1, maxMinions)
	service := sec.Name("service", "")
	place := sec.Name("place", "")
	slots := int(sec.Int("slots", 8, 1, 1<<10))
	connections := int(sec.Int("connections", 64, 1, 1<<16))
	for i := range n {
		c.Hosts = append(c.Hosts, hostlist.Host{
			Name: fmt.Sprintf("%s-m%d", name, i+1), Kind: hostlist.KindMinion,
			Place: place, State: "live", Service: service, Slots: slots, Connections: connections,
		})
	}
	return nil
}

// AssignAddresses sets the addresses of workers and minions to those of the
// stand-ins, and appends entry hosts that the host list lacks. Call it again after
// a change of an address.
func (c *Cell) AssignAddresses() {
	var entries []hostlist.Host
	nextMinion, _ := netip.ParseAddrPort(c.MinionsAddress)
	isListed := map[string]bool{}
	for i := range c.Hosts {
		host := &c.Hosts[i]
		isListed[host.Name] = true
		switch host.Kind {
		case hostlist.KindWorker:
			host.Address = c.WorkersAddress
		case hostlist.KindMinion:
			host.Address = nextMinion.String()
			nextMinion = netip.AddrPortFrom(nextMinion.Addr(), nextMinion.Port()+1)
		}
	}
	for _, entry := range c.Entries {
		if !isListed[entry.Name] {
			entries = append(entries, hostlist.Host{
				Name: entry.Name, Kind: hostlist.KindEntry, Address: entry.PeerAddress, Place: entry.Place, State: "live",
			})
		}
	}
	c.Hosts = append(c.Hosts, entries...)
}

// Running holds the started stand-ins of a cell. Stand-ins that are not started are
// nil.
type Running struct {
	Store    *Store
	HostList *HostList
	Workers  *Workers
	Minions  []*Minion

	servers []*server.Hertz
	cancel  context.CancelFunc
}

// Start starts all stand-ins of the cell in this process.
func (c *Cell) Start(ctx context.Context) (r *Running, err error) {
	defer Error.WrapP(&err)
	r = &Running{}
	ctx, r.cancel = context.WithCancel(ctx)
	if err := c.StartStore(r); err != nil {
		return nil, err
	}
	if err := c.StartHostList(r); err != nil {
		return nil, err
	}
	if err := c.StartWorkers(ctx, r); err != nil {
		return nil, err
	}
	return r, c.StartMinions(r)
}

// StartStore starts the stand-in for the store and adds it to r.
func (c *Cell) StartStore(r *Running) (err error) {
	r.Store = NewStore()
	return r.serve(c.StoreAddress, nil, r.Store.Routes)
}

// StartHostList starts the stand-in for the host list and adds it to r.
func (c *Cell) StartHostList(r *Running) (err error) {
	r.HostList = NewHostList(c.Hosts, c.Lag)
	return r.serve(c.HostListAddress, nil, r.HostList.Routes)
}

// StartWorkers starts the stand-in for all workers and adds it to r. The goroutine
// that finishes tasks and expires leases runs until ctx ends.
func (c *Cell) StartWorkers(ctx context.Context, r *Running) (err error) {
	r.Workers = NewWorkers()
	r.Workers.IgnoreEpochs = c.IgnoreEpochs
	for _, host := range c.Hosts {
		if host.Kind == hostlist.KindWorker {
			r.Workers.Add(host.Name, host.Capacity)
		}
	}
	go r.Workers.Run(ctx)
	return r.serve(c.WorkersAddress, nil, r.Workers.Routes)
}

// StartMinions starts one stand-in for each minion and adds them to r.
func (c *Cell) StartMinions(r *Running) (err error) {
	for _, host := range c.Hosts {
		if host.Kind != hostlist.KindMinion {
			continue
		}
		m := NewMinion(host.Name, host.Slots, host.Connections)
		r.Minions = append(r.Minions, m)
		if err := r.serve(host.Address, m.Listener, m.Routes); err != nil {
			return err
		}
	}
	return nil
}

// maxBody bounds a request body in bytes. It exceeds the largest body that the cell
// forwards to a minion.
const maxBody = 65 << 20

// serve starts a server with the given routes on address. If wrap is not nil, it
// wraps the listener.
func (r *Running) serve(address string, wrap func(net.Listener) net.Listener, routes func(*server.Hertz)) (err error) {
	defer Error.WrapP(&err)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if wrap != nil {
		listener = wrap(listener)
	}
	srv := httpserve.New(listener, httpserve.Options{MaxBody: maxBody})
	routes(srv)
	r.servers = append(r.servers, srv)
	go func() { _ = srv.Run() }()
	return nil
}

// Stop stops all stand-ins that were started.
func (r *Running) Stop() {
	if r.cancel != nil {
		r.cancel()
	}
	for _, srv := range r.servers {
		_ = httpserve.Stop(srv, 100*time.Millisecond)
	}
}

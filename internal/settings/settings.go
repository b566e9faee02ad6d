// Package settings reads the settings files of entry processes.
//
// # Usage
//
//	set, err := settings.Load("entry.ini")
//	if err != nil {
//		// err is one line that names the file, section, key, value and allowed values
//	}
//	fmt.Print(set)
package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/inifile"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Settings holds the settings of an entry process.
type Settings struct {
	Entry    Entry
	Store    Store
	HostList HostList
	Operator Operator
	Timing   Timing
	Limits   Limits
	Log      Log
}

// Entry is the section [entry]: the identity and addresses of the process.
type Entry struct {
	Name        string   // name of the entry host, unique in the cell
	Place       string   // data centre of the host
	HTTPAddress string   // serves callers and operators
	PeerAddress string   // serves other entry processes
	Peers       []string // addresses of peers to query while the store is unavailable
	MemoryMB    int64    // memory of the machine, or 0 if it is unknown
}

// Store is the section [store]: the platform's key-value service.
type Store struct {
	Address string
	Timeout time.Duration // timeout of one call
}

// HostList is the section [host-list]: the platform's list of hosts.
type HostList struct {
	Address string
	Poll    time.Duration // interval between two reads of the list
	Lag     time.Duration // longest time until the list shows a new host
}

// Operator is the section [operator]: the credentials of the operator.
type Operator struct {
	KeyHash string // SHA-256 of the operator key in hexadecimal
}

// Timing is the section [timing]: leases, heartbeats and timeouts.
type Timing struct {
	Lease        time.Duration // lease of owned shards, from each confirmation of ownership
	ClockDrift   time.Duration // safety margin for clocks that run at different rates
	Heartbeat    time.Duration // interval between two heartbeats to a peer
	SuspectAfter time.Duration // time without a response after which a peer is suspected to have failed
	TaskLease    time.Duration // lease of a running task
	Stop         time.Duration // timeout of a graceful shutdown
}

// Limits is the section [limits]: limits on requests of callers.
type Limits struct {
	BodyBytes   int // largest request body in bytes
	Connections int // largest number of open caller connections
}

// Log is the section [log]: level and format of the log.
type Log struct {
	Level  string
	Format string
}

// Load reads the settings from the file called name and fills in defaults.
func Load(name string) (set Settings, err error) {
	defer Error.WrapP(&err)
	file, err := inifile.Load(name)
	if err != nil {
		return Settings{}, err
	}
	return decode(file)
}

// Parse reads settings from data; name appears in errors.
func Parse(name string, data []byte) (set Settings, err error) {
	defer Error.WrapP(&err)
	file, err := inifile.Parse(name, data)
	if err != nil {
		return Settings{}, err
	}
	return decode(file)
}

// DefaultHostListLag is the default of the key lag in the section [host-list].
const DefaultHostListLag = 10 * time.Second

// DefaultTiming returns the defaults of the section [timing].
func DefaultTiming() Timing {
	return Timing{
		Lease:        4 * time.Second,
		ClockDrift:   200 * time.Millisecond,
		Heartbeat:    250 * time.Millisecond,
		SuspectAfter: 1500 * time.Millisecond,
		TaskLease:    20 * time.Second,
		Stop:         30 * time.Second,
	}
}

// decode decodes all sections of file. The error names the first invalid value, or the
// first unknown section or key.
func decode(file *inifile.File) (set Settings, err error) {
	const kib, mib = 1 << 10, 1 << 20
	entry := file.Section("entry")
	set.Entry = Entry{
		Name:        entry.Name("name", ""),
		Place:       entry.Name("place", ""),
		HTTPAddress: entry.Address("http-address", ""),
		PeerAddress: entry.Address("peer-address", ""),
		Peers:       entry.Addresses("peers"),
		MemoryMB:    entry.Int("memory-mb", 0, 0, maxMemoryMB),
	}
	store := file.Section("store")
	set.Store = Store{
		Address: store.Address("address", ""),
		Timeout: store.Duration("timeout", time.Second),
	}
	hosts := file.Section("host-list")
	set.HostList = HostList{
		Address: hosts.Address("address", ""),
		Poll:    hosts.Duration("poll", time.Second),
		Lag:     hosts.Duration("lag", DefaultHostListLag),
	}
	operator := file.Section("operator")
	set.Operator.KeyHash = operator.String("key-hash", "")
	if len(set.Operator.KeyHash) != hashLength {
		operator.Fail("key-hash", "64 hexadecimal digits, the SHA-256 of the operator key")
	}
	timing := file.Section("timing")
	def := DefaultTiming()
	set.Timing = Timing{
		Lease:        timing.Duration("right", def.Lease),
		ClockDrift:   timing.Duration("drift", def.ClockDrift),
		Heartbeat:    timing.Duration("heartbeat", def.Heartbeat),
		SuspectAfter: timing.Duration("suspect", def.SuspectAfter),
		TaskLease:    timing.Duration("task-lease", def.TaskLease),
		Stop:         timing.Duration("stop", def.Stop),
	}
	if set.Timing.SuspectAfter < 2*set.Timing.Heartbeat {
		timing.Fail("suspect", "at least twice the heartbeat")
	}
	if set.Timing.TaskLease < 2*set.Timing.Lease {
		timing.Fail("task-lease", "at least twice the right")
	}
	limits := file.Section("limits")
	set.Limits = Limits{
		BodyBytes:   int(limits.Int("body-bytes", mib, kib, 64*mib)),
		Connections: int(limits.Int("connections", 4096, 1, 1_000_000)),
	}
	log := file.Section("log")
	set.Log = Log{
		Level:  log.Choice("level", "info", "debug", "info", "warn", "error"),
		Format: log.Choice("format", "json", "json", "text"),
	}
	return set, file.Check()
}

// maxMemoryMB bounds the memory of a machine in the settings: a petabyte.
const maxMemoryMB = 1 << 30

// hashLength is the length of a SHA-256 hash in hexadecimal digits.
const hashLength = 64

// String returns the effective settings in the format of the file. The hash of the
// operator key is redacted.
func (s Settings) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[entry]\nname = %s\nplace = %s\nhttp-address = %s\npeer-address = %s\npeers = %s\nmemory-mb = %d\n\n",
		s.Entry.Name, s.Entry.Place, s.Entry.HTTPAddress, s.Entry.PeerAddress, strings.Join(s.Entry.Peers, ", "), s.Entry.MemoryMB)
	fmt.Fprintf(&b, "[store]\naddress = %s\ntimeout = %s\n\n", s.Store.Address, s.Store.Timeout)
	fmt.Fprintf(&b, "[host-list]\naddress = %s\npoll = %s\nlag = %s\n\n", s.HostList.Address, s.HostList.Poll, s.HostList.Lag)
	fmt.Fprintf(&b, "[operator]\nkey-hash = (redacted)\n\n")
	fmt.Fprintf(&b, "[timing]\nright = %s\ndrift = %s\nheartbeat = %s\nsuspect = %s\ntask-lease = %s\nstop = %s\n\n",
		s.Timing.Lease, s.Timing.ClockDrift, s.Timing.Heartbeat, s.Timing.SuspectAfter, s.Timing.TaskLease, s.Timing.Stop)
	fmt.Fprintf(&b, "[limits]\nbody-bytes = %d\nconnections = %d\n\n", s.Limits.BodyBytes, s.Limits.Connections)
	fmt.Fprintf(&b, "[log]\nlevel = %s\nformat = %s\n", s.Log.Level, s.Log.Format)
	return b.String()
}

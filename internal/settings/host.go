package settings

import (
	"time"

	"turmericspread.org/turmericspread/internal/inifile"
)

// Host is everything that an entry host with fenced workers learns from its file.
type Host struct {
	Name           string
	Place          string // data centre
	CallerAddress  string // where clients connect
	ReadyAddress   string // where the balancer asks for readiness
	PeerAddress    string // where other hosts connect
	MetricsAddress string
	Seeds          []string
	Power          float64 // processor share of the machine
	MemoryMB       int64
	StoreAddress   string
	AdviserAddress string
	Bounds         HostBounds
	LogLevel       string
}

// HostBounds is the section [bounds]: figures that the users guarantee or demand.
type HostBounds struct {
	Grace     time.Duration // from a planned stop to the kill
	MaxHold   time.Duration // longest lease of what runs on a worker
	Stop      time.Duration // longest time that a stopped run takes
	Retention time.Duration // how long an ended job can be asked for
	FarFactor float64       // slow-down of work away from its data
	// ConfigApply is the time from the acknowledgement of a configuration until
	// it is in force everywhere.
	ConfigApply time.Duration
	// RevokeFailClosed has calls refused while it cannot be told whether their
	// key was withdrawn, also those that change nothing.
	RevokeFailClosed bool
}

// LoadHost reads the settings of an entry host with fenced workers.
func LoadHost(name string) (set Host, err error) {
	defer Error.WrapP(&err)
	file, err := inifile.Load(name)
	if err != nil {
		return Host{}, err
	}
	return decodeHost(file)
}

// ParseHost reads settings from data; name appears in errors.
func ParseHost(name string, data []byte) (set Host, err error) {
	defer Error.WrapP(&err)
	file, err := inifile.Parse(name, data)
	if err != nil {
		return Host{}, err
	}
	return decodeHost(file)
}

func decodeHost(file *inifile.File) (set Host, err error) {
	const mostPower, mostMemoryMB = 1024, 1 << 30
	entry := file.Section("entry")
	set.Name = entry.Name("name", "")
	set.Place = entry.Name("place", "")
	set.Power = entry.Float("power", 1, 0, mostPower)
	set.MemoryMB = entry.Int("memory-mb", 0, 0, mostMemoryMB)
	listen := file.Section("listen")
	set.CallerAddress = listen.Address("callers", "")
	set.ReadyAddress = listen.Address("readiness", "")
	set.PeerAddress = listen.Address("peers", "")
	set.MetricsAddress = listen.Address("metrics", "")
	set.Seeds = file.Section("peers").Addresses("seeds")
	set.StoreAddress = file.Section("store").Address("address", "")
	set.AdviserAddress = file.Section("adviser").String("address", "")
	set.Bounds = decodeHostBounds(file.Section("bounds"))
	set.LogLevel = file.Section("log").Choice("level", "info", "debug", "info", "warn", "error")
	return set, file.Check()
}

func decodeHostBounds(bounds *inifile.Section) HostBounds {
	const mostFactor = 1000
	return HostBounds{
		Grace:       bounds.Duration("grace", 6*time.Second),
		MaxHold:     bounds.Duration("max-hold", 6*time.Second),
		Stop:        bounds.Duration("stop", time.Second),
		Retention:   bounds.Duration("retention", 2*time.Minute),
		FarFactor:   bounds.Float("far-factor", 1, 1, mostFactor),
		ConfigApply: bounds.Duration("config-apply", 2*time.Second),

		RevokeFailClosed: bounds.Bool("revoke-fail-closed", false),
	}
}

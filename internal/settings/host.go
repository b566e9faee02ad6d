package settings

import (
	"time"

	"turmericspread.org/turmericspread/internal/inifile"
)

// Host holds the settings of an entry host whose workers check fencing tokens.
type Host struct {
	Name           string
	Place          string   // data centre
	CallerAddress  string   // serves clients
	ReadyAddress   string   // serves the load balancer's readiness checks
	PeerAddress    string   // serves other entry hosts
	MetricsAddress string   // serves metrics
	Seeds          []string // peer addresses of some other hosts, used while no registered host is known
	Power          float64  // CPU share of the host, to compare hosts with each other
	MemoryMB       int64    // memory of the machine, or 0 if it is unknown
	StoreAddress   string   // address of the platform's metadata store
	AdviserAddress string   // address of the placement adviser
	Cloud          Cloud
	Bounds         HostBounds
	LogLevel       string
}

// Cloud is the section [cloud]: the platform's list of machines and their upkeep.
type Cloud struct {
	Address  string  // empty: there is none
	Rate     float64 // readings of the list that it accepts a second, from all hosts
	DutyRate float64 // orders of upkeep that it accepts a second, from all hosts
	// Duties names what the platform expects of the system. It is not used: an operator's
	// request says what to do.
	Duties string
}

// HostBounds is the section [bounds]: times and factors that the platform guarantees
// or requires.
type HostBounds struct {
	Grace     time.Duration // time between the request to shut down and the kill
	MaxHold   time.Duration // longest lease of the runs on a worker
	Stop      time.Duration // longest time that a run takes to stop
	Retention time.Duration // how long the state of an ended job can be queried
	FarFactor float64       // slowdown factor of tasks that do not run near their data
	// Maintenance is the time from the beginning of a machine's upkeep until its new worker joins.
	Maintenance time.Duration
	// ConfigApply is the longest time from the acknowledgement of a configuration
	// until all hosts apply it.
	ConfigApply time.Duration
	// RevokeFailClosed rejects all calls, also read-only ones, while the host cannot
	// check whether their key was revoked.
	RevokeFailClosed bool
}

// LoadHost reads the settings of an entry host from the file called name and fills in
// defaults.
func LoadHost(name string) (set Host, err error) {
	defer Error.WrapP(&err)
	file, err := inifile.Load(name)
	if err != nil {
		return Host{}, err
	}
	return decodeHost(file)
}

// ParseHost reads the settings of an entry host from data; name appears in errors.
func ParseHost(name string, data []byte) (set Host, err error) {
	defer Error.WrapP(&err)
	file, err := inifile.Parse(name, data)
	if err != nil {
		return Host{}, err
	}
	return decodeHost(file)
}

// decodeHost decodes all sections of file. The error names the first invalid value, or
// the first unknown section or key.
func decodeHost(file *inifile.File) (set Host, err error) {
	const maxPower = 1024
	entry := file.Section("entry")
	set.Name = entry.Name("name", "")
	set.Place = entry.Name("place", "")
	set.Power = entry.Float("power", 1, 0, maxPower)
	set.MemoryMB = entry.Int("memory-mb", 0, 0, maxMemoryMB)
	listen := file.Section("listen")
	set.CallerAddress = listen.Address("callers", "")
	set.ReadyAddress = listen.Address("readiness", "")
	set.PeerAddress = listen.Address("peers", "")
	set.MetricsAddress = listen.Address("metrics", "")
	set.Seeds = file.Section("peers").Addresses("seeds")
	set.StoreAddress = file.Section("store").Address("address", "")
	set.AdviserAddress = file.Section("adviser").String("address", "")
	set.Cloud = decodeCloud(file.Section("cloud"))
	set.Bounds = decodeHostBounds(file.Section("bounds"))
	set.LogLevel = file.Section("log").Choice("level", "info", "debug", "info", "warn", "error")
	return set, file.Check()
}

func decodeHostBounds(bounds *inifile.Section) HostBounds {
	const maxFarFactor = 1000
	return HostBounds{
		Grace:       bounds.Duration("grace", 6*time.Second),
		MaxHold:     bounds.Duration("max-hold", 6*time.Second),
		Stop:        bounds.Duration("stop", time.Second),
		Retention:   bounds.Duration("retention", 2*time.Minute),
		FarFactor:   bounds.Float("far-factor", 1, 1, maxFarFactor),
		ConfigApply: bounds.Duration("config-apply", 2*time.Second),

		Maintenance: seconds(optionalFloat(bounds, "maintenance-s", 2, maxMaintenanceS)),

		RevokeFailClosed: bounds.Bool("revoke-fail-closed", false),
	}
}

const (
	maxMaintenanceS = 3600
	maxCloudRate    = 1e6
)

func decodeCloud(cloud *inifile.Section) Cloud {
	const defaultRate = 60
	return Cloud{
		Address:  cloud.String("address", ""),
		Rate:     optionalFloat(cloud, "rate", defaultRate, maxCloudRate),
		DutyRate: optionalFloat(cloud, "duty-rate", defaultRate, maxCloudRate),
		Duties:   cloud.String("duties", ""),
	}
}

// optionalFloat returns the value of key, or def if it is empty, as where the platform does not
// have the value.
func optionalFloat(section *inifile.Section, key string, def, high float64) float64 {
	if section.String(key, "") == "" {
		return def
	}
	return section.Float(key, def, 0, high)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

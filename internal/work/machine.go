package work

import "time"

// Wave is an operator's request for the upkeep of machines.
type Wave struct {
	Name     string // in the key of the request
	Number   string // in the request, as encoded there; the calls of the wave carry it
	Machines []string
	Within   time.Duration // from the request until the upkeep of the last machine has begun
	Maximum  int           // machines that may be down for it at a time
}

// MachineState is the state of a machine in the platform's list.
type MachineState int

// States of a machine.
const (
	MachineUnknown  MachineState = iota
	MachineUp                    // its worker runs
	MachineInUpkeep              // its upkeep has begun and has not ended
	MachineAway                  // it moves to another pool, or is down for another cause
)

// Machine is one entry of the platform's list of machines.
type Machine struct {
	Name   string
	State  MachineState
	Worker string // ID of its worker
}

// UpkeepRequest orders the upkeep of a machine: everything that runs on it ends, and a new worker
// follows its present one.
type UpkeepRequest struct {
	Machine string
	Wave    string // its Number
	Fence   int64
}

package rack

import (
	"maps"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/shard"
)

// TaskDump describes a task on a worker in a Dump.
type TaskDump struct {
	ID       string          `json:"id"`
	Team     string          `json:"team"`
	State    string          `json:"state"`
	Demand   resource.Vector `json:"want"`
	Usage    resource.Vector `json:"usage"`
	LeaseEnd time.Time       `json:"lease-end,omitzero"`
	Adopted  bool            `json:"adopted,omitempty"`
}

// WorkerDump describes a worker in a Dump.
type WorkerDump struct {
	Name        string          `json:"name"`
	State       string          `json:"state"`
	Leaving     bool            `json:"leaving,omitempty"`
	Quarantined bool            `json:"quarantined,omitempty"`
	Capacity    resource.Vector `json:"capacity"`
	Used        resource.Vector `json:"used"`
	LastAnswer  time.Time       `json:"last-answer"`
	Tasks       []TaskDump      `json:"tasks"`
}

// Dump describes a rack and its workers for operators.
type Dump struct {
	Shard   shard.ID     `json:"shard"`
	Epoch   int64        `json:"epoch"`
	Workers []WorkerDump `json:"workers"`
}

// Dump returns the state of the rack with all workers and tasks.
func (r *Rack) Dump() (d Dump) {
	d = Dump{Shard: r.ID, Epoch: r.Epoch}
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		workerDump := WorkerDump{
			Name: name, State: n.state(), Leaving: n.host.Leaving(), Quarantined: n.health.quarantined,
			Capacity: n.host.Capacity, Used: n.used, LastAnswer: n.lastReply,
		}
		for _, t := range sortedTasks(n) {
			workerDump.Tasks = append(workerDump.Tasks, TaskDump{
				ID: t.spec.ID, Team: t.team, State: string(t.state), Demand: t.spec.Demand,
				Usage: t.usage, LeaseEnd: t.leaseEnd, Adopted: t.adopted,
			})
		}
		d.Workers = append(d.Workers, workerDump)
	}
	return d
}

// OutOfService returns the workers that get no work because they do not respond
// or are quarantined, each with the reason.
func (r *Rack) OutOfService() map[string]string {
	reasons := map[string]string{}
	for name, n := range r.nodes {
		switch {
		case n.state() == nodeAdopting:
			reasons[name] = "not heard since its rack changed owner"
		case n.state() == nodeUnreachable:
			reasons[name] = "does not answer"
		case n.health.quarantined:
			reasons[name] = "quarantined after failing every task"
		}
	}
	return reasons
}

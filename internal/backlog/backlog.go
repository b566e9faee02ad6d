// Package backlog bounds the memory of the jobs that a cell has accepted and keeps: those that
// wait, those that run, and those that have ended and can still be queried. It decides which
// submissions are refused before anything of them is stored.
//
// The owner of the cell keeps a Ledger of all jobs. Each host keeps a Window: it stores small
// amounts of work without asking, and asks the owner beyond that. Let the limit of the cell be L.
// While the owner has reported at most L/4, the n hosts may each have L/4n stored that the owner
// has not counted yet. Each confirmation by the owner carries the sum at that time, so that a
// host learns of the end of the fast path before it can store more than its window again. All
// other submissions are granted by the owner, which keeps the windows of all hosts free. The sum
// therefore stays below L, although hosts know it only with a delay. Reservations are not stored:
// after a change of the owner the sum may exceed L by what was granted and is not stored yet. A
// smaller host that joins lowers L below what was accepted before.
//
// # Usage
//
//	var ledger backlog.Ledger // of the owner
//	granted := ledger.Reserve(backlog.Request{Job: id, Account: account, Bytes: n}, limit, now)
//	ledger.Add(id, account, n)
//
//	var window backlog.Window // of each host
//	if !window.Take(n, limit, hosts) {
//		// ask the owner
//	}
//	defer window.Return(n)
package backlog

import (
	"time"

	"turmericspread.org/turmericspread/internal/work"
)

// Account is a client account, or a queue that needs no key. The jobs of an account are counted
// together.
type Account struct{ Team, Queue string }

// AccountOf returns the account of a job.
func AccountOf(j *work.Job) Account {
	if j.Team != "" {
		return Account{Team: j.Team}
	}
	return Account{Queue: j.Queue}
}

const (
	// memoryFraction is the part of a host's memory that jobs may take. The connections of
	// callers and of peers may take 7/12 (connlimit.Derive), the program and garbage the rest.
	memoryFraction = 4
	// minLimit is enough for a job of the largest size beside the windows of the hosts.
	minLimit = 30 << 20
	// defaultMemoryMB is assumed if the memory of no host is known, as connlimit does.
	defaultMemoryMB = 512
	// windowFraction is the part of the limit that all hosts together may store without asking,
	// and up to which the owner need not be asked.
	windowFraction = 4
)

// Limit returns the bytes that the jobs of a cell may take if its smallest host has the given
// memory in MB (0: unknown).
func Limit(memoryMB int64) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return max(memoryMB<<20/memoryFraction, minLimit)
}

// Report is what the owner of a cell tells the hosts. The zero value is that of owners that do
// not count.
type Report struct {
	Used   int64 // bytes of all jobs
	Limit  int64
	Epoch  int64 // of the owner
	Serial int64 // rises with each report of an epoch
}

// supersedes reports whether r was made after other.
func (r Report) supersedes(other Report) bool {
	return r.Limit == 0 || r.Epoch > other.Epoch || r.Epoch == other.Epoch && r.Serial > other.Serial
}

// Request asks for room for a job that is about to be stored.
type Request struct {
	Job     string // ID
	Account Account
	Bytes   int64
	// Hold is how long the room stays reserved unless the job is accepted before.
	Hold time.Duration
}

package backlog

import (
	"maps"
	"time"
)

// Ledger counts the jobs of a cell. The zero value is ready to use. It is not safe for
// concurrent use.
type Ledger struct {
	used         map[Account]int64 // accepted jobs and reservations
	accepted     int64             // bytes of accepted jobs
	reserved     int64
	reservations map[string]reservation // by job
	nextExpiry   time.Duration          // when reservations are next checked
	serial       int64
}

type reservation struct {
	account Account
	bytes   int64
	until   time.Duration
}

// expiryInterval is the interval between two checks for reservations that have expired.
const expiryInterval = time.Second

// Add counts an accepted job, and ends its reservation.
func (l *Ledger) Add(job string, account Account, bytes int64) {
	l.release(job)
	l.accepted += bytes
	l.count(account, bytes)
}

// Remove ends the counting of bytes of accepted jobs.
func (l *Ledger) Remove(account Account, bytes int64) {
	l.accepted -= bytes
	l.count(account, -bytes)
}

// Used returns the bytes of all accepted jobs and those reserved for others.
func (l *Ledger) Used() (accepted, reserved int64) { return l.accepted, l.reserved }

// Report returns the present state for the hosts.
func (l *Ledger) Report(limit, epoch int64) Report {
	l.serial++
	return Report{Used: l.accepted + l.reserved, Limit: limit, Epoch: epoch, Serial: l.serial}
}

// Reserve reserves room for a job, and reports whether there is any. It handles the load of
// accounts that submit more than is done: an account may take as much as it leaves free, so that
// one of them gets half, two get a third each, and there is always room for a further one. An
// account that has nothing may take all that is free, because a job of the largest size must be
// served too.
func (l *Ledger) Reserve(r Request, limit int64, now time.Duration) (granted bool) {
	l.expire(now)
	l.release(r.Job) // the request is repeated
	free := limit - limit/windowFraction - l.accepted - l.reserved - r.Bytes
	if free < 0 || l.used[r.Account] > 0 && l.used[r.Account]+r.Bytes > free {
		return false
	}
	if l.reservations == nil {
		l.reservations = map[string]reservation{}
	}
	l.reservations[r.Job] = reservation{r.Account, r.Bytes, now + r.Hold}
	l.reserved += r.Bytes
	l.count(r.Account, r.Bytes)
	return true
}

// Expects reports whether hosts that observe the limit may have stored a job that the ledger does
// not count yet: its room is reserved, or it fits into their windows. It handles the load of
// strangers that tell the owner of jobs which are not stored.
func (l *Ledger) Expects(job string, bytes, limit int64) bool {
	_, reserved := l.reservations[job]
	return reserved || l.accepted+bytes <= 2*limit/windowFraction
}

// release ends the reservation of a job if there is one.
func (l *Ledger) release(job string) {
	r, ok := l.reservations[job]
	if !ok {
		return
	}
	delete(l.reservations, job)
	l.reserved -= r.bytes
	l.count(r.account, -r.bytes)
}

// expire ends the reservations of jobs that were not accepted in time.
func (l *Ledger) expire(now time.Duration) {
	if now < l.nextExpiry {
		return
	}
	l.nextExpiry = now + expiryInterval
	for job, r := range maps.Clone(l.reservations) {
		if r.until <= now {
			l.release(job)
		}
	}
}

func (l *Ledger) count(account Account, bytes int64) {
	if l.used == nil {
		l.used = map[Account]int64{}
	}
	if l.used[account] += bytes; l.used[account] == 0 {
		delete(l.used, account)
	}
}

package backlog

import "sync"

// Window counts what one host has stored and the owner of the cell has not confirmed yet. The
// zero value is ready to use. It is safe for concurrent use.
type Window struct {
	mu     sync.Mutex
	open   int64 // bytes that are not confirmed
	known  bool  // the owner has reported
	report Report
}

// Take reports whether a job may be stored without asking the owner. If so, the job counts until
// Return. Limit is that of the cell as this host knows it, for use until the owner has reported,
// and hosts the number of hosts of the cell. It handles the load of hosts that accept work while
// the cell has no owner, or faster than they learn of the work of others.
func (w *Window) Take(bytes, limit int64, hosts int) (ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var used int64
	if w.known {
		used, limit = w.report.Used, w.report.Limit
	}
	if limit > 0 && (used > limit/windowFraction || w.open+bytes > limit/windowFraction/int64(max(hosts, 1))) {
		return false
	}
	w.open += bytes
	return true
}

// Return ends the counting of a job that the owner has confirmed, or that was not stored.
func (w *Window) Return(bytes int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open -= bytes
}

// Observe records a report of the owner.
func (w *Window) Observe(r Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.known || r.supersedes(w.report) {
		w.known, w.report = true, r
	}
}

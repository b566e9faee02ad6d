package backlog

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

const kib, mib = 1 << 10, 1 << 20

func TestAccountOf(t *testing.T) {
	assert.Equal(t, AccountOf(&work.Job{Team: "team", Queue: "a"}), AccountOf(&work.Job{Team: "team", Queue: "b"}))
	assert.Assert(t, AccountOf(&work.Job{Queue: "team"}) != AccountOf(&work.Job{Team: "team", Queue: "team"}))
	assert.Assert(t, AccountOf(&work.Job{Queue: "a"}) != AccountOf(&work.Job{Queue: "b"}))
}

// TestSmallAccountBesideFloods guards against accounts that leave no room for a small one.
func TestSmallAccountBesideFloods(t *testing.T) {
	const limit = 32 * mib
	for _, floods := range []int{1, 2, 9, 72} {
		for _, size := range []int64{4 * kib, 100 * kib} {
			t.Run(fmt.Sprint(floods, " floods of ", size), func(t *testing.T) {
				var l Ledger
				granted := 0
				for i, refused := 0, 0; refused < floods; i++ {
					r := Request{Job: fmt.Sprint(i), Account: Account{Team: fmt.Sprint(i % floods)}, Bytes: size, Hold: time.Minute}
					if !l.Reserve(r, limit, 0) {
						refused++
						continue
					}
					refused = 0
					granted++
					l.Add(r.Job, r.Account, r.Bytes)
				}
				accepted, reserved := l.Used()
				assert.Equal(t, accepted, int64(granted)*size)
				assert.Equal(t, reserved, int64(0))
				assert.Assert(t, accepted <= limit-limit/windowFraction, "%d bytes accepted", accepted)
				assert.Assert(t, accepted >= limit/3, "%d bytes accepted, room is wasted", accepted)
				assert.Assert(t, l.Reserve(Request{Job: "small", Account: Account{Team: "small"}, Bytes: 4 * kib}, limit, 0))
			})
		}
	}
}

func TestLargestJobAlone(t *testing.T) {
	const limit, largest = minLimit, 21 * mib
	var l Ledger
	r := Request{Job: "large", Account: Account{Team: "team"}, Bytes: largest, Hold: time.Second}
	assert.Assert(t, l.Reserve(r, limit, 0))
	assert.Assert(t, l.Reserve(r, limit, 0), "the request is repeated")
	assert.Assert(t, !l.Reserve(Request{Job: "second", Account: r.Account, Bytes: largest}, limit, 0))
	assert.Assert(t, !l.Reserve(Request{Job: "third", Account: Account{Team: "other"}, Bytes: largest}, limit, 0))
	l.Add(r.Job, r.Account, r.Bytes)
	l.Remove(r.Account, r.Bytes)
	assert.Assert(t, l.Reserve(Request{Job: "second", Account: r.Account, Bytes: largest}, limit, 0))
}

func TestExpects(t *testing.T) {
	const limit = 32 * mib
	var l Ledger
	for i := 0; l.Expects(fmt.Sprint(i), mib, limit); i++ {
		l.Add(fmt.Sprint(i), Account{Queue: "of strangers"}, mib)
	}
	accepted, _ := l.Used()
	assert.Equal(t, accepted, int64(limit/2))
	r := Request{Job: "small", Account: Account{Team: "small"}, Bytes: mib, Hold: time.Minute}
	assert.Assert(t, l.Reserve(r, limit, 0))
	assert.Assert(t, l.Expects(r.Job, r.Bytes, limit))
}

func TestReservationsExpire(t *testing.T) {
	const limit = 32 * mib
	var l Ledger
	r := Request{Job: "never stored", Account: Account{Team: "team"}, Bytes: 20 * mib, Hold: 3 * time.Second}
	assert.Assert(t, l.Reserve(r, limit, time.Hour))
	other := Request{Job: "other", Account: Account{Team: "other"}, Bytes: 20 * mib, Hold: time.Second}
	assert.Assert(t, !l.Reserve(other, limit, time.Hour+2*time.Second))
	assert.Assert(t, l.Reserve(other, limit, time.Hour+5*time.Second))
	assert.Equal(t, l.Report(limit, 1).Used, other.Bytes)
}

// replay is a cell whose hosts accept floods of jobs: stored jobs reach the owner late, and so do
// its reports the hosts.
type replay struct {
	ledger  Ledger
	windows []Window
	stored  []Request // not counted by the owner yet
	from    []int     // hosts of stored; -1: granted by the owner
	reports []func()  // on their way to the hosts
	total   int64     // bytes of all jobs in the store
}

// confirm lets the owner count a stored job, and sends its report.
func (c *replay) confirm(i int, limit, epoch int64) {
	r, host := c.stored[i], c.from[i]
	c.stored = append(c.stored[:i], c.stored[i+1:]...)
	c.from = append(c.from[:i], c.from[i+1:]...)
	c.ledger.Add(r.Job, r.Account, r.Bytes)
	report := c.ledger.Report(limit, epoch)
	if host >= 0 {
		c.reports = append(c.reports, func() {
			c.windows[host].Observe(report)
			c.windows[host].Return(r.Bytes)
		})
	}
}

// TestFloodThroughManyHosts guards against hosts that together store more than the limit, because
// they learn late of what the others have stored, or because the cell has no owner for a while.
func TestFloodThroughManyHosts(t *testing.T) {
	const limit, steps = 32 * mib, 40000
	for _, hosts := range []int{1, 3, 40, 300} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(hosts)))
			c := &replay{windows: make([]Window, hosts)}
			epoch, owned := int64(1), true
			for step := range steps {
				switch p := rng.IntN(100); {
				case p < 70:
					host := rng.IntN(hosts)
					r := Request{Job: fmt.Sprint(step), Account: Account{Team: fmt.Sprint(rng.IntN(3))}, Bytes: rng.Int64N(60 * kib), Hold: time.Hour}
					switch {
					case c.windows[host].Take(r.Bytes, limit, hosts):
					case owned && c.ledger.Reserve(r, limit, time.Duration(step)):
						host = -1
					default:
						continue
					}
					c.stored, c.from = append(c.stored, r), append(c.from, host)
					c.total += r.Bytes
				case p < 84 && owned && len(c.stored) > 0:
					c.confirm(rng.IntN(len(c.stored)), limit, epoch)
				case p < 98 && len(c.reports) > 0:
					i := rng.IntN(len(c.reports)) // they may overtake each other
					c.reports[i]()
					c.reports = append(c.reports[:i], c.reports[i+1:]...)
				case rng.IntN(20) == 0:
					// The next owner counts what is stored. It does not know reservations, but all
					// that they were for is stored in this replay.
					if owned = !owned; owned {
						epoch++
						c.takeOver(limit, epoch)
					}
				}
				assert.Assert(t, c.total <= limit, "step %d: %d bytes stored", step, c.total)
			}
			assert.Assert(t, c.total > limit/4, "only %d bytes stored", c.total)
		})
	}
}

// takeOver replaces the owner by one that has counted all that is stored.
func (c *replay) takeOver(limit, epoch int64) {
	c.ledger = Ledger{}
	c.ledger.Add("", Account{Team: "restored"}, c.total)
	for i := len(c.stored) - 1; i >= 0; i-- {
		host, bytes := c.from[i], c.stored[i].Bytes
		if host >= 0 {
			report := c.ledger.Report(limit, epoch)
			c.reports = append(c.reports, func() {
				c.windows[host].Observe(report)
				c.windows[host].Return(bytes)
			})
		}
	}
	c.stored, c.from = nil, nil
}

func TestWindowOfOtherBuilds(t *testing.T) {
	var w Window
	assert.Assert(t, !w.Take(9*mib, 32*mib, 1), "no owner has reported: the window of this host counts")
	w.Observe(Report{})
	assert.Assert(t, w.Take(100*mib, 32*mib, 1), "the owner does not count")
	w.Observe(Report{Used: 0, Limit: 32 * mib, Epoch: 1, Serial: 1})
	assert.Assert(t, !w.Take(kib, 32*mib, 1))
	w.Return(100 * mib)
	assert.Assert(t, w.Take(kib, 32*mib, 1))
	w.Observe(Report{Used: 9 * mib, Limit: 32 * mib, Epoch: 1, Serial: 3})
	w.Observe(Report{Used: 0, Limit: 32 * mib, Epoch: 1, Serial: 2})
	assert.Assert(t, !w.Take(kib, 32*mib, 1), "an older report does not count")
	w.Observe(Report{Used: 0, Limit: 32 * mib, Epoch: 2, Serial: 1})
	assert.Assert(t, w.Take(kib, 32*mib, 1))
}

package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Waiting is a job, or one occurrence of a job, with steps that wait for capacity.
type Waiting struct {
	Rank   Rank          // with its lateness; Plan sets Delayed and Hopeless
	Expiry time.Duration // when the result becomes useless to the caller
	// Path is how long the longest chain of work that is left usually takes, with its slowest
	// tasks. MinPath is how long it takes if all tasks are as fast as the mean.
	Path, MinPath time.Duration
	Work          float64 // core-seconds of the tasks that have not been started
	Value         float64 // see JobValue
	Team          int     // index of the team's load
	Own           float64 // cores that its running tasks use

	usage  float64 // of the team's other jobs in relation to its weight
	worth  float64 // what the caller gains if it gets its capacity now
	inTime bool    // it can be in time
	probe  int     // 1 plus the index of the probe of a forecast; 0: none
}

// Capacity is processor time that is free or becomes free.
type Capacity struct {
	Free     float64       // cores
	Releases []CoreRelease // in order of time
}

// CoreRelease is a number of cores that become free at a time.
type CoreRelease struct {
	At    time.Duration
	Cores float64
}

// TeamLoad is what a team uses.
type TeamLoad struct {
	Weight float64
	Used   float64   // cores
	Limit  *Capacity // what is left of the team's maximum; nil without one
}

// Expected is work that is expected to be submitted soon.
type Expected struct {
	Priority int
	Density  float64 // value for a core-second of its work
	Cores    float64 // core-seconds a second
}

// JobValue returns what a job of the given work is worth to its caller if it is in time,
// in relation to a job of the mean work of its queue. The value grows with the work, but
// less than proportionally: a caller waits for one result, whatever it took.
func JobValue(work, mean float64) (value float64) {
	if mean <= 0 {
		return 1
	}
	return min(0.3+0.7*work/mean, 4)
}

// Plan marks the work that is to be delayed because the capacity does not suffice for
// all of it, so that Compare puts it last in its priority. It returns the number of jobs
// marked as Delayed. Without a shortage nothing is marked, and the order is that of the
// deadlines.
//
// A set of jobs can be in time if each fits into the capacity before its deadline.
// Candidates are added to that set one by one, those first that are worth most for the work
// they need, each as late as its deadline allows. This has the result of the algorithm of
// Moore and Hodgson for jobs of equal value: as many as possible are in time, and those
// that are not are those that need the most work for each job saved. Plain deadline order
// would make all work late in a shortage.
//
// Expected work takes its part before waiting work that is worth less for a core-second. A
// few large jobs would otherwise be started in a moment in which few small ones wait, and the
// next small ones would find no capacity for as long as the large ones run. It is expected
// for the time lasts.
//
// Only the work that is left counts, and started work counts twice, because a delay wastes
// what was done. Work over its team's rate is added last, so that work within a rate is
// never delayed for it. One job of each team that, apart from this job, uses less than its
// weight entitles it to comes first, so that neither size nor number of the others' jobs
// starve a small team.
//
// A job counts as in time only if its slowest task has time enough: in deadline order all
// work starts at the last moment, and with the time that a mean task takes most of it
// would be late. Jobs that are in time only with luck get what the others leave.
//
// Late and delayed work is still of some use until it expires. What does not fit before
// that either is marked as Hopeless.
func Plan(waiting []Waiting, expected []Expected, lasts time.Duration, pool Capacity, teams []TeamLoad, now time.Duration) (delayed int) {
	for i := range waiting {
		waiting[i].assess(now)
	}
	grantTurns(waiting, teams)
	order := make([]*Waiting, 0, len(waiting))
	end := now
	for i := range waiting {
		w := &waiting[i]
		w.Rank.Delayed, w.Rank.Hopeless = false, false
		if !w.Rank.Expired {
			order = append(order, w)
			end = max(end, w.Expiry)
		}
	}
	slices.SortStableFunc(order, compareCandidates)
	t := newTimeline(pool, teams, now, end)
	t.lasts = lasts.Seconds()
	expected = sortedExpected(expected)
	for len(order) > 0 {
		count := 1
		for count < len(order) && order[count].Rank.Priority == order[0].Rank.Priority {
			count++
		}
		delayed += t.plan(order[:count], &expected)
		order = order[count:]
	}
	return delayed
}

// assess determines what the job is worth. Started work counts as in time as long as that
// is possible at all: the margin is for the decision to start it.
func (w *Waiting) assess(now time.Duration) {
	if w.Rank.Started {
		w.Path = w.MinPath
	}
	w.worth, w.inTime = w.Value, now+w.Path <= w.Rank.Deadline
	if !w.inTime {
		w.worth *= LateValue
	}
	if w.Rank.Started {
		w.worth *= startedWorth
	}
}

// LateValue is the value of a late job that has not expired, in relation to one in time.
const LateValue = 0.2

// startedWorth is the factor on the value of started work: if it is put last, what was done
// of it was for nothing. At twice the capacity 1 gave 3,169 jobs in time, 2 and 4 some 3,310.
const startedWorth = 2

// plan adds the work of one priority to the timeline and marks what does not fit. It
// removes the work that is expected of this priority.
func (t *timeline) plan(order []*Waiting, expected *[]Expected) (delayed int) {
	for _, w := range order {
		t.takeExpected(w, expected)
		switch {
		case w.Rank.Late:
		case w.inTime:
			w.Rank.Delayed = !t.add(w, w.Path, w.Rank.Deadline)
		case w.Rank.Started:
			w.Rank.Delayed = !t.add(w, w.MinPath, w.Expiry)
		}
	}
	for _, w := range order {
		if !w.inTime && !w.Rank.Late && !w.Rank.Started {
			w.Rank.Delayed = !t.add(w, w.MinPath, max(w.Rank.Deadline, t.now+w.MinPath))
		}
	}
	for _, w := range order {
		if w.Rank.Delayed {
			delayed++
		}
		if (w.Rank.Late || w.Rank.Delayed) && !t.add(w, w.MinPath, w.Expiry) {
			w.Rank.Hopeless = true
		}
	}
	for _, w := range order {
		w.Rank.Turn = w.Rank.Turn && delayed > 0
	}
	return delayed
}

// sortedExpected returns expected work in the order of compareCandidates.
func sortedExpected(list []Expected) []Expected {
	return slices.SortedStableFunc(slices.Values(list), func(a, b Expected) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Density, a.Density))
	})
}

// takeExpected takes the capacity for the expected work that comes before a job.
func (t *timeline) takeExpected(w *Waiting, expected *[]Expected) {
	for e := *expected; len(e) > 0 && e[0].Priority <= w.Rank.Priority; e = *expected {
		if e[0].Priority == w.Rank.Priority && (w.Rank.Turn || !w.Rank.OverRate && e[0].Density*w.Work <= w.worth) {
			return
		}
		t.take(e[0].Cores)
		*expected = e[1:]
	}
}

// compareCandidates is the order in which work is added to the timeline.
func compareCandidates(a, b *Waiting) int {
	if c := cmp.Compare(a.Rank.Priority, b.Rank.Priority); c != 0 {
		return c
	}
	if c := compareBool(a.Rank.OverRate, b.Rank.OverRate); c != 0 {
		return c
	}
	if c := compareBool(b.Rank.Turn, a.Rank.Turn); c != 0 {
		return c
	}
	if a.Rank.Turn && a.usage != b.usage {
		return cmp.Compare(a.usage, b.usage)
	}
	if c := cmp.Compare(a.Work*b.worth, b.Work*a.worth); c != 0 {
		return c
	}
	return cmp.Compare(a.Rank.Deadline, b.Rank.Deadline)
}

// grantTurns marks one waiting job within the rate of each team that uses less cores for its
// other jobs, in relation to its weight, than all teams together.
func grantTurns(waiting []Waiting, teams []TeamLoad) {
	used, weight := totalUse(teams)
	first := make([]*Waiting, len(teams))
	for i := range waiting {
		w := &waiting[i]
		w.Rank.Turn = false
		team := &teams[w.Team]
		w.usage = max(team.Used-w.Own, 0) / team.Weight
		if w.Rank.Expired || !w.inTime && !w.Rank.Started || w.Rank.OverRate || w.usage*weight >= used {
			continue
		}
		if f := first[w.Team]; f == nil || cmp.Or(compareBool(f.Rank.Started, w.Rank.Started), compareCandidates(w, f)) < 0 {
			first[w.Team] = w
		}
	}
	for _, w := range first {
		if w != nil {
			w.Rank.Turn = true
		}
	}
}

// totalUse returns the cores that all teams use, and the sum of their weights.
func totalUse(teams []TeamLoad) (used, weight float64) {
	for i := range teams {
		used, weight = used+teams[i].Used, weight+teams[i].Weight
	}
	return used, weight
}

// Heavy returns which teams use at least what their weight entitles them to, so that a new
// job of them gets no turn.
func Heavy(teams []TeamLoad) (heavy []bool) {
	used, weight := totalUse(teams)
	for i := range teams {
		heavy = append(heavy, teams[i].Used*weight >= used*teams[i].Weight)
	}
	return heavy
}

// timeline holds the core-seconds that are left in consecutive intervals.
type timeline struct {
	now   time.Duration
	lasts float64   // seconds from now for which work is expected
	ends  []float64 // ends of the intervals, in seconds from now
	pool  []float64
	teams [][]float64 // nil for a team without a maximum
	last  []int       // last interval up to this one that may have something left; -1: none
	taken []float64   // scratch
}

const (
	// shortestInterval is the length of the first intervals. The shortest time budgets are
	// 250 ms.
	shortestInterval = 0.01
	// intervalGrowth is the length of the later intervals in relation to their time: what
	// is to end in a minute need not be planned as precisely as what is to end in a second.
	intervalGrowth = 0.05
	// nothing is an amount in core-seconds that counts as none.
	nothing = 1e-6
)

func newTimeline(pool Capacity, teams []TeamLoad, now, end time.Duration) (t *timeline) {
	t = &timeline{now: now}
	for at, until := 0.0, (end - now).Seconds(); at < until; {
		at += max(shortestInterval, intervalGrowth*at)
		t.ends = append(t.ends, at)
	}
	t.pool = t.fill(pool)
	for i := range teams {
		var left []float64
		if teams[i].Limit != nil {
			left = t.fill(*teams[i].Limit)
		}
		t.teams = append(t.teams, left)
	}
	t.taken = make([]float64, len(t.ends))
	t.last = make([]int, len(t.ends))
	for i := range t.last {
		t.last[i] = i
	}
	return t
}

// fill returns the capacity in each interval.
func (t *timeline) fill(c Capacity) (left []float64) {
	left = make([]float64, len(t.ends))
	cores, start := max(c.Free, 0), 0.0
	next := 0
	for i, end := range t.ends {
		left[i] = cores * (end - start)
		for next < len(c.Releases) {
			at := max((c.Releases[next].At - t.now).Seconds(), start)
			if at >= end {
				break
			}
			left[i] += c.Releases[next].Cores * (end - at)
			cores += c.Releases[next].Cores
			next++
		}
		start = end
	}
	return left
}

// take takes a number of cores for as long as work is expected, as far as they are left.
func (t *timeline) take(cores float64) {
	start := 0.0
	for i, end := range t.ends {
		if end > t.lasts+nothing && i > 0 {
			return
		}
		t.pool[i] = max(t.pool[i]-cores*(end-start), 0)
		start = end
	}
}

// lastLeft returns the last interval up to i that has something left, or -1.
func (t *timeline) lastLeft(i int) int {
	root := i
	for root >= 0 && t.pool[root] <= nothing {
		if t.last[root] == root {
			t.last[root]--
		}
		root = t.last[root]
	}
	for i > root {
		i, t.last[i] = t.last[i], root
	}
	return root
}

// add takes the capacity for a job as late before until as possible, and reports whether
// there is enough. It takes no more cores at a time than the job can use, and leaves the time
// by which path exceeds the mean to the slowest tasks.
func (t *timeline) add(w *Waiting, path, until time.Duration) (fits bool) {
	if t.now+path > until {
		return false
	}
	if w.Work <= nothing {
		return true
	}
	cores := math.Inf(1)
	if w.MinPath > 0 {
		cores = w.Work / w.MinPath.Seconds()
	}
	// A job that can only just be in time must not fail for the rounding of times.
	limit := (until - t.now - (path - w.MinPath)).Seconds() + nothing
	last, _ := slices.BinarySearch(t.ends, limit)
	last = min(last, len(t.ends)-1)
	team := t.teams[w.Team]
	missing, first := w.Work, last+1
	for i := t.lastLeft(last); i >= 0 && missing > nothing; i = t.lastLeft(i - 1) {
		start := 0.0
		if i > 0 {
			start = t.ends[i-1]
		}
		length, usable := t.ends[i]-start, min(t.ends[i], limit)-start
		take := min(cores*usable, t.pool[i]*usable/length, missing)
		if team != nil {
			take = min(take, team[i])
		}
		for j := i; j < first; j++ {
			t.taken[j] = 0
		}
		t.taken[i], first = take, i
		missing -= take
	}
	if missing > w.Work*shortfall {
		return false
	}
	for i := first; i <= last; i++ {
		t.pool[i] -= t.taken[i]
		if team != nil {
			team[i] -= t.taken[i]
		}
	}
	return true
}

// shortfall is the fraction of a job's work that may be missing. Predictions of when
// running work ends are not exact, and a delay for the last percent would be noise.
const shortfall = 0.02

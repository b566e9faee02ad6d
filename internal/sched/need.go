package sched

import (
	"cmp"
	"slices"
	"time"
)

// Need is what the tasks of a step need of the speed of their workers. The zero value accepts
// any speed.
type Need struct {
	RunTime time.Duration // of the slowest task on a worker of mean speed
	Allowed time.Duration // time within which the task should end
}

// InTime reports whether the slowest task would end in the allowed time.
func (n Need) InTime(c *Candidate) bool { return float64(n.RunTime)*c.slowness() <= float64(n.Allowed) }

// slowness returns the factor on run times that is expected of the worker now.
func (c *Candidate) slowness() float64 { return cmp.Or(c.Slowness, 1) * (1 + c.Penalty) }

// Compare orders workers by their speed. The ones on which the work ends in time come first,
// the slowest of them before the others: the fast ones stay free for work that needs them. The
// rest follows, the fastest first. Between workers of the same lasting speed only a
// difference in time counts.
//
// It is for cells in which a third of the workers take more than twice as long as the others:
// urgent jobs with a task on one of these are late, and long jobs have the time for them.
func (n Need) Compare(a, b *Candidate) int {
	if a.Slowness == b.Slowness && a.Penalty == b.Penalty {
		return 0
	}
	inTime := n.InTime(a)
	switch {
	case inTime != n.InTime(b):
		return compareBool(!inTime, inTime)
	case inTime:
		return cmp.Compare(cmp.Or(b.Slowness, 1), cmp.Or(a.Slowness, 1))
	}
	return cmp.Compare(a.slowness(), b.slowness())
}

// Allowance describes the time that is left to a job at one of its steps.
type Allowance struct {
	Left     time.Duration // until the deadline
	Useful   time.Duration // until the result is useless to its caller
	Rest     time.Duration // work that follows the step
	RunTime  time.Duration // of a task of the step on a worker of mean speed
	Margin   float64       // factor on RunTime for the slowest task
	Fastest  float64       // slowness of the fastest workers
	Overhead time.Duration // time from the choice of the worker to the start
}

// Need returns what the step needs. Work that can no longer be in time may take until its
// result is useless, so that it leaves fast workers to work that still can be in time.
func (a Allowance) Need() Need {
	n := Need{RunTime: time.Duration(float64(a.RunTime) * a.Margin), Allowed: a.Left - a.Rest - a.Overhead}
	fastest := float64(a.RunTime) * a.Fastest
	if fastest > float64(n.Allowed) {
		n.Allowed = a.Useful - a.Rest - a.Overhead
	}
	if fastest > float64(n.Allowed) {
		return Need{} // useless wherever it runs
	}
	return n
}

// uniformSpeeds returns the sets of workers that are tried one after the other for tasks that
// wait for each other: workers of one speed that are in time, the slowest first, and then all
// workers up to one speed, the fastest first.
func (n Need) uniformSpeeds(candidates []Candidate) (sets []func(*Candidate) bool) {
	var speeds []float64
	for i := range candidates {
		if s := cmp.Or(candidates[i].Slowness, 1); !slices.Contains(speeds, s) {
			speeds = append(speeds, s)
		}
	}
	slices.Sort(speeds)
	for _, s := range slices.Backward(speeds) {
		if n.InTime(&Candidate{Slowness: s}) && len(speeds) > 1 {
			sets = append(sets, func(c *Candidate) bool { return cmp.Or(c.Slowness, 1) == s })
		}
	}
	for _, s := range speeds {
		sets = append(sets, func(c *Candidate) bool { return cmp.Or(c.Slowness, 1) <= s })
	}
	return sets
}

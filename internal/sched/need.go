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
	// KeepFast means that other work needs fast workers, so that the slowest of those on which
	// the task ends in time are preferred.
	KeepFast bool
}

// InTime reports whether the slowest task would end in the allowed time.
func (n Need) InTime(c *Candidate) bool { return float64(n.RunTime)*c.slowness() <= float64(n.Allowed) }

// slowness returns the factor on run times that is expected of the worker now.
func (c *Candidate) slowness() float64 { return cmp.Or(c.Slowness, 1) * (1 + c.Penalty) }

// Compare orders workers by their speed. The ones on which the work ends in time come first,
// with KeepFast the slowest of them before the others. The rest follows, the fastest first.
// Between workers of the same lasting speed only a difference in time counts.
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
	case inTime && !n.KeepFast:
		return 0
	case inTime:
		return cmp.Compare(cmp.Or(b.Slowness, 1), cmp.Or(a.Slowness, 1))
	}
	return cmp.Compare(a.slowness(), b.slowness())
}

// AnyGain is the need of work that should end as soon as possible.
var AnyGain = Need{RunTime: 1}

// Allowance describes the time that is left to a job at one of its steps.
type Allowance struct {
	Pace     float64       // time that the job was given over the work that it is
	Left     time.Duration // until the deadline
	Useful   time.Duration // until the result is useless to its caller
	Rest     time.Duration // work that follows the step, on workers of mean speed
	RunTime  time.Duration // of a task of the step on a worker of mean speed
	Margin   float64       // factor on RunTime for the slowest task
	Fastest  float64       // slowness of the fastest workers
	Overhead time.Duration // time until the tasks of this step and the following ones have started
}

// MinMargin is the least margin for the slowest task. It covers delays between the steps.
const MinMargin = 1.1

// Need returns what the step needs. The slowest task has to end early enough for the rest of
// the job to be in time on fast workers. The usual task may use no more than its share of the
// time left, because the rest can be delayed as well, and of the time of the whole job: an
// urgent job whose first step has ended early does not have ample time for that. Work that can
// no longer be in time may take until its result is useless, so that it leaves fast workers to
// work that still can be.
func (a Allowance) Need() Need {
	n := Need{RunTime: time.Duration(float64(a.RunTime) * max(a.Margin, MinMargin))}
	rest := a.restAfter()
	fastest := time.Duration(float64(a.RunTime+a.Rest) * a.Fastest)
	left, pace := a.Left-a.Overhead, a.Pace
	if fastest > left {
		left, pace = a.Useful-a.Overhead, ExpiryFactor*a.Pace
	}
	if fastest > left {
		return Need{} // useless wherever it runs
	}
	pace = min(pace, float64(left)/float64(a.RunTime+a.Rest))
	n.Allowed = min(left-rest, time.Duration(pace*float64(n.RunTime)))
	return n
}

// restAfter returns the time that the rest of the job takes after the step.
func (a Allowance) restAfter() time.Duration {
	return time.Duration(float64(a.Rest) * max(1, max(a.Margin, MinMargin)*a.Fastest))
}

// EndOfStep returns within which time the step has to end for the job to be in time, and for its
// result to be of use.
func (a Allowance) EndOfStep() (inTime, useful time.Duration) {
	rest := a.Overhead + a.restAfter()
	return a.Left - rest, a.Useful - rest
}

// uniformSpeeds returns the sets of workers that are tried one after the other for tasks that
// wait for each other: with KeepFast workers of one speed that are in time, the slowest first,
// and then all workers up to one speed, the fastest first.
func (n Need) uniformSpeeds(candidates []Candidate) (sets []func(*Candidate) bool) {
	var speeds []float64
	for i := range candidates {
		if s := cmp.Or(candidates[i].Slowness, 1); !slices.Contains(speeds, s) {
			speeds = append(speeds, s)
		}
	}
	slices.Sort(speeds)
	for _, s := range slices.Backward(speeds) {
		if n.KeepFast && n.InTime(&Candidate{Slowness: s}) {
			sets = append(sets, func(c *Candidate) bool { return cmp.Or(c.Slowness, 1) == s })
		}
	}
	for _, s := range speeds {
		sets = append(sets, func(c *Candidate) bool { return cmp.Or(c.Slowness, 1) <= s })
	}
	return sets
}

package job

import (
	"context"
	"sync"

	"github.com/qmuntal/stateless"
)

// jobTrigger is an event that changes the state of a job.
type jobTrigger string

const (
	triggerStart   jobTrigger = "start"
	triggerCancel  jobTrigger = "cancel"
	triggerFinish  jobTrigger = "finish"
	triggerFail    jobTrigger = "fail"
	triggerStopped jobTrigger = "stopped"
)

// lifecycle is the state machine shared by all jobs. Its storage is pointed at
// the state of the job whose trigger fires, because a machine per job would
// take kilobytes of memory.
type lifecycle struct {
	mu      sync.Mutex
	current *State
	machine *stateless.StateMachine
}

var jobLifecycle = newLifecycle()

func newLifecycle() *lifecycle {
	l := &lifecycle{}
	read := func(context.Context) (stateless.State, error) { return *l.current, nil }
	write := func(_ context.Context, state stateless.State) error {
		*l.current = state.(State)
		return nil
	}
	l.machine = stateless.NewStateMachineWithExternalStorage(read, write, stateless.FiringImmediate)
	l.machine.Configure(StateQueued).
		Permit(triggerStart, StateRunning).
		Permit(triggerCancel, StateCancelling).
		Permit(triggerFinish, StateDone).
		Permit(triggerFail, StateFailed)
	l.machine.Configure(StateRunning).
		Ignore(triggerStart).
		Permit(triggerCancel, StateCancelling).
		Permit(triggerFinish, StateDone).
		Permit(triggerFail, StateFailed)
	l.machine.Configure(StateCancelling).
		Ignore(triggerStart).
		Ignore(triggerCancel).
		Permit(triggerStopped, StateCancelled)
	return l
}

// jobMachine holds the state of one job and applies triggers to it.
type jobMachine struct {
	current *State
}

func newJobMachine() jobMachine {
	state := StateQueued
	return jobMachine{current: &state}
}

func (m jobMachine) state() State { return *m.current }

// fire applies the trigger; a trigger that the current state does not permit is ignored.
func (m jobMachine) fire(trigger jobTrigger) {
	jobLifecycle.mu.Lock()
	defer jobLifecycle.mu.Unlock()
	jobLifecycle.current = m.current
	_ = jobLifecycle.machine.Fire(trigger)
}

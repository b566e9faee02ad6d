package job

import (
	"context"
	"sync"

	"github.com/qmuntal/stateless"
)

type jobTrigger string

const (
	triggerStart   jobTrigger = "start"
	triggerCancel  jobTrigger = "cancel"
	triggerFinish  jobTrigger = "finish"
	triggerFail    jobTrigger = "fail"
	triggerStopped jobTrigger = "stopped"
)

// lifecycle is the one state machine of all jobs; it is pointed at the state
// of the job that fires, because a machine for each job would cost kilobytes.
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

// jobMachine is the state of one job.
type jobMachine struct {
	current *State
}

func newJobMachine() jobMachine {
	state := StateQueued
	return jobMachine{current: &state}
}

func (m jobMachine) state() State { return *m.current }

// fire moves the job if its state permits the trigger.
func (m jobMachine) fire(trigger jobTrigger) {
	jobLifecycle.mu.Lock()
	defer jobLifecycle.mu.Unlock()
	jobLifecycle.current = m.current
	_ = jobLifecycle.machine.Fire(trigger)
}

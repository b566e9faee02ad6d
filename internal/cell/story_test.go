package cell

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/logstory"
)

// TestLogsExplainLateness checks that the fields which `explain --late` reads are in the owner's
// lines: the slowness of a worker, stalls, and that a job is lasting.
func TestLogsExplainLateness(t *testing.T) {
	var logged bytes.Buffer
	s := unevenCell(t, 1, false)
	s.owner.Log = zerolog.New(&logged).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str("time", time.Unix(0, 0).Add(s.now).Format(time.RFC3339Nano))
	}))
	lasting := newStep(2, time.Second)
	lasting.LongRunning = true
	s.submitTo("lasting", "team", "long", lasting)
	stall := func(before string) {
		for id, w := range s.workers {
			w.stalls = id < before
		}
	}
	s.after(speedLoadEnd/2, func() { stall("w30") })
	s.after(speedLoadEnd, func() { stall("") })
	unevenLoad(s)
	list, err := logstory.LateJobs(&logged)
	assert.NilError(t, err)
	parts := map[string]time.Duration{}
	for _, q := range list {
		t.Log(q)
		assert.Equal(t, len(q.Unfinished), 0)
		for name, d := range q.Parts {
			parts[name] += d
			assert.Assert(t, d >= 0, "%s %v", name, d)
		}
	}
	assert.Assert(t, parts["slow worker"] > 0)
	assert.Assert(t, parts["stalled"] > 0)
	assert.Assert(t, parts["attempt after straggler"] > 0, "the reason of a stop is not recognised")
}

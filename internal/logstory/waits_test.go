package logstory

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ended = `{"host":"a","event":1112,"message":"job finished","job":"j1","queue":"q","state":"completed","age":3000,"allowed":1000,"waited":{"room":1500,"advice":250},"time":"2026-12-04T08:00:01Z"}
{"host":"a","event":1112,"message":"job finished","job":"j2","queue":"q","state":"completed","age":900,"allowed":1000,"waited":{"room":100},"time":"2026-12-04T08:00:01Z"}
{"host":"a","event":1112,"message":"job finished","job":"j3","queue":"q","state":"cancelled","age":9000,"allowed":1000,"waited":{"room":100},"time":"2026-12-04T08:00:01Z"}
{"host":"a","event":1112,"message":"job finished","job":"j4","queue":"r","state":"completed","age":2000,"allowed":1000,"waited":"none","time":"2026-12-04T08:00:01Z"}
`

func TestLateJobs(t *testing.T) {
	list, err := LateJobs(strings.NewReader(ended + "not a line\n{\"event\":1112}\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].String(), "q: 1 of 2 late, 3.0 s of age, room 1.5 s, advice 0.2 s, other 1.2 s")
	assert.Equal(t, list[1].Late, 1)
	assert.Equal(t, list[1].Age, 2*time.Second)
}

// TestLateJobsByPart divides the age of a late job of two steps, and names the jobs that
// were not ended.
func TestLateJobsByPart(t *testing.T) {
	const log = `{"event":1110,"job":"j1","queue":"q","time":"2026-12-04T08:00:00Z"}
{"event":1110,"job":"j2","queue":"q","time":"2026-12-04T08:00:00Z"}
{"event":1110,"job":"j3","queue":"q","time":"2026-12-04T08:00:00Z"}
{"event":1120,"task":"j1.0.0.0","time":"2026-12-04T08:00:01Z"}
{"event":1120,"task":"j3.0.0.0","time":"2026-12-04T08:00:01Z"}
{"event":1120,"task":"j1.0.0.1","time":"2026-12-04T08:00:03Z"}
{"event":1125,"task":"j1.0.0.0","how":"done","time":"2026-12-04T08:00:05Z"}
{"event":1125,"task":"j1.0.0.1","how":"done","time":"2026-12-04T08:00:10Z"}
{"event":1120,"task":"j1.0.1.0","time":"2026-12-04T08:00:12Z"}
{"event":1125,"task":"j1.0.1.0","how":"done","time":"2026-12-04T08:00:15Z"}
{"event":1112,"job":"j1","queue":"q","state":"completed","age":16000,"allowed":5000,"time":"2026-12-04T08:00:16Z"}
`
	list, err := LateJobs(strings.NewReader(log))
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	q := list[0]
	assert.DeepEqual(t, q.Runs, RunTimes{
		FirstStart: time.Second, Spread: 2 * time.Second, Median: 10 * time.Second, NextStep: 2 * time.Second, Completion: time.Second,
	})
	assert.Equal(t, q.Useless, 1)
	assert.DeepEqual(t, q.Unfinished, []string{"j2", "j3"})
	assert.DeepEqual(t, q.NeverStarted, []string{"j2"})
	assert.Assert(t, strings.HasSuffix(q.String(), "; 2 not ended: j2 j3; 1 never started: j2"), q.String())
}

func TestCause(t *testing.T) {
	tests := []struct{ job, want string }{
		{"j1", "The job is completed after 3.00 s, 2.00 s late; its steps waited longest for: room, 1.50 s."},
		{"j2", "The job is completed after 0.90 s, in time; its steps waited longest for: room, 0.10 s."},
		{"j4", "The job is completed after 2.00 s, 1.00 s late; no wait was noted."},
	}
	for _, tc := range tests {
		lines, err := Read(strings.NewReader(ended), tc.job)
		assert.NilError(t, err)
		assert.Equal(t, Cause(lines), tc.want)
	}
}

func FuzzLateJobs(f *testing.F) {
	f.Add(ended)
	f.Fuzz(func(_ *testing.T, logs string) {
		list, _ := LateJobs(strings.NewReader(logs))
		for _, q := range list {
			_ = q.String()
		}
		lines, err := Read(strings.NewReader(logs), "j1")
		if err == nil {
			_ = Cause(lines)
		}
	})
}

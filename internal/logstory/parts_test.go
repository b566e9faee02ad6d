package logstory

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lines returns the log of a job "j" that was accepted at second 0 and completed at the given
// second. Each row is the second, the event number and further fields; {T} stands for task 0 of
// step 0.
func lines(end float64, waited string, rows ...string) string {
	rows = append(rows, fmt.Sprintf(`%v 1112 "job":"j","queue":"q","state":"completed","age":%v,"allowed":1,"waited":{%s}`, end, end*1000, waited))
	var b strings.Builder
	for _, row := range rows {
		var second float64
		var number int
		_, _ = fmt.Sscan(row, &second, &number)
		fields := strings.ReplaceAll(strings.SplitN(row, " ", 3)[2], "{T}", `"task":"j.0.0.0"`)
		at := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC).Add(time.Duration(second * float64(time.Second)))
		fmt.Fprintf(&b, "{\"event\":%d,%s,\"time\":%q}\n", number, fields, at.Format(time.RFC3339Nano))
	}
	return b.String()
}

// TestParts divides the age of one late job. Without the rule of its name, each of these rows
// reports the time as own length or as other.
func TestParts(t *testing.T) {
	const second = time.Second
	start, again := `1 1120 {T},"run":1`, `5 1120 {T},"run":2`
	done := `8 1125 {T},"run":2,"how":"done"`
	failed := `4 1125 {T},"run":1,"how":"failed"`
	attempt := func(reason string) Parts {
		return Parts{partAttempt + reason: 4 * second, partMedian: 3 * second, partOther: 2 * second}
	}
	tests := []struct {
		name, log string
		want      Parts
	}{
		{"slow worker", lines(9, "", `1 1120 {T},"run":1,"slowness":2`, `8 1125 {T},"run":1,"how":"done"`),
			Parts{partSlowWorker: 3500 * time.Millisecond, partMedian: 3500 * time.Millisecond, partOther: 2 * second}},
		{"fast worker", lines(9, "", `1 1120 {T},"run":1,"slowness":0.5`, `8 1125 {T},"run":1,"how":"done"`),
			Parts{partMedian: 7 * second, partOther: 2 * second}},
		{"longest task", lines(9, "", start, `1 1120 "task":"j.0.0.1","run":1`, `1 1120 "task":"j.0.0.2","run":1`,
			`3 1125 "task":"j.0.0.1","run":1,"how":"done"`, `4 1125 "task":"j.0.0.2","run":1,"how":"done"`, `8 1125 {T},"run":1,"how":"done"`),
			Parts{partMedian: 3 * second, partLongest: 4 * second, partOther: 2 * second}},
		{"failed", lines(9, "", start, failed, again, done), attempt("failed")},
		{"failed, the end read first", lines(9, "", done, start, failed, again), attempt("failed")},
		{"wait between attempts", lines(9, `"retry":3000`, start, failed, again, done),
			Parts{partAttempt + "failed": 3 * second, partMedian: 3 * second}},
		{"wait during the run", lines(9, `"room":4000`, start, `9 1125 {T},"run":1,"how":"done"`),
			Parts{partMedian: 5 * second}},
		{"lapsed", lines(9, "", start, `4 1125 {T},"run":1,"how":"lapsed"`, again, done), attempt("lapsed")},
		{"lost", lines(9, "", start, `4 1126 {T},"run":1,"reason":"not listed by its worker"`, again, done), attempt("lost")},
		{"broken gang", lines(9, "", start, `4 1125 {T},"run":1,"how":"broken"`, again, done), attempt("broken gang")},
		{"preempted", lines(9, "", start, `3 1123 {T},"run":1,"reason":"preempted by work of a higher priority"`,
			`4 1125 {T},"run":1,"how":"stopped","saved":true`, `5 1120 {T},"run":2,"resumed":true`, done), attempt("preempted")},
		{"saved work lost", lines(9, "", start, `4 1125 {T},"run":1,"how":"failed","saved":true`, again, done),
			Parts{partLost: 4 * second, partMedian: 3 * second, partOther: 2 * second}},
		{"refused", lines(9, "", start, `4 1121 {T},"run":1`, again, done), attempt("refused")},
		{"no line on the end", lines(9, "", start, again, done), attempt("unknown end")},
		{"stalled", lines(9, "", start, `3 1134 {T},"run":1,"stalled":true`, `3 1123 {T},"run":1,"reason":"slower than like tasks"`,
			`4 1125 {T},"run":1,"how":"stopped"`, again, done),
			Parts{partStalled: 4 * second, partMedian: 3 * second, partOther: 2 * second}},
		{"copy", lines(9, "", start, `3 1134 {T},"run":1,"copy":true`, again, done, `8.5 1125 {T},"run":1,"how":"stopped"`),
			Parts{partCopy: 4 * second, partMedian: 3 * second, partOther: 2 * second}},
		{"copy on a faster worker", lines(9, "", start, `3 1138 {T},"run":1,"copy":true`, again, done, `8.5 1125 {T},"run":1,"how":"stopped"`),
			Parts{partCopy: 4 * second, partMedian: 3 * second, partOther: 2 * second}},
		{"moved", lines(9, "", start, `3 1138 {T},"run":1,"copy":false`, `3 1123 {T},"run":1,"reason":"a faster worker is free"`,
			`4 1125 {T},"run":1,"how":"stopped","saved":true`, `5 1120 {T},"run":2,"resumed":true`, done), attempt("moved")},
		{"two steps and a shorter one beside them", lines(12, `"advice":1000`, start, `3 1125 {T},"run":1,"how":"done"`,
			`2 1120 "task":"j.0.1.0","run":1`, `6 1125 "task":"j.0.1.0","run":1,"how":"done"`,
			`4 1120 "task":"j.0.2.0","run":1`, `11 1125 "task":"j.0.2.0","run":1,"how":"done"`),
			Parts{partMedian: 9 * second, partOther: 2 * second}},
		{"a task of the same step before it", lines(9, `"room":3000`, `1 1120 "task":"j.0.0.1","run":1`,
			`3 1125 "task":"j.0.0.1","run":1,"how":"done"`, `4 1120 {T},"run":1`, `8 1125 {T},"run":1,"how":"done"`),
			Parts{partMedian: 4 * second, partOther: 2 * second}},
		{"end reported by two owners", lines(9, "", start, failed, again, `7 1125 {T},"run":2,"how":"done"`, done),
			Parts{partAttempt + "failed": 4 * second, partMedian: 2 * second, partOther: 3 * second}},
		{"not answered", lines(9, "", start, `4 1122 {T},"run":1`, again, done), attempt("unanswered")},
		{"drained", lines(9, "", start, `3 1123 {T},"run":1,"reason":"the worker is draining"`,
			`4 1125 {T},"run":1,"how":"stopped"`, again, done), attempt("drained")},
		{"straggler", lines(9, "", start, `3 1123 {T},"run":1,"reason":"slower than like tasks"`,
			`4 1125 {T},"run":1,"how":"stopped"`, again, done), attempt("straggler")},
		{"stopped with its gang", lines(9, "", start, `3 1123 {T},"run":1,"reason":"a member of the gang was lost"`,
			`4 1125 {T},"run":1,"how":"stopped"`, again, done), attempt("broken gang")},
		{"evacuated", lines(9, "", start, `3 1123 {T},"run":1,"reason":"its data centre is evacuated"`,
			`4 1125 {T},"run":1,"how":"stopped"`, again, done), attempt("evacuated")},
		{"upkeep", lines(9, "", start, `3 1123 {T},"run":1,"reason":"its machine is next for upkeep"`,
			`4 1125 {T},"run":1,"how":"stopped"`, again, done), attempt("upkeep")},
		{"no starts", lines(9, `"room":1000`), Parts{partOther: 8 * second}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			list, err := LateJobs(strings.NewReader(tc.log))
			assert.NilError(t, err)
			q := list[0]
			sum := time.Duration(0)
			for name, d := range q.Parts {
				sum += d
				if d == 0 {
					delete(q.Parts, name)
				}
			}
			assert.DeepEqual(t, q.Parts, tc.want)
			for _, d := range q.Waited {
				sum += d
			}
			assert.Equal(t, sum, q.Age)
		})
	}
}

// TestLastingJobs guards against lasting jobs that run being listed as not ended.
func TestLastingJobs(t *testing.T) {
	const log = `{"event":1110,"job":"running","queue":"q","lasting":true,"time":"2026-12-04T08:00:00Z"}
{"event":1110,"job":"stopped","queue":"q","lasting":true,"time":"2026-12-04T08:00:00Z"}
{"event":1110,"job":"waiting","queue":"q","lasting":true,"time":"2026-12-04T08:00:00Z"}
{"event":1120,"task":"running.0.0.0","run":1,"time":"2026-12-04T08:00:01Z"}
{"event":1120,"task":"stopped.0.0.0","run":1,"time":"2026-12-04T08:00:01Z"}
{"event":1126,"task":"stopped.0.0.0","run":1,"time":"2026-12-04T08:00:02Z"}
`
	list, err := LateJobs(strings.NewReader(log))
	assert.NilError(t, err)
	assert.DeepEqual(t, list[0].Unfinished, []string{"stopped", "waiting"})
	assert.DeepEqual(t, list[0].NeverStarted, []string{"waiting"})
}

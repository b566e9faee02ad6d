package logstory

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logs = `collector 1 {"level":"info","host":"a","event":1150,"message":"job stored","job":"j1","time":"2026-12-04T08:00:01.000Z"}
not a line of ours
{"level":"info","host":"b","event":1120,"message":"run start requested","task":"j1.0.0.3","run":1,"time":"2026-12-04T08:00:02Z"}
{"level":"info","host":"b","event":1120,"message":"run start requested","task":"j12.0.0.3","run":1,"time":"2026-12-04T08:00:02Z"}
{"level":"info","host":"c","event":1100,"message":"cell claimed","epoch":2,"time":"2026-12-04T08:00:03Z"}
{"level":"info","host":"c","event":1112,"message":"job finished","job":"j1","state":"completed","time":"2026-12-04T08:00:04Z"}
{"level":"info","host":"c","event":1100,"message":"cell claimed","epoch":3,"time":"2026-12-04T08:00:09Z"}
`

func TestRead(t *testing.T) {
	lines, err := Read(strings.NewReader(logs), "j1")
	assert.NilError(t, err)
	var events []int
	for _, line := range lines {
		events = append(events, line.Event())
	}
	assert.DeepEqual(t, events, []int{1150, 1120, 1100, 1112})
	assert.Equal(t, lines[1].String(), "08:00:02.000 b 1120 run start requested run=1 task=j1.0.0.3")
	_, err = Read(strings.NewReader(logs), "j9")
	assert.ErrorContains(t, err, `"j9"`)
}

// Package logstory extracts the lines about one job from the merged logs of many
// hosts and sums up what late jobs waited for.
//
// # Usage
//
//	lines, err := logstory.Read(file, "5c0e7a21d94b36f8")
//	for _, line := range lines {
//		fmt.Println(line)
//	}
package logstory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("log")

// Line is one parsed log line.
type Line struct {
	time    time.Time
	host    string
	event   int
	message string
	fields  map[string]any // all but time, level, host, event and message
}

// Time returns the time at which the line was written.
func (l Line) Time() time.Time { return l.time }

// Event returns the event number of the line.
func (l Line) Event() int { return l.event }

// String returns the line in human-readable form.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %d %s", l.time.Format("15:04:05.000"), l.host, l.event, l.message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}

// contextEvents holds the numbers of the events that are shown beside those of the
// job: changes of ownership, starts and stops of hosts and failures of the store. Event
// 1105, which every host logs at each change of the owner, is left out.
var contextEvents = map[int]bool{
	100: true, 101: true, 102: true, 1100: true, 1101: true, 1103: true, 1104: true,
	1105: false, 1160: true, 1161: true, 1162: true, 1163: true,
}

// maxLineBytes bounds the length of one log line.
const maxLineBytes = 1 << 20

// Read returns the lines about a job, and those about hosts and the store between the
// first and the last of them, sorted by time. Text before the JSON object of a line,
// such as a prefix of a log collector, is ignored. Lines without a JSON object are
// left out.
func Read(r io.Reader, job string) (lines []Line, err error) {
	defer Error.WrapP(&err)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	var contextLines []Line
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		switch {
		case !ok:
		case line.about(job):
			lines = append(lines, line)
		case contextEvents[line.event]:
			contextLines = append(contextLines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, errs.New("no line about job %q", job)
	}
	first, last := lines[0].time, lines[0].time
	for _, line := range lines {
		if line.time.Before(first) {
			first = line.time
		}
		if line.time.After(last) {
			last = line.time
		}
	}
	for _, line := range contextLines {
		if !line.time.Before(first) && !line.time.After(last) {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.time.Compare(b.time) })
	return lines, nil
}

// parse decodes the JSON object of a log line. It returns false if there is none.
func parse(data []byte) (line Line, ok bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return line, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return line, false
	}
	number, _ := fields["event"].(float64)
	line.event = int(number)
	line.host, _ = fields["host"].(string)
	line.message, _ = fields["message"].(string)
	text, _ := fields["time"].(string)
	line.time, _ = time.Parse(time.RFC3339, text)
	for _, name := range []string{"event", "host", "message", "time", "level"} {
		delete(fields, name)
	}
	line.fields = fields
	return line, true
}

// about reports whether the line names the job, or one of its steps or tasks, whose
// names start with the job's ID, or a request path that ends with that ID.
func (l Line) about(job string) bool {
	for _, name := range []string{"job", "task", "step", "path"} {
		text, _ := l.fields[name].(string)
		if text == job || strings.HasPrefix(text, job+".") || strings.HasSuffix(text, "/"+job) {
			return true
		}
	}
	return false
}

package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestForecast guards against forecasts that count work that comes after the new job, and that
// ignore what comes before it.
func TestForecast(t *testing.T) {
	const deadline = 2 * time.Second
	urgent, batch := Probe{Work: 2, Value: 1, Budget: deadline}, Probe{Priority: 1, Work: 2, Value: 1, Budget: deadline}
	large := Probe{Work: 100, Value: 4, Budget: deadline}
	limited := Probe{Work: 2, Value: 1, Budget: deadline, Limit: true}
	team := func(free float64) []TeamLoad { return []TeamLoad{{Weight: 1, Used: 1, Limit: &Capacity{Free: free}}} }
	flood := []Expected{{Density: 1, Cores: 10}}
	backlog := []Waiting{oneSecondJob(1, deadline), oneSecondJob(1, deadline), oneSecondJob(1, deadline), oneSecondJob(1, deadline)}
	for _, tc := range []struct {
		name     string
		probe    Probe
		waiting  []Waiting
		expected []Expected
		lasts    time.Duration
		teams    []TeamLoad
		from, to time.Duration // of the forecast
	}{
		{"free capacity", urgent, nil, nil, 0, team(2), 900 * time.Millisecond, 1100 * time.Millisecond},
		{"work of the same priority that is worth more for its work", urgent, backlog, nil, 0, team(9), 2800 * time.Millisecond, 3200 * time.Millisecond},
		{"lower priorities come later", urgent, []Waiting{func() Waiting { w := oneSecondJob(4, deadline); w.Rank.Priority = 1; return w }()}, nil, 0, team(9),
			900 * time.Millisecond, 1100 * time.Millisecond},
		{"expected work of a higher priority, as long as it is expected", batch, nil, flood, 10 * time.Second, team(9), 10 * time.Second, 12 * time.Second},
		{"expected work that is worth more", large, nil, flood, 40 * time.Second, team(9), 85 * time.Second, 95 * time.Second},
		{"a maximum that is in use for ever", limited, nil, nil, 0, team(0), ForecastSpan, ForecastSpan},
		{"a maximum that is free", limited, nil, flood, time.Minute, team(2), 900 * time.Millisecond, 1100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			end := Forecast([]Probe{tc.probe}, tc.waiting, tc.expected, tc.lasts, Capacity{Free: 2}, tc.teams, 0)[0]
			assert.Assert(t, end >= tc.from && end <= tc.to, "%s", end)
		})
	}
}

// TestUseless guards against a rejection for a forecast that does not apply to the job.
func TestUseless(t *testing.T) {
	load := QueueLoad{
		Queue: "q", Mean: 10, Ends: []time.Duration{0, 0, 5 * time.Second, ForecastSpan}, Heavy: []string{"heavy"},
		Limited: []TeamEnds{{Team: "limited", Ends: []time.Duration{ForecastSpan, ForecastSpan, ForecastSpan, ForecastSpan}}},
	}
	for _, tc := range []struct {
		name    string
		need    NewJob
		useless bool
	}{
		{"a typical job", NewJob{"heavy", 10, time.Second}, false},
		{"a larger one, within the margin", NewJob{"heavy", 40, 1200 * time.Millisecond}, false},
		{"a larger one, beyond the margin", NewJob{"heavy", 40, time.Second}, true},
		{"the largest", NewJob{"heavy", 1000, 20 * time.Second}, true},
		{"one with a budget longer than the forecast", NewJob{"heavy", 1000, time.Minute}, false},
		{"one of a team that uses little", NewJob{"light", 1000, time.Second}, false},
		{"one of a team at its maximum", NewJob{"limited", 10, time.Second}, true},
		{"one smaller than all that were forecast", NewJob{"limited", 1, time.Second}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, useless := load.Useless(tc.need)
			assert.Equal(t, useless, tc.useless)
		})
	}
}

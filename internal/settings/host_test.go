package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const hostFile = `[entry]
name = host-1
place = boyolali
power = 0.4
[listen]
callers = 10.1.0.17:8183
readiness = 10.1.0.17:8184
peers = 10.1.0.17:8180
metrics = 10.1.0.17:9464
[peers]
seeds = 10.1.0.17:8180,10.2.0.15:8180
[store]
address = 10.200.1.7:8182
[bounds]
max-hold = 6000ms
far-factor = 1.5
config-apply = 3s
maintenance-s = 2.5
revoke-fail-closed = true
[cloud]
address = 10.200.1.9:8190
rate =
duty-rate = 30.0
duties = []
`

func TestParseHost(t *testing.T) {
	set, err := ParseHost("host.ini", []byte(hostFile))
	assert.NilError(t, err)
	assert.Equal(t, set.Name, "host-1")
	assert.Equal(t, len(set.Seeds), 2)
	assert.Equal(t, set.Bounds.MaxHold, 6*time.Second)
	assert.Equal(t, set.Bounds.Grace, 6*time.Second, "the default")
	assert.Equal(t, set.Bounds.ConfigApply, 3*time.Second)
	assert.Assert(t, set.Bounds.RevokeFailClosed)
	assert.Equal(t, set.Bounds.Maintenance, 2500*time.Millisecond)
	assert.Equal(t, set.Cloud, Cloud{Address: "10.200.1.9:8190", Rate: 60, DutyRate: 30, Duties: "[]"}, "an empty value is the default")
	for _, tc := range []struct{ name, extra, want string }{
		{"an unknown key", "[bounds]\nodd = 1\n", "odd"},
		{"an unknown section", "[odd]\na = 1\n", "odd"},
		{"a duration without a unit", "[bounds]\nstop = 900\n", "stop"},
		{"a boolean that is neither true nor false", "[log]\n[bounds]\nrevoke-fail-closed = maybe\n", "revoke-fail-closed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseHost("host.ini", []byte(hostFile+tc.extra))
			assert.ErrorContains(t, err, "host.ini")
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

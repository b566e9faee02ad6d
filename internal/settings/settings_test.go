package settings

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validFile = `[entry]
name = e1
place = klaten
http-address = 127.0.0.1:7000
peer-address = 127.0.0.1:7001
[store]
address = 127.0.0.1:7100
[host-list]
address = 127.0.0.1:7200
[operator]
key-hash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
`

func TestDefaults(t *testing.T) {
	set, err := Parse("entry.ini", []byte(validFile))
	assert.NilError(t, err)
	assert.Equal(t, set.Timing.Lease, 4*time.Second)
	assert.Equal(t, set.HostList.Poll, time.Second)
	reparsed, err := Parse("again.ini", []byte(strings.Replace(set.String(), "(redacted)", strings.Repeat("0", 64), 1)))
	assert.NilError(t, err, "printed settings can be parsed again")
	assert.Equal(t, reparsed.Timing, set.Timing)
}

func TestErrorsNameTheValue(t *testing.T) {
	for _, tc := range []struct {
		name, old, new string
		want           []string
	}{
		{"unknown section", "[store]", "[shop]\nkey = 1\n[store]", []string{"section [shop]", "allowed: sections"}},
		{"unknown key", "place =", "plase = x\nplace =", []string{"[entry]", "key plase", "allowed: keys"}},
		{"bad address", "127.0.0.1:7100", "store.example:7100", []string{"[store]", "key address", `"store.example:7100"`, "IP number"}},
		{"missing address", "address = 127.0.0.1:7200", "", []string{"[host-list]", "key address", "required"}},
		{"bad duration", "[store]", "[timing]\nright = soon\n[store]", []string{"[timing]", "key right", `"soon"`, "duration"}},
		{"negative duration", "[store]", "[timing]\nright = -1s\n[store]", []string{"key right", "positive"}},
		{"bad name", "name = e1", "name = E 1", []string{"key name", `"E 1"`, "a-z"}},
		{"bad level", "[store]", "[log]\nlevel = loud\n[store]", []string{"key level", `"loud"`, "debug, info, warn, error"}},
		{"bad hash", "key-hash = 01", "key-hash = 1", []string{"key key-hash", "64 hexadecimal"}},
		{"task lease shorter than twice the ownership lease", "[store]", "[timing]\ntask-lease = 5s\n[store]", []string{"key task-lease", "twice"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse("entry.ini", []byte(strings.Replace(validFile, tc.old, tc.new, 1)))
			assert.Assert(t, err != nil)
			assert.Assert(t, !strings.Contains(err.Error(), "\n"), "the error message must be one line: %v", err)
			for _, part := range append(tc.want, "file entry.ini") {
				assert.ErrorContains(t, err, part)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[entry]\nname"))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse("fuzz.ini", data) })
}

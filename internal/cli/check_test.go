package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/work"
)

// decodeTestTables decodes tables in the form of their Go type.
func decodeTestTables(value []byte) (t *work.Tables, err error) {
	t = &work.Tables{}
	return t, json.Unmarshal(value, t)
}

// TestCheckConfiguration checks the exit statuses that scripts rely on, and that a report never
// has a key.
func TestCheckConfiguration(t *testing.T) {
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	const queue = `{"Name":"q","Host":"h","Prefix":"/q/","Service":"p","Attempts":3,"Stretch":2}`
	const rest = `"Pools":{"p":{"Name":"p"}},"Teams":{"t":{"Name":"t","Keys":["secret"]}}}`
	good := write("good", `{"Version":2,"Queues":[`+queue+`],`+rest)
	old := write("old", `{"Version":1,"Queues":[`+queue+`],"Pools":{"p":{"Name":"p"}},"Teams":{"t":{"Name":"t"}}}`)
	warns := write("warns", `{"Version":2,"Queues":[`+queue+","+strings.Replace(queue, "q", "r", 1)+`],`+rest)
	wrong := write("wrong", `{"Version":0,"Queues":[`+queue+`],`+rest)
	const sections = "[team t]\n[pool p]\nkind = batch\n"
	idle := write("idle.ini", sections)
	routed := write("routed.ini", sections+"[route r]\npool = p\n")
	for _, tc := range []struct {
		name   string
		status int
		args   []string
		want   string // on standard output
	}{
		{"fine", exitOK, []string{"--config", good}, "ok\n"},
		{"what differs", exitOK, []string{"--config", good, "--in-force", old}, "~ team t, + key #2bb80d53\n"},
		{"hosts would ignore it", exitBadInput, []string{"--config", old, "--in-force", good}, "error: version: 1 is not above 2"},
		{"warnings", 1, []string{"--config", warns}, "warning: queue r: no request matches: queue q comes first"},
		{"errors", exitBadInput, []string{"--config", wrong}, "error: version: 0 is not above 0"},
		{"warnings as JSON", 1, []string{"--config", warns, "--json"}, `"entry": "queue r"`},
		{"not readable as JSON", exitBadInput, []string{"--config", "none", "--json"}, `"level": "error"`},
		{"both forms", exitBadInput, []string{"--config", good, "--tables", idle}, ""},
		{"two versions in force", exitBadInput, []string{"--tables", idle, "--in-force", idle, "--in-force-host"}, ""},
		{"host without tables", exitBadInput, []string{"--config", good, "--in-force-host"}, ""},
		{"host not reachable", exitBadInput, []string{"--tables", idle, "--in-force-host", "--address", "127.0.0.1:1"}, ""},
		{"tables that warn", 1, []string{"--tables", idle}, "warning: pool p: no route leads to it\n"},
		{"tables that differ", exitOK, []string{"--tables", routed, "--in-force", idle}, "+ route r"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status, stdout, stderr := run(append([]string{"check"}, tc.args...)...)
			assert.Equal(t, status, tc.status, stderr)
			assert.Assert(t, strings.Contains(stdout, tc.want), stdout)
			assert.Assert(t, !strings.Contains(stdout+stderr, "secret"))
		})
	}
}

// TestCheckAgainstHost compares with the tables of a running host, whose keys stay: removing the
// team that holds one is an error.
func TestCheckAgainstHost(t *testing.T) {
	tables := config.New()
	tables.Teams["gone"] = config.Team{Share: 1}
	tables.Keys["id"] = config.Key{Team: "gone", Hash: "hash"}
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Outcome", "done")
		_ = json.NewEncoder(w).Encode(tables)
	}))
	defer host.Close()
	status, stdout, stderr := run("check", "--tables", "../../examples/tawfiq/tables.ini", "--in-force-host",
		"--address", strings.TrimPrefix(host.URL, "http://"))
	assert.Equal(t, status, exitBadInput, stderr)
	assert.Assert(t, strings.Contains(stdout, "- team gone\n"), stdout)
	assert.Assert(t, strings.Contains(stdout, `error: key id: `), stdout)
}

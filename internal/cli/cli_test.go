package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// run runs a command line and returns its exit status and output.
func run(args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	program := Program{DecodeTables: decodeTestTables}
	status = program.Main(context.Background(), args, &out, &errs)
	return status, out.String(), errs.String()
}

func TestExamplesAreValid(t *testing.T) {
	for _, user := range []string{"co-operative", "tawfiq"} {
		dir := filepath.Join("../../examples", user)
		status, _, stderr := run("check", "--settings", filepath.Join(dir, "entry.ini"),
			"--tables", filepath.Join(dir, "tables.ini"), "--cell", filepath.Join(dir, "cell.ini"))
		assert.Equal(t, status, exitOK, stderr)
	}
}

func TestBadInput(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	assert.NilError(t, os.WriteFile(bad, []byte("[entry]\nname = e1\nplase = x\n"), 0o600))
	for _, tc := range []struct {
		name string
		args []string
		want string
	}{
		{"unknown command", []string{"serv"}, "unknown command"},
		{"unknown flag", []string{"status", "--quick"}, "unknown flag"},
		{"missing flag", []string{"serve"}, `"settings" not set`},
		{"bad output", []string{"status", "--output", "xml"}, "allowed: table, json"},
		{"missing argument", []string{"job"}, "expected: turmericspread job JOB"},
		{"settings with an error", []string{"serve", "--settings", bad}, "bad.ini"},
		{"settings that do not exist", []string{"settings", "--settings", "none.ini"}, "none.ini"},
		{"pool that no minion serves", []string{"check", "--tables", "../../examples/tawfiq/tables.ini",
			"--cell", "../../examples/co-operative/cell.ini"}, `value "quote-desk": allowed: a service that minions serve`},
		{"late jobs without logs", []string{"explain", "--late"}, "--late needs --log"},
		{"nothing to check", []string{"check"}, "--settings, --tables or both"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status, _, stderr := run(tc.args...)
			assert.Equal(t, status, exitBadInput, stderr)
			assert.Assert(t, strings.Contains(stderr, tc.want), stderr)
			assert.Equal(t, strings.Count(stderr, "\n"), 1, "the error message must be one line: %s", stderr)
		})
	}
}

func TestUnreachableHost(t *testing.T) {
	status, _, stderr := run("status", "--address", "127.0.0.1:1")
	assert.Equal(t, status, exitFailed, stderr)
}

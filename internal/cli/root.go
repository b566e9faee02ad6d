// Package cli implements the commands of turmericspread.
//
// # Usage
//
//	os.Exit(cli.Program{}.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"turmericspread.org/turmericspread/internal/work"
	"turmericspread.org/turmericspread/pkg/client"
)

// Exit statuses of Main.
const (
	exitOK       = 0
	exitFailed   = 1 // the call or the job failed
	exitBadInput = 2 // settings, tables, arguments or the request are wrong
	exitNotRun   = 3 // nothing was run, so that the call can be repeated safely
	exitUnknown  = 4 // the outcome is unknown: the call may have taken effect
)

// badInput marks an error in the user's input.
type badInput struct{ error }

// Unwrap returns the marked error.
func (e badInput) Unwrap() error { return e.error }

// errJobFailed is returned after waiting for a job that did not succeed.
var errJobFailed = errors.New("the job did not succeed")

// Program is the command-line program.
type Program struct {
	// DecodeTables decodes the configuration in the form of the platform's store. If it is nil,
	// that form cannot be checked.
	DecodeTables func(value []byte) (*work.Tables, error)
}

// options holds the flags that all commands share.
type options struct {
	Program
	address string
	key     string
	output  string
	stdout  io.Writer
}

// client returns a client of the entry host that the flags name.
func (o *options) client() *client.Client { return &client.Client{Address: o.address, Key: o.key} }

// print writes value as JSON, or in human-readable form by calling table if the output
// format is table. Values without a table function are always written as JSON.
func (o *options) print(value any, table func(w io.Writer)) error {
	if o.output == "json" || table == nil {
		enc := json.NewEncoder(o.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(o.stdout, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// Main runs the command line and returns the exit status.
func (p Program) Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	opts := &options{Program: p, stdout: stdout}
	root := newRootCmd(opts)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, "error:", err)
	return exitStatus(err)
}

// exitStatus returns the exit status for an error of a command.
func exitStatus(err error) int {
	var refused *client.Error
	var bad badInput
	switch {
	case errors.As(err, &bad), strings.HasPrefix(err.Error(), "required flag"):
		return exitBadInput
	case errors.Is(err, errJobFailed):
		return exitFailed
	case errors.As(err, &refused):
		switch {
		case refused.Outcome == client.OutcomeUnknown:
			return exitUnknown
		case refused.Status >= 400 && refused.Status < 500:
			return exitBadInput
		}
		return exitNotRun
	}
	return exitFailed
}

func newRootCmd(opts *options) *cobra.Command {
	root := &cobra.Command{
		Use:   "turmericspread",
		Short: "Schedule different kinds of work on one shared cell",
		Long: `turmericspread schedules requests, services, batch jobs and gangs on one cell.

Exit statuses: 0 success, 1 the call or job failed, 2 bad input,
3 nothing was run, 4 the outcome is unknown.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return badInput{fmt.Errorf("unknown command %q: turmericspread --help lists the commands", args[0])}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if opts.output != "table" && opts.output != "json" {
				return badInput{fmt.Errorf("flag --output: value %q: allowed: table, json", opts.output)}
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&opts.address, "address", envOrDefault("TURMERICSPREAD_ADDRESS", "127.0.0.1:17020"), "entry host to call (TURMERICSPREAD_ADDRESS)")
	flags.StringVar(&opts.key, "key", os.Getenv("TURMERICSPREAD_KEY"), "team key or operator key (TURMERICSPREAD_KEY)")
	flags.StringVarP(&opts.output, "output", "o", "table", "output format: table or json")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInput{err} })
	root.AddCommand(
		newServeCmd(opts), newCheckCmd(opts), newSettingsCmd(opts), newVersionCmd(opts),
		newSubmitCmd(opts), newJobCmd(opts), newWaitCmd(opts), newExplainCmd(opts), newCancelCmd(opts), newRequestCmd(opts),
		newTablesCmd(opts), newRouteCmd(opts), newPoolCmd(opts), newTeamCmd(opts), newKeyCmd(opts),
		newStatusCmd(opts), newDumpCmd(opts),
	)
	return root
}

// envOrDefault returns the value of an environment variable, or def if it is not set.
func envOrDefault(name, def string) string {
	if value, ok := os.LookupEnv(name); ok {
		return value
	}
	return def
}

// exactArgs returns a check for n arguments whose error shows the command's usage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != n {
			return badInput{fmt.Errorf("%s: %d arguments given, expected: %s", cmd.Name(), len(args), cmd.UseLine())}
		}
		return nil
	}
}

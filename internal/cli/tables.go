package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"turmericspread.org/turmericspread/internal/config"
)

// configPath is the path of the configuration tables.
const configPath = "/v1/config"

// editTables reads the tables, applies change to them, prints the difference and
// writes them back. If dryRun is set, it does not write them. The cell rejects the
// write if the tables have changed since they were read.
func editTables(ctx context.Context, opts *options, dryRun bool, change func(tables *config.Tables) error) (err error) {
	before := config.New()
	if err := opts.client().Call(ctx, http.MethodGet, configPath, nil, before); err != nil {
		return err
	}
	after := before.Clone()
	if err := change(after); err != nil {
		return badInput{err}
	}
	diff := config.Diff(before, after)
	var accepted struct {
		Version int64    `json:"version"`
		Diff    []string `json:"diff"`
		DryRun  bool     `json:"dry-run,omitempty"`
	}
	accepted.Version, accepted.Diff, accepted.DryRun = before.Version, diff, dryRun
	if !dryRun {
		if err := opts.client().Call(ctx, http.MethodPut, configPath, after, &accepted); err != nil {
			return err
		}
	}
	return opts.print(accepted, func(w io.Writer) {
		for _, line := range diff {
			_, _ = fmt.Fprintln(w, line)
		}
		if dryRun {
			_, _ = fmt.Fprintln(w, "dry run: nothing was changed")
			return
		}
		_, _ = fmt.Fprintf(w, "accepted as version %d\n", accepted.Version)
	})
}

func newTablesCmd(opts *options) *cobra.Command {
	cmd := &cobra.Command{Use: "tables", Short: "Show or replace the team, pool and route tables"}
	var file string
	var dryRun bool
	put := &cobra.Command{
		Use:     "put --file FILE",
		Short:   "Replace all tables with those of a file; keys are kept",
		Example: "  turmericspread tables put --file examples/co-operative/tables.ini --dry-run",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := config.Load(file)
			if err != nil {
				return badInput{err}
			}
			return editTables(cmd.Context(), opts, dryRun, func(tables *config.Tables) error {
				tables.Teams, tables.Pools, tables.Routes = loaded.Teams, loaded.Pools, loaded.Routes
				return nil
			})
		},
	}
	put.Flags().StringVar(&file, "file", "", "tables file")
	put.Flags().BoolVar(&dryRun, "dry-run", false, "print the difference and change nothing")
	_ = put.MarkFlagRequired("file")
	show := &cobra.Command{
		Use: "show", Short: "Show the current tables", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			tables := config.New()
			if err := opts.client().Call(cmd.Context(), http.MethodGet, configPath, nil, tables); err != nil {
				return err
			}
			for id, key := range tables.Keys {
				key.Hash = "(redacted)"
				tables.Keys[id] = key
			}
			return opts.print(tables, nil)
		},
	}
	cmd.AddCommand(put, show)
	return cmd
}

func newRouteCmd(opts *options) *cobra.Command {
	cmd := &cobra.Command{Use: "route", Short: "Edit the route table"}
	var pool string
	var dryRun bool
	put := &cobra.Command{
		Use: "put NAME --pool POOL", Short: "Add or change a route", Args: exactArgs(1),
		Example: "  turmericspread route put bid --pool bidding",
		RunE: func(cmd *cobra.Command, args []string) error {
			return editTables(cmd.Context(), opts, dryRun, func(tables *config.Tables) error {
				tables.Routes[args[0]] = config.Route{Pool: pool}
				return tables.Check(nil)
			})
		},
	}
	put.Flags().StringVar(&pool, "pool", "", "pool that serves the route")
	put.Flags().BoolVar(&dryRun, "dry-run", false, "print the difference and change nothing")
	_ = put.MarkFlagRequired("pool")
	remove := newRemoveCmd(opts, "route", func(tables *config.Tables, name string) bool {
		_, ok := tables.Routes[name]
		delete(tables.Routes, name)
		return ok
	})
	cmd.AddCommand(put, remove)
	return cmd
}

// newRemoveCmd returns the command that removes an entry from a table.
func newRemoveCmd(opts *options, table string, remove func(tables *config.Tables, name string) bool) *cobra.Command {
	var dryRun bool
	cmd := &cobra.Command{
		Use: "remove NAME", Short: "Remove a " + table, Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return editTables(cmd.Context(), opts, dryRun, func(tables *config.Tables) error {
				if !remove(tables, args[0]) {
					return fmt.Errorf("no %s %q", table, args[0])
				}
				return tables.Check(nil)
			})
		},
	}
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "print the difference and change nothing")
	return cmd
}

func newPoolCmd(opts *options) *cobra.Command {
	cmd := &cobra.Command{Use: "pool", Short: "Edit the pool table"}
	var pool config.Pool
	var kind string
	var timeout time.Duration
	var dryRun bool
	put := &cobra.Command{
		Use: "put NAME --kind KIND", Short: "Add or change a pool", Args: exactArgs(1),
		Example: `  turmericspread pool put bidding --kind request --service hay-auction --timeout 2s --idempotent=false
  turmericspread pool put reports --kind batch --retries 3 --preemptible`,
		RunE: func(cmd *cobra.Command, args []string) error {
			pool.Kind, pool.TimeoutMS = config.Kind(kind), timeout.Milliseconds()
			return editTables(cmd.Context(), opts, dryRun, func(tables *config.Tables) error {
				tables.Pools[args[0]] = pool
				return tables.Check(nil)
			})
		},
	}
	flags := put.Flags()
	flags.StringVar(&kind, "kind", "", "request, service, batch or gang")
	flags.StringVar(&pool.Service, "service", "", "service of the minions, for kind request")
	flags.DurationVar(&timeout, "timeout", 0, "time limit of a request or a task run")
	flags.IntVar(&pool.Retries, "retries", 0, "number of retries of a failed task")
	flags.BoolVar(&pool.Idempotent, "idempotent", true, "work may run again when its outcome is unknown")
	flags.BoolVar(&pool.Preemptible, "preemptible", false, "tasks may be checkpointed and stopped for other teams")
	flags.BoolVar(&pool.Urgent, "urgent", false, "tasks start before others of the team")
	flags.StringSliceVar(&pool.Places, "places", nil, "data centres where the work may run; empty means all")
	flags.BoolVar(&dryRun, "dry-run", false, "print the difference and change nothing")
	_ = put.MarkFlagRequired("kind")
	remove := newRemoveCmd(opts, "pool", func(tables *config.Tables, name string) bool {
		_, ok := tables.Pools[name]
		delete(tables.Pools, name)
		return ok
	})
	cmd.AddCommand(put, remove)
	return cmd
}

func newTeamCmd(opts *options) *cobra.Command {
	cmd := &cobra.Command{Use: "team", Short: "Edit the team table"}
	var team config.Team
	var dryRun bool
	put := &cobra.Command{
		Use: "put NAME", Short: "Add or change a team", Args: exactArgs(1),
		Example: "  turmericspread team put settlement --share 3 --limit 400",
		RunE: func(cmd *cobra.Command, args []string) error {
			return editTables(cmd.Context(), opts, dryRun, func(tables *config.Tables) error {
				tables.Teams[args[0]] = team
				return tables.Check(nil)
			})
		},
	}
	put.Flags().Float64Var(&team.Share, "share", 1, "fair-share weight when the cell is full")
	put.Flags().Int64Var(&team.Limit, "limit", 0, "largest number of running tasks in the whole cell")
	put.Flags().BoolVar(&dryRun, "dry-run", false, "print the difference and change nothing")
	_ = put.MarkFlagRequired("limit")
	remove := newRemoveCmd(opts, "team", func(tables *config.Tables, name string) bool {
		_, ok := tables.Teams[name]
		delete(tables.Teams, name)
		return ok
	})
	cmd.AddCommand(put, remove)
	return cmd
}

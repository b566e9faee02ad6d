// Package demo implements the commands of the stand-in program. They run the
// stand-ins of a cell, run a demo of a whole cell in one process, and send load.
//
// # Usage
//
//	os.Exit(demo.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"turmericspread.org/turmericspread/internal/standin"
)

// Main runs the command with the given arguments and returns the exit status: 0 on
// success, 2 for an invalid cell file or an invalid value of --only, and 1 for other
// errors. Commands end at an interrupt or SIGTERM.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	const failed, badInput = 1, 2
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	status := failed
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for the platform", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newDemoCmd(stdout), newRunCmd(stdout, func() { status = badInput }), newLoadCmd(stdout))
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(stderr, "error:", err)
		return status
	}
	return 0
}

var allParts = []string{"store", "host-list", "workers", "minions"}

// newRunCmd returns the command that runs stand-ins. It calls setBadInput before it
// returns an error for invalid input.
func newRunCmd(stdout io.Writer, setBadInput func()) *cobra.Command {
	var file string
	var only []string
	cmd := &cobra.Command{
		Use:   "run --cell FILE",
		Short: "Run the stand-ins of a cell until a signal",
		Example: `  standin run --cell examples/co-operative/cell.ini
  standin run --cell examples/co-operative/cell.ini --only store,host-list`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cell, err := standin.LoadCell(file)
			if err != nil {
				setBadInput()
				return err
			}
			for _, part := range only {
				if !slices.Contains(allParts, part) {
					setBadInput()
					return fmt.Errorf("flag --only: value %q: allowed: %s", part, strings.Join(allParts, ", "))
				}
			}
			running := &standin.Running{}
			defer running.Stop()
			if err := startStandIns(cmd.Context(), cell, running, only); err != nil {
				return err
			}
			_, _ = fmt.Fprintln(stdout, "running:", strings.Join(only, ", "))
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "cell", "", "cell file")
	cmd.Flags().StringSliceVar(&only, "only", allParts, "stand-ins to run")
	_ = cmd.MarkFlagRequired("cell")
	return cmd
}

// startStandIns starts the stand-ins named in only and adds them to running.
func startStandIns(ctx context.Context, cell *standin.Cell, running *standin.Running, only []string) (err error) {
	for _, part := range only {
		switch part {
		case "store":
			err = cell.StartStore(running)
		case "host-list":
			err = cell.StartHostList(running)
		case "workers":
			err = cell.StartWorkers(ctx, running)
		case "minions":
			err = cell.StartMinions(running)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

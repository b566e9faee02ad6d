package cli

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"turmericspread.org/turmericspread/internal/entry"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/memlimit"
	"turmericspread.org/turmericspread/internal/settings"
)

func newServeCmd(*options) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run an entry process",
		Long: `Run an entry process until SIGTERM or SIGINT, then shut down gracefully. A
second signal aborts the shutdown. SIGUSR1 writes a state dump to standard error.`,
		Example: "  turmericspread serve --settings examples/co-operative/entry.ini",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := settings.Load(file)
			if err != nil {
				return badInput{err}
			}
			return serve(cmd.Context(), set)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// serve runs an entry process. The first signal to stop starts a graceful shutdown, a
// second one aborts it.
func serve(ctx context.Context, set settings.Settings) (err error) {
	memlimit.Apply(set.Entry.MemoryMB)
	log := event.NewLogger(os.Stderr, set.Log.Level, set.Log.Format)
	e := entry.New(set, log)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)
	go func() {
		stopping := false
		for s := range signals {
			switch {
			case s == syscall.SIGUSR1:
				writeDump(ctx, e)
			case stopping:
				event.StopForced.Log(log).Send()
				e.Abort()
			default:
				stopping = true
				cancel()
			}
		}
	}()
	return e.Run(ctx)
}

// writeDump writes the state of the entry process to standard error, as JSON.
func writeDump(ctx context.Context, e *entry.Entry) {
	dump, err := e.Dump(ctx)
	if err != nil {
		return
	}
	_ = json.NewEncoder(os.Stderr).Encode(dump)
}

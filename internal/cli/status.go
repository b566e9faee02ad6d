package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"turmericspread.org/turmericspread/internal/entry"
)

func newStatusCmd(opts *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the cell at a glance", Args: exactArgs(0),
		Example: "  turmericspread status --address 127.0.0.1:17020",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status entry.Status
			if err := opts.client().Call(cmd.Context(), http.MethodGet, "/v1/status", nil, &status); err != nil {
				return err
			}
			return opts.print(status, func(w io.Writer) { printStatus(w, status) })
		},
	}
}

func printStatus(w io.Writer, s entry.Status) {
	_, _ = fmt.Fprintf(w, "configuration %d, store up: %t, right to start work: %d ms\n\n", s.ConfigVersion, s.StoreUp, s.LeaseMS)
	_, _ = fmt.Fprintln(w, "ENTRY\tPLACE\tSTATE\tHTTP")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.Name, m.Place, m.State, m.HTTPAddress)
	}
	_, _ = fmt.Fprintln(w, "\nSHARD\tOWNER\tEPOCH\t")
	for _, sh := range s.Shards {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t\n", sh.Shard, sh.Owner, sh.Epoch)
	}
	_, _ = fmt.Fprintln(w, "\nTEAM\tSHARE\tUSED\tRUNNING\tLIMIT\tWAITING")
	for _, t := range s.Teams {
		_, _ = fmt.Fprintf(w, "%s\t%g\t%.1f%%\t%d\t%d\t%d\n", t.Team, t.Share, 100*t.Used, t.Running, t.Limit, t.Waiting)
	}
	_, _ = fmt.Fprintln(w, "\nOUT OF SERVICE\tREASON")
	for _, t := range s.OutOfService {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", t.Name, t.Reason)
	}
}

func newDumpCmd(opts *options) *cobra.Command {
	return &cobra.Command{
		Use: "dump", Short: "Print the whole control state of an entry process", Args: exactArgs(0),
		Example: "  turmericspread dump --address 127.0.0.1:17020 > dump.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var dump json.RawMessage
			if err := opts.client().Call(cmd.Context(), http.MethodGet, "/v1/dump", nil, &dump); err != nil {
				return err
			}
			return opts.print(dump, nil)
		},
	}
}

package cli

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"

	"github.com/spf13/cobra"

	"turmericspread.org/turmericspread/internal/config"
)

func newKeyCmd(opts *options) *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Grant, withdraw and list keys"}
	cmd.AddCommand(newKeyGrantCmd(opts), newKeyWithdrawCmd(opts), newKeyListCmd(opts))
	return cmd
}

func newKeyGrantCmd(opts *options) *cobra.Command {
	return &cobra.Command{
		Use: "grant TEAM", Short: "Grant a key to a team; it is shown only once", Args: exactArgs(1),
		Example: "  turmericspread key grant settlement",
		RunE: func(cmd *cobra.Command, args []string) error {
			var granted struct {
				ID      string `json:"id"`
				Key     string `json:"key"`
				Team    string `json:"team"`
				Version int64  `json:"version"`
			}
			body := struct {
				Team string `json:"team"`
			}{args[0]}
			if err := opts.client().Call(cmd.Context(), http.MethodPost, "/v1/keys", body, &granted); err != nil {
				return err
			}
			return opts.print(granted, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "ID\tTEAM\tKEY\tVERSION\n%s\t%s\t%s\t%d\n", granted.ID, granted.Team, granted.Key, granted.Version)
			})
		},
	}
}

func newKeyWithdrawCmd(opts *options) *cobra.Command {
	return &cobra.Command{
		Use: "withdraw ID", Short: "Withdraw a key", Args: exactArgs(1),
		Example: "  turmericspread key withdraw 5f0c91ab",
		RunE: func(cmd *cobra.Command, args []string) error {
			var accepted struct {
				Version int64 `json:"version"`
			}
			if err := opts.client().Call(cmd.Context(), http.MethodDelete, "/v1/keys/"+url.PathEscape(args[0]), nil, &accepted); err != nil {
				return err
			}
			return opts.print(accepted, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "withdrawn as of version %d\n", accepted.Version)
			})
		},
	}
}

func newKeyListCmd(opts *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the granted keys", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			tables := config.New()
			if err := opts.client().Call(cmd.Context(), http.MethodGet, configPath, nil, tables); err != nil {
				return err
			}
			type row struct {
				ID   string `json:"id"`
				Team string `json:"team"`
			}
			rows := []row{}
			for _, id := range slices.Sorted(maps.Keys(tables.Keys)) {
				rows = append(rows, row{id, tables.Keys[id].Team})
			}
			return opts.print(rows, func(w io.Writer) {
				_, _ = fmt.Fprintln(w, "ID\tTEAM")
				for _, r := range rows {
					_, _ = fmt.Fprintf(w, "%s\t%s\n", r.ID, r.Team)
				}
			})
		},
	}
}

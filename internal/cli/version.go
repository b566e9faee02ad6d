package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersionCmd(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			_, err := fmt.Fprintln(opts.stdout, "turmericspread", version)
			return err
		},
	}
}

package cli

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/settings"
	"turmericspread.org/turmericspread/internal/standin"
)

// newCheckCmd returns the command that checks files without contacting a cell.
func newCheckCmd(opts *options) *cobra.Command {
	var settingsFile, tablesFile, cellFile, hostFile string
	cmd := &cobra.Command{
		Use:   "check [--settings FILE] [--host-settings FILE] [--tables FILE [--cell FILE]]",
		Short: "Check settings and tables without a cell",
		Example: `  turmericspread check --settings examples/co-operative/entry.ini
  turmericspread check --tables examples/tawfiq/tables.ini --cell examples/tawfiq/cell.ini`,
		Args: exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			if settingsFile == "" && tablesFile == "" && hostFile == "" {
				return badInput{errors.New("check: give --settings, --tables or both, or --host-settings")}
			}
			if hostFile != "" {
				if _, err := settings.LoadHost(hostFile); err != nil {
					return badInput{err}
				}
			}
			if settingsFile != "" {
				if _, err := settings.Load(settingsFile); err != nil {
					return badInput{err}
				}
			}
			if tablesFile != "" {
				if err := checkTables(tablesFile, cellFile); err != nil {
					return badInput{err}
				}
			}
			_, err := fmt.Fprintln(opts.stdout, "ok")
			return err
		},
	}
	cmd.Flags().StringVar(&settingsFile, "settings", "", "settings file")
	cmd.Flags().StringVar(&hostFile, "host-settings", "", "settings file of an entry host whose workers check fencing tokens")
	cmd.Flags().StringVar(&tablesFile, "tables", "", "tables file")
	cmd.Flags().StringVar(&cellFile, "cell", "", "cell file, which names the services that minions serve")
	return cmd
}

// checkTables checks a tables file and, if cellFile is not empty, that minions of that
// cell serve the services of the pools.
func checkTables(tablesFile, cellFile string) (err error) {
	tables, err := config.Load(tablesFile)
	if err != nil || cellFile == "" {
		return err
	}
	cell, err := standin.LoadCell(cellFile)
	if err != nil {
		return err
	}
	services := []string{}
	for _, host := range cell.Hosts {
		if host.Kind == hostlist.KindMinion {
			services = append(services, host.Service)
		}
	}
	if err := tables.Check(services); err != nil {
		return fmt.Errorf("file %s: %w", tablesFile, err)
	}
	return nil
}

func newSettingsCmd(opts *options) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "settings --settings FILE",
		Short:   "Print the effective settings",
		Example: "  turmericspread settings --settings examples/tawfiq/entry.ini",
		Args:    exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			set, err := settings.Load(file)
			if err != nil {
				return badInput{err}
			}
			_, err = fmt.Fprint(opts.stdout, set)
			return err
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/settings"
	"turmericspread.org/turmericspread/internal/standin"
	"turmericspread.org/turmericspread/internal/tablecheck"
	"turmericspread.org/turmericspread/internal/work"
)

// checkFlags holds the flags of the check command.
type checkFlags struct {
	settings, hostSettings string
	tables, cell           string
	config                 string
	inForce                string
	inForceHost            bool
	json                   bool
}

// newCheckCmd returns the command that checks files before they are used or sent.
func newCheckCmd(opts *options) *cobra.Command {
	var f checkFlags
	cmd := &cobra.Command{
		Use:   "check [--settings FILE] [--host-settings FILE] [--tables FILE [--cell FILE] | --config FILE] [--in-force FILE | --in-force-host]",
		Short: "Check settings and configuration before they are used",
		Long: `Check settings and the operators' configuration before they are used or sent. The
configuration is a tables file or, with --config, a file with the value that is written to the
platform's store. Report errors, entries that can never match, limits that contradict each other,
and what differs from the version in force. Keys are shown as the first digits of their hash.

Exit statuses: 0 fine, 1 warnings, 2 errors.`,
		Example: `  turmericspread check --settings examples/co-operative/entry.ini
  turmericspread check --tables examples/tawfiq/tables.ini --cell examples/tawfiq/cell.ini
  turmericspread check --config new.json --in-force old.json --json`,
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd.Context(), opts) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.settings, "settings", "", "settings file")
	flags.StringVar(&f.hostSettings, "host-settings", "", "settings file of an entry host whose workers check fencing tokens")
	flags.StringVar(&f.tables, "tables", "", "tables file")
	flags.StringVar(&f.cell, "cell", "", "cell file, which names the services and data centres of the minions")
	flags.StringVar(&f.config, "config", "", "file with the configuration in the form of the platform's store")
	flags.StringVar(&f.inForce, "in-force", "", "file with the version in force, in the same form")
	flags.BoolVar(&f.inForceHost, "in-force-host", false, "read the tables in force from the entry host at --address")
	flags.BoolVar(&f.json, "json", false, "print the report as JSON, like --output json")
	return cmd
}

// checkReport is the result of a check.
type checkReport struct {
	Findings []tablecheck.Finding `json:"findings"`
	Changes  []string             `json:"changes"` // since the version in force
}

// run checks the files that the flags name and prints a report.
func (f *checkFlags) run(ctx context.Context, opts *options) (err error) {
	switch {
	case f.settings == "" && f.tables == "" && f.config == "" && f.hostSettings == "":
		return badInput{errors.New("check: give --settings, --tables or both, --host-settings, or --config")}
	case f.tables != "" && f.config != "":
		return badInput{errors.New("check: give either --tables or --config")}
	case f.inForceHost && (f.tables == "" || f.inForce != ""):
		return badInput{errors.New("check: --in-force-host needs --tables, and no --in-force")}
	case f.inForce != "" && f.tables == "" && f.config == "":
		return badInput{errors.New("check: --in-force needs --tables or --config")}
	}
	report := &checkReport{Findings: []tablecheck.Finding{}, Changes: []string{}}
	if err := f.check(ctx, opts, report); err != nil {
		if !f.json {
			return badInput{err}
		}
		report.Findings = []tablecheck.Finding{{Level: tablecheck.Error, Entry: "file", Text: err.Error()}}
	}
	if f.json {
		opts.output = "json"
	}
	if err := opts.print(report, report.print); err != nil {
		return err
	}
	return report.err()
}

// check checks the files and adds to the report. An error is that of a file that cannot be read
// or decoded, or of a host that does not tell the version in force.
func (f *checkFlags) check(ctx context.Context, opts *options, report *checkReport) (err error) {
	if f.hostSettings != "" {
		if _, err := settings.LoadHost(f.hostSettings); err != nil {
			return err
		}
	}
	if f.settings != "" {
		if _, err := settings.Load(f.settings); err != nil {
			return err
		}
	}
	switch {
	case f.tables != "":
		return f.checkTables(ctx, opts, report)
	case f.config != "":
		return f.checkConfig(opts, report)
	}
	return nil
}

// print writes the report in human-readable form.
func (r *checkReport) print(w io.Writer) {
	for _, line := range r.Changes {
		_, _ = fmt.Fprintln(w, line)
	}
	for _, finding := range r.Findings {
		_, _ = fmt.Fprintln(w, finding)
	}
	if len(r.Findings) == 0 {
		_, _ = fmt.Fprintln(w, "ok")
	}
}

// err returns an error that names the first finding, or nil if there is none.
func (r *checkReport) err() error {
	if len(r.Findings) == 0 {
		return nil
	}
	err := fmt.Errorf("check: %v", r.Findings[0])
	if more := len(r.Findings) - 1; more > 0 {
		err = fmt.Errorf("%w; %d more", err, more)
	}
	if r.Findings[0].Level == tablecheck.Error {
		return badInput{err}
	}
	return err
}

// checkTables checks a tables file, against a cell file if there is one.
func (f *checkFlags) checkTables(ctx context.Context, opts *options, report *checkReport) (err error) {
	tables, err := config.Load(f.tables)
	if err != nil {
		return err
	}
	var known tablecheck.Cell
	if f.cell != "" {
		cell, err := standin.LoadCell(f.cell)
		if err != nil {
			return err
		}
		known = tablecheck.Cell{Services: []string{}, Places: []string{}}
		for _, host := range cell.Hosts {
			if host.Kind == hostlist.KindMinion {
				known.Services = append(known.Services, host.Service)
			}
			known.Places = append(known.Places, host.Place)
		}
	}
	inForce := config.New()
	switch {
	case f.inForceHost:
		if err := opts.client().Call(ctx, http.MethodGet, configPath, nil, inForce); err != nil {
			return err
		}
		// Keys stay when the tables are replaced.
		tables.Keys = inForce.Keys
	case f.inForce != "":
		if inForce, err = config.Load(f.inForce); err != nil {
			return err
		}
	}
	if f.inForceHost || f.inForce != "" {
		report.Changes = append(report.Changes, config.Diff(inForce, tables)...)
	}
	report.Findings = append(report.Findings, tablecheck.CheckConfig(tables, known)...)
	return nil
}

// checkConfig checks a file with the configuration in the form of the platform's store.
func (f *checkFlags) checkConfig(opts *options, report *checkReport) (err error) {
	tables, err := opts.loadConfig(f.config)
	if err != nil {
		return err
	}
	if f.inForce != "" {
		inForce, err := opts.loadConfig(f.inForce)
		if err != nil {
			return err
		}
		changes, findings := tablecheck.Diff(inForce, tables)
		report.Changes = append(report.Changes, changes...)
		report.Findings = append(report.Findings, findings...)
	}
	report.Findings = append(report.Findings, tablecheck.Check(tables)...)
	return nil
}

// loadConfig reads a configuration in the form of the platform's store.
func (o *options) loadConfig(name string) (tables *work.Tables, err error) {
	if o.DecodeTables == nil {
		return nil, errors.New("check: this program cannot decode the platform's form of the configuration")
	}
	value, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	tables, err = o.DecodeTables(value)
	if err != nil {
		return nil, fmt.Errorf("file %s: %w", name, err)
	}
	return tables, nil
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

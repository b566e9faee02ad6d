package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/pkg/client"
)

func newSubmitCmd(opts *options) *cobra.Command {
	spec := client.Spec{}
	var cores float64
	var payload string
	var wait bool
	cmd := &cobra.Command{
		Use:   "submit ROUTE",
		Short: "Submit a job",
		Long:  "Submit a job by its route. The job is durable when the command succeeds.",
		Example: `  turmericspread submit report --tasks 4 --cores 0.5 --memory-mb 256 --payload '{"sleep-ms":200}'
  turmericspread submit settle --id settlement-2026-12-04 --wait`,
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			spec.Route = args[0]
			const milli = 1000
			spec.Want.MilliCores = int64(cores * milli)
			if payload != "" {
				if !json.Valid([]byte(payload)) {
					return badInput{fmt.Errorf("flag --payload: value %q: allowed: JSON", payload)}
				}
				spec.Payload = json.RawMessage(payload)
			}
			job, err := opts.client().Submit(cmd.Context(), spec)
			if err == nil && wait {
				job, err = opts.client().Wait(cmd.Context(), job.ID)
			}
			if err != nil {
				return err
			}
			return printResult(opts, job, wait)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&spec.SubmissionID, "id", "", "submission id: a repeated submission finds the same job")
	flags.IntVar(&spec.Tasks, "tasks", 1, "number of tasks")
	flags.Float64Var(&cores, "cores", 1, "cores of each task")
	flags.Int64Var(&spec.Want.MemoryMB, "memory-mb", 256, "memory of each task in MB")
	flags.Int64Var(&spec.Want.Accelerators, "accelerators", 0, "accelerators of each task")
	flags.StringVar(&payload, "payload", "", "JSON passed to each task")
	flags.BoolVar(&wait, "wait", false, "wait until the job has ended")
	return cmd
}

// printResult prints a job. If the command waited for the job, it returns an error unless
// the job succeeded.
func printResult(opts *options, job *client.Job, waited bool) error {
	if err := printJob(opts, job); err != nil {
		return err
	}
	if waited && job.State != "done" {
		return fmt.Errorf("job %s is %s: %w", job.ID, job.State, errJobFailed)
	}
	return nil
}

func printJob(opts *options, job *client.Job) error {
	return opts.print(job, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "JOB\tKIND\tSTATE\tTASKS\tREASON\n%s\t%s\t%s\t%s\t%s\n", job.ID, job.Kind, job.State, formatCounts(job.Counts), job.Reason)
		_, _ = fmt.Fprintf(w, "\nTASK\tSTATE\tWORKER\tOUTPUT\n")
		for _, t := range job.Tasks {
			_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", t.Index, t.State, t.Worker, t.Output)
		}
	})
}

// formatCounts formats the number of tasks in each state.
func formatCounts(m map[string]int) string {
	var parts []string
	for state, n := range m {
		parts = append(parts, fmt.Sprintf("%d %s", n, state))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func newJobCmd(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "job JOB",
		Short:   "Show a job",
		Example: "  turmericspread job settlement.5f0c",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := opts.client().Get(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return printJob(opts, job)
		},
	}
}

func newExplainCmd(opts *options) *cobra.Command {
	var logFile string
	var late bool
	cmd := &cobra.Command{
		Use:   "explain JOB [--log FILE]",
		Short: "Explain why a job waits and how it was scheduled",
		Long: `Explain why a job waits and how it was scheduled. The information comes from a
running cell or, with --log, from the collected logs of its hosts. With --late, sum
up what all late jobs in the logs waited for.`,
		Example: `  turmericspread explain settlement.5f0c
  turmericspread explain 5c0e7a21d94b36f8 --log hosts.log
  turmericspread explain --late --log hosts.log`,
		Args: func(cmd *cobra.Command, args []string) error {
			if late {
				return exactArgs(0)(cmd, args)
			}
			return exactArgs(1)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			switch {
			case late && logFile == "":
				return badInput{errs.New("--late needs --log")}
			case late:
				return explainLateJobs(opts, logFile)
			case logFile != "":
				return explainLog(opts, logFile, args[0])
			}
			job, err := opts.client().Explain(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return opts.print(job, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "job %s of kind %s is %s: %s\n", job.ID, job.Kind, job.State, formatCounts(job.Counts))
				for _, line := range job.Standing {
					_, _ = fmt.Fprintf(w, "- %s\n", line)
				}
				for _, note := range job.History {
					_, _ = fmt.Fprintf(w, "%s\t%s\n", note.Time.Format("15:04:05.000"), note.Text)
				}
			})
		},
	}
	cmd.Flags().BoolVar(&late, "late", false, "sum up what all late jobs in the logs waited for")
	cmd.Flags().StringVar(&logFile, "log", "", "collected logs of the hosts, or - for standard input")
	return cmd
}

func newWaitCmd(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "wait JOB",
		Short:   "Wait until a job has ended",
		Example: "  turmericspread wait settlement.5f0c",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := opts.client().Wait(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return printResult(opts, job, true)
		},
	}
}

func newCancelCmd(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "cancel JOB",
		Short:   "Cancel a job",
		Example: "  turmericspread cancel weather.91ab",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := opts.client().Cancel(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return printJob(opts, job)
		},
	}
}

func newRequestCmd(opts *options) *cobra.Command {
	var body string
	cmd := &cobra.Command{
		Use:     "request ROUTE",
		Short:   "Send a request and print the whole answer",
		Example: `  turmericspread request bid --body '{"lot":7,"price":120}'`,
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data := []byte(body)
			if body == "-" {
				var err error
				if data, err = io.ReadAll(os.Stdin); err != nil {
					return err
				}
			}
			answer, err := opts.client().Request(cmd.Context(), args[0], data)
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintln(opts.stdout, string(answer.Body)); err != nil {
				return err
			}
			if answer.Status >= 400 {
				return errors.New("the minion answered with status " + fmt.Sprint(answer.Status))
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&body, "body", "", "body of the request; - reads standard input")
	return cmd
}

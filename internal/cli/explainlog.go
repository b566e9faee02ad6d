package cli

import (
	"fmt"
	"io"
	"os"

	"turmericspread.org/turmericspread/internal/logstory"
)

// openLog opens a file with collected logs. The name - means standard input.
func openLog(name string) (in io.ReadCloser, err error) {
	if name == "-" {
		return io.NopCloser(os.Stdin), nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, badInput{err}
	}
	return file, nil
}

// explainLog prints the lines about one job from the logs of the hosts, and a summary
// of what it waited for.
func explainLog(opts *options, name, job string) (err error) {
	in, err := openLog(name)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	lines, err := logstory.Read(in, job)
	if err != nil {
		return badInput{err}
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(opts.stdout, line); err != nil {
			return err
		}
	}
	if cause := logstory.Cause(lines); cause != "" {
		_, err = fmt.Fprintln(opts.stdout, cause)
	}
	return err
}

// explainLateJobs prints one line per queue on what its late jobs waited for.
func explainLateJobs(opts *options, name string) (err error) {
	in, err := openLog(name)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	list, err := logstory.LateJobs(in)
	if err != nil {
		return badInput{err}
	}
	for _, q := range list {
		if _, err := fmt.Fprintln(opts.stdout, q); err != nil {
			return err
		}
	}
	return nil
}

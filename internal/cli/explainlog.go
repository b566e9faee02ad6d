package cli

import (
	"fmt"
	"io"
	"os"

	"turmericspread.org/turmericspread/internal/logstory"
)

// openLog opens collected logs; - is standard input.
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

// explainLog prints the story of one job from the logs of the hosts.
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

// explainLate prints where the time of all late jobs went, a line a queue.
func explainLate(opts *options, name string) (err error) {
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

package cli

import (
	"fmt"
	"io"
	"os"

	"turmericspread.org/turmericspread/internal/logstory"
)

// explainLog prints the story of one job from the logs of the hosts.
func explainLog(opts *options, name, job string) (err error) {
	var in io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return badInput{err}
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	lines, err := logstory.Read(in, job)
	if err != nil {
		return badInput{err}
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(opts.stdout, line); err != nil {
			return err
		}
	}
	return nil
}

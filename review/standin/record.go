package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the time since
// the start of the case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (r *recorder, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

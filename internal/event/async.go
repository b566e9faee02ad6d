package event

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// asyncLines is how many log lines wait for a slow reader before lines are
// dropped and counted.
const asyncLines = 4096

// AsyncWriter passes lines on without ever blocking the writer.
type AsyncWriter struct {
	diode.Writer
}

// NewAsyncWriter returns a writer in front of w. When w is too slow, the
// oldest lines are dropped and a line tells how many.
func NewAsyncWriter(w io.Writer) (a *AsyncWriter) {
	log := NewLogger(w, "info", "json")
	return &AsyncWriter{diode.NewWriter(w, asyncLines, 0, func(missed int) {
		LogLinesDropped.Log(log).Int("lines", missed).Send()
	})}
}

// Close writes what is left. Its error is that of w and cannot be logged.
func (a *AsyncWriter) Close() { _ = a.Writer.Close() }

package event

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// asyncBufferLines is the number of log lines that are buffered for a slow reader.
// Lines beyond it are dropped and counted.
const asyncBufferLines = 4096

// AsyncWriter buffers log lines, so that writing one never blocks.
type AsyncWriter struct {
	diode.Writer
}

// NewAsyncWriter returns an AsyncWriter that writes to w. If w is too slow, the
// oldest lines are dropped and a log line reports how many.
func NewAsyncWriter(w io.Writer) (a *AsyncWriter) {
	log := NewLogger(w, "info", "json")
	return &AsyncWriter{diode.NewWriter(w, asyncBufferLines, 0, func(missed int) {
		LogLinesDropped.Log(log).Int("lines", missed).Send()
	})}
}

// Close writes the buffered lines. The error is ignored: it comes from the log's
// own output, so it cannot be logged.
func (a *AsyncWriter) Close() { _ = a.Writer.Close() }

package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDemo(t *testing.T) {
	var out, errs bytes.Buffer
	begin := time.Now()
	status := Main(context.Background(), []string{"demo"}, &out, &errs)
	assert.Equal(t, status, 0, "%s%s", out.String(), errs.String())
	assert.Assert(t, time.Since(begin) < 30*time.Second)
	for _, step := range []string{"request", "batch", "service", "gang", "cancel"} {
		assert.Assert(t, strings.Contains(out.String(), step), out.String())
	}
}

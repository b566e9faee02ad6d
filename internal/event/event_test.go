package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCatalogue checks that docs/EVENTS.md lists exactly the events of the code.
func TestCatalogue(t *testing.T) {
	data, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	page := string(data)
	seen := map[int]bool{}
	for _, e := range All() {
		assert.Assert(t, !seen[e.Number], "event %d is defined twice", e.Number)
		seen[e.Number] = true
		row := fmt.Sprintf("| %d | %s | %s |", e.Number, e.Level, e.Message)
		assert.Assert(t, strings.Contains(page, row+"\n"), "docs/EVENTS.md lacks the row %s", row)
	}
	assert.Equal(t, strings.Count(page, "\n| 1"), len(All()), "docs/EVENTS.md has rows of events that do not exist")
}

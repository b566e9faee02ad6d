package work

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// TestDecodeJobBoundsLists guards against lists of empty elements, which take far more memory
// decoded than encoded.
func TestDecodeJobBoundsLists(t *testing.T) {
	largest := &Job{ID: "0123456789abcdef", Queue: "queue"}
	for i := range MaxSteps {
		largest.Steps = append(largest.Steps, Step{Count: 1, After: make([]int, i)})
	}
	data, err := EncodeJob(largest)
	assert.NilError(t, err)
	decoded, err := DecodeJob(data)
	assert.NilError(t, err)
	assert.NilError(t, decoded.Check())
	steps := make([]map[int]any, MaxSteps+1)
	for i := range steps {
		steps[i] = map[int]any{}
	}
	for name, value := range map[string]any{
		"steps": map[int]any{5: steps},
		"after": map[int]any{5: []map[int]any{{4: make([]int, MaxSteps+1)}}},
	} {
		data, err := cbor.Marshal(value)
		assert.NilError(t, err)
		_, err = DecodeJob(data)
		assert.Check(t, err != nil, name)
	}
}

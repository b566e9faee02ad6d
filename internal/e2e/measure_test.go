package e2e

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// BenchmarkRequests measures requests through six entry hosts. The load generator runs
// as a separate process. The overload case sends twice the capacity: 16 minions with 8
// slots each that take 20 ms per request serve 6,400 requests per second.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []int{500, 2000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) { measureLoad(b, rate, "{}") })
	}
	b.Run("overload", func(b *testing.B) { measureLoad(b, 12800, `{"sleep-ms":20}`) })
}

// measureLoad sends requests at a fixed rate to a new cell and logs the latencies and
// outcomes.
func measureLoad(b *testing.B, rate int, body string) {
	c := newCluster(b, 6)
	var addresses []string
	for _, caller := range c.clients {
		addresses = append(addresses, caller.Address)
	}
	out, err := exec.Command(filepath.Join(binDir, "standin"), "load", "--address", strings.Join(addresses, ","),
		"--key", c.keys["settlement"], "--rate", fmt.Sprint(rate), "--duration", "5s", "--body", body).CombinedOutput()
	if err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	b.Log(string(out))
	c.checkStandIns()
}

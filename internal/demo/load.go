package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"turmericspread.org/turmericspread/pkg/client"
)

// loadOptions describe a load: requests sent on a schedule, whatever the
// answers do, so that waiting is counted.
type loadOptions struct {
	addresses []string
	key       string
	route     string
	body      string
	rate      int
	duration  time.Duration
	warmup    time.Duration
}

// loadResult counts outcomes and holds the latencies in microseconds.
type loadResult struct {
	mu        sync.Mutex
	outcomes  map[string]int
	latencies *hdrhistogram.Histogram
}

func newLoadCmd(stdout io.Writer) *cobra.Command {
	opts := loadOptions{}
	cmd := &cobra.Command{
		Use:     "load --address ADDRESS --key KEY",
		Short:   "Send requests at a fixed rate and print latencies and outcomes",
		Example: "  standin load --address 127.0.0.1:17020,127.0.0.1:17021 --key KEY --rate 2000 --duration 10s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result := load(cmd.Context(), opts)
			h := result.latencies
			_, err := fmt.Fprintf(stdout, "rate %d/s for %s: outcomes %v; latency us: p50 %d, p99 %d, p99.9 %d, max %d\n",
				opts.rate, opts.duration, result.outcomes,
				h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max())
			return err
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&opts.addresses, "address", nil, "entry hosts, used in turn")
	flags.StringVar(&opts.key, "key", "", "team key")
	flags.StringVar(&opts.route, "route", "bid", "route of the requests")
	flags.StringVar(&opts.body, "body", "{}", "body of the requests")
	flags.IntVar(&opts.rate, "rate", 1000, "requests a second")
	flags.DurationVar(&opts.warmup, "warmup", time.Second, "time at the start that is not counted")
	flags.DurationVar(&opts.duration, "duration", 10*time.Second, "length of the load")
	_ = cmd.MarkFlagRequired("address")
	_ = cmd.MarkFlagRequired("key")
	return cmd
}

func load(ctx context.Context, opts loadOptions) *loadResult {
	const maxMicros, digits, idle = 60_000_000, 3, 512
	result := &loadResult{outcomes: map[string]int{}, latencies: hdrhistogram.New(1, maxMicros, digits)}
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}}
	var callers []*client.Client
	for _, address := range opts.addresses {
		callers = append(callers, &client.Client{Address: address, Key: opts.key, HTTP: httpClient})
	}
	begin := time.Now()
	var group sync.WaitGroup
	counted := begin.Add(opts.warmup)
	for i := range int(float64(opts.rate) * (opts.warmup + opts.duration).Seconds()) {
		due := begin.Add(time.Duration(i) * time.Second / time.Duration(opts.rate))
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			_, err := callers[i%len(callers)].Request(ctx, opts.route, []byte(opts.body))
			if !due.Before(counted) {
				result.record(time.Since(due), err)
			}
		})
	}
	group.Wait()
	return result
}

func (r *loadResult) record(latency time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var refused *client.Error
	switch {
	case err == nil:
		r.outcomes["done"]++
		_ = r.latencies.RecordValue(max(1, latency.Microseconds()))
	case errors.As(err, &refused):
		r.outcomes[refused.Outcome]++
	default:
		r.outcomes["error"]++
	}
}

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

// loadOptions describes a load test. The requests are sent at a fixed rate that does
// not depend on the responses. Latencies are measured from the scheduled time of a
// request, so that they include the time a request waits behind slow ones.
type loadOptions struct {
	addresses []string
	key       string
	route     string
	body      string
	rate      int
	duration  time.Duration
	warmup    time.Duration
}

// loadResult holds the number of requests by outcome and the latencies of the
// successful requests in microseconds.
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
			result := sendLoad(cmd.Context(), opts)
			h := result.latencies
			_, err := fmt.Fprintf(stdout, "rate %d/s for %s: outcomes %v; latency us: p50 %d, p99 %d, p99.9 %d, max %d\n",
				opts.rate, opts.duration, result.outcomes,
				h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max())
			return err
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&opts.addresses, "address", nil, "addresses of entry hosts, used in turn")
	flags.StringVar(&opts.key, "key", "", "team key")
	flags.StringVar(&opts.route, "route", "bid", "route of each request")
	flags.StringVar(&opts.body, "body", "{}", "body of each request")
	flags.IntVar(&opts.rate, "rate", 1000, "requests per second")
	flags.DurationVar(&opts.warmup, "warmup", time.Second, "initial time whose requests are not counted")
	flags.DurationVar(&opts.duration, "duration", 10*time.Second, "duration of the load after the warm-up")
	_ = cmd.MarkFlagRequired("address")
	_ = cmd.MarkFlagRequired("key")
	return cmd
}

// sendLoad sends the requests and returns when all have ended. A request that is due
// is sent even if earlier ones are still in progress.
func sendLoad(ctx context.Context, opts loadOptions) *loadResult {
	const maxMicros, digits, maxIdleConns = 60_000_000, 3, 512
	result := &loadResult{outcomes: map[string]int{}, latencies: hdrhistogram.New(1, maxMicros, digits)}
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	var clients []*client.Client
	for _, address := range opts.addresses {
		clients = append(clients, &client.Client{Address: address, Key: opts.key, HTTP: httpClient})
	}
	begin := time.Now()
	var group sync.WaitGroup
	warmupEnd := begin.Add(opts.warmup)
	for i := range int(float64(opts.rate) * (opts.warmup + opts.duration).Seconds()) {
		due := begin.Add(time.Duration(i) * time.Second / time.Duration(opts.rate))
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			_, err := clients[i%len(clients)].Request(ctx, opts.route, []byte(opts.body))
			if !due.Before(warmupEnd) {
				result.record(time.Since(due), err)
			}
		})
	}
	group.Wait()
	return result
}

// record counts the outcome of a request, and its latency if it succeeded.
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

package proof

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/slot"
	"turmericspread.org/turmericspread/internal/standin"
)

const basicTables = `
[team red]
share = 1
limit = 1000

[team blue]
share = 1
limit = 1000

[pool bidding]
kind = request
service = hay-auction
timeout = 3s
idempotent = false

[pool listing]
kind = request
service = hay-auction
timeout = 5s

[pool reports]
kind = batch
retries = 3
preemptible = true

[pool settling]
kind = batch
idempotent = false

[pool watching]
kind = service

[pool matching]
kind = gang
retries = 2

[route bid]
pool = bidding

[route list]
pool = listing

[route report]
pool = reports

[route settle]
pool = settling

[route watch]
pool = watching

[route match]
pool = matching
`

// TestCell runs a request and a job in a cell without faults.
func TestCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, smallCell(1))
		defer c.close()
		c.configure(mustTables(t, basicTables))
		ctx := context.Background()
		e := c.proc(0).entry
		pool, err := e.Tables().PoolOf("bid")
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		reqCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		answer := e.Request(reqCtx, "red", "bid", pool, []byte(`{"output":"x"}`))
		assert.Equal(t, answer.Outcome, slot.OutcomeDone, answer.Reason)
		reply, err := e.Submit(ctx, "red", "red.a", spec("report", 20, 1, standin.Work{SleepMS: 500, Output: "ok"}))
		assert.NilError(t, err)
		assert.Equal(t, string(reply.Refused), "", reply.Reason)
		reply, err = c.proc(1).entry.Get(ctx, job.Ref{Team: "red", ID: "red.a", WaitMS: 20000})
		assert.NilError(t, err)
		assert.Equal(t, reply.Job.State, job.StateDone)
		c.checkGuarantees()
	})
}

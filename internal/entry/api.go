package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/httpserve"
	"turmericspread.org/turmericspread/internal/inifile"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/slot"
)

// Headers of requests from and responses to callers.
const (
	HeaderOutcome   = "X-Outcome"
	HeaderRequestID = "X-Request-Id"
	headerTimeout   = "X-Timeout-Ms"
)

// errorBody is the body of every error response.
type errorBody struct {
	Error   string `json:"error"`
	Reason  string `json:"reason"`
	Outcome string `json:"outcome,omitempty"`
	Job     string `json:"job,omitempty"`
}

// routes registers the HTTP paths for callers and operators.
func (e *Entry) routes(srv *server.Hertz) {
	srv.POST("/v1/requests/:route", e.requireTeam(e.apiRequest))
	srv.POST("/v1/jobs", e.requireTeam(e.apiSubmitJob))
	srv.GET("/v1/jobs/:job", e.requireTeam(e.apiGetJob))
	srv.POST("/v1/jobs/:job/cancel", e.requireTeam(e.apiCancelJob))
	srv.GET("/v1/config", e.requireOperator(e.apiConfig))
	srv.PUT("/v1/config", e.requireOperator(e.apiReplaceConfig))
	srv.POST("/v1/keys", e.requireOperator(e.apiGrantKey))
	srv.DELETE("/v1/keys/:key", e.requireOperator(e.apiRevokeKey))
	srv.GET("/v1/status", e.requireOperator(e.apiStatus))
	srv.GET("/v1/dump", e.requireOperator(e.apiDump))
	srv.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
		e.publish()
		metrics.WritePrometheus(c.Response.BodyWriter(), true)
		e.callerConnections.WriteMetrics(c.Response.BodyWriter())
		e.peerConnections.WriteMetrics(c.Response.BodyWriter())
	})
	srv.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(200) })
	srv.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if !e.ready.Load() {
			c.SetStatusCode(503)
		}
	})
	srv.NoRoute(func(_ context.Context, c *app.RequestContext) {
		reject(c, 404, "not-found", "no such path")
	})
}

// reject responds that the request was not carried out.
func reject(c *app.RequestContext, status int, code, reason string) {
	c.Response.Header.Set(HeaderOutcome, string(slot.OutcomeNotRun))
	httpserve.JSON(c, status, errorBody{Error: code, Reason: reason, Outcome: string(slot.OutcomeNotRun)})
}

// respondUnknown responds that the request may or may not have been carried out.
func respondUnknown(c *app.RequestContext, status int, reason, jobID string) {
	c.Response.Header.Set(HeaderOutcome, string(slot.OutcomeUnknown))
	httpserve.JSON(c, status, errorBody{Error: "unknown", Reason: reason, Outcome: string(slot.OutcomeUnknown), Job: jobID})
}

// bodyReadFactor is the multiple of the body limit that the server still reads,
// so that the sender of a larger body gets a response instead of a broken
// connection.
const bodyReadFactor = 4

// limitBody rejects requests whose body exceeds the limit.
func (e *Entry) limitBody(ctx context.Context, c *app.RequestContext) {
	if len(c.Request.Body()) > e.Settings.Limits.BodyBytes {
		reject(c, 413, "too-large", fmt.Sprintf("the body may have at most %d bytes", e.Settings.Limits.BodyBytes))
		c.Abort()
		return
	}
	c.Next(ctx)
}

// bearerToken returns the token of the Authorization header, or an empty string.
func bearerToken(c *app.RequestContext) string {
	token, _ := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), "Bearer ")
	return token
}

// requireTeam authenticates the request and calls next with the team that its
// key belongs to.
func (e *Entry) requireTeam(next func(ctx context.Context, c *app.RequestContext, team string)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		team, err := e.tables.Load().Authenticate(bearerToken(c))
		if err != nil {
			reject(c, 401, "unauthorized", "unknown or withdrawn key")
			return
		}
		next(ctx, c, team)
	}
}

// requireOperator calls next if the request has the operator key.
func (e *Entry) requireOperator(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if !config.HashMatches(e.Settings.Operator.KeyHash, bearerToken(c)) {
			reject(c, 401, "unauthorized", "this needs the operator key")
			return
		}
		next(ctx, c)
	}
}

// apiRequest forwards a request to a minion and returns the minion's response.
func (e *Entry) apiRequest(ctx context.Context, c *app.RequestContext, team string) {
	route := c.Param("route")
	pool, err := e.tables.Load().PoolOf(route)
	if err != nil {
		reject(c, 404, "unknown-route", "no route "+route)
		return
	}
	if pool.Kind != config.KindRequest {
		reject(c, 400, "bad-request", "route "+route+" runs jobs: submit to /v1/jobs")
		return
	}
	timeout, err := callerTimeout(c, pool.Timeout())
	if err != nil {
		reject(c, 400, "bad-request", headerTimeout+" must be a positive number of milliseconds")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body := append([]byte(nil), c.Request.Body()...)
	response := e.Request(ctx, team, route, pool, body)
	c.Response.Header.Set(HeaderRequestID, response.ID)
	c.Response.Header.Set(HeaderOutcome, string(response.Outcome))
	switch response.Outcome {
	case slot.OutcomeDone:
		c.Data(response.Status, response.ContentType, response.Body)
	case slot.OutcomeNotRun:
		c.Response.Header.Set("Retry-After", "1")
		reject(c, 503, "not-run", response.Reason)
	default:
		respondUnknown(c, 504, response.Reason, "")
	}
}

// callerTimeout returns the timeout that the caller requests in a header, at
// most limit.
func callerTimeout(c *app.RequestContext, limit time.Duration) (timeout time.Duration, err error) {
	value := string(c.Request.Header.Peek(headerTimeout))
	if value == "" {
		return limit, nil
	}
	timeout, err = time.ParseDuration(value + "ms")
	if err != nil || timeout <= 0 {
		return 0, Error.New("bad %s %q", headerTimeout, value)
	}
	return min(timeout, limit), nil
}

// apiSubmitJob submits a job to the team's queue. Without a submission ID from
// the caller the job gets a random one.
func (e *Entry) apiSubmitJob(ctx context.Context, c *app.RequestContext, team string) {
	var spec job.Spec
	if err := httpserve.Decode(c, &spec); err != nil {
		reject(c, 400, "bad-request", "the body is not a job: "+err.Error())
		return
	}
	name := spec.SubmissionID
	if name == "" {
		name = newID()
	}
	if !validSubmissionID(name) {
		reject(c, 400, "bad-request", "submission-id must be 1 to 40 of a-z, 0-9 and -")
		return
	}
	id := team + "." + name
	reply, err := e.Submit(ctx, team, id, spec)
	e.respondJob(c, team, id, reply, err, 202)
}

// validSubmissionID reports whether a submission ID has at most 40 characters,
// all of a-z, 0-9 and "-". The prefix lets an ID start with a digit or "-".
func validSubmissionID(name string) bool {
	return inifile.ValidName("s"+name[:min(len(name), 39)]) && len(name) <= 40
}

// apiGetJob returns a job, and waits for its end if the query requests it.
func (e *Entry) apiGetJob(ctx context.Context, c *app.RequestContext, team string) {
	ref, ok := parseJobRef(c, team)
	if !ok {
		return
	}
	wait, err := time.ParseDuration(c.DefaultQuery("wait", "0s"))
	const maxWait = time.Minute
	if err != nil || wait < 0 || wait > maxWait {
		reject(c, 400, "bad-request", "wait must be a duration from 0s to 1m")
		return
	}
	ref.WaitMS = wait.Milliseconds()
	ref.Explain = c.Query("explain") == "true"
	reply, err := e.Get(ctx, ref)
	e.respondJob(c, team, ref.ID, reply, err, 200)
}

// apiCancelJob cancels a job.
func (e *Entry) apiCancelJob(ctx context.Context, c *app.RequestContext, team string) {
	ref, ok := parseJobRef(c, team)
	if !ok {
		return
	}
	reply, err := e.Cancel(ctx, ref)
	e.respondJob(c, team, ref.ID, reply, err, 200)
}

// parseJobRef returns the reference to the job in the path. A job of another
// team is reported as not found.
func parseJobRef(c *app.RequestContext, team string) (ref job.Ref, ok bool) {
	id := c.Param("job")
	if !strings.HasPrefix(id, team+".") {
		reject(c, 404, string(job.RefusedNotFound), "no such job")
		return job.Ref{}, false
	}
	return job.Ref{Team: team, ID: id}, true
}

// respondJob responds with a job or with the reason why the call about it failed.
func (e *Entry) respondJob(c *app.RequestContext, team, id string, reply *job.Reply, err error, status int) {
	switch {
	case err != nil && !unsent(err):
		respondUnknown(c, 504, err.Error(), id)
	case err != nil:
		reject(c, 503, "not-run", err.Error())
	case reply.Refused != "":
		reject(c, refusalStatus(reply.Refused), string(reply.Refused), reply.Reason)
	default:
		reply.Job.Team = team
		c.Response.Header.Set(HeaderOutcome, string(slot.OutcomeDone))
		httpserve.JSON(c, status, reply.Job)
	}
}

// refusalStatus returns the HTTP status for a refusal.
func refusalStatus(code job.RefusalCode) int {
	switch code {
	case job.RefusedNotFound:
		return 404
	case job.RefusedBadRequest:
		return 400
	case job.RefusedImpossible:
		return 422
	}
	return 503
}

// apiConfig returns the current tables.
func (e *Entry) apiConfig(_ context.Context, c *app.RequestContext) {
	httpserve.JSON(c, 200, e.tables.Load())
}

// apiReplaceConfig replaces the tables, provided that the new ones are based on
// the current version.
func (e *Entry) apiReplaceConfig(ctx context.Context, c *app.RequestContext) {
	tables := config.New()
	if err := json.Unmarshal(c.Request.Body(), tables); err != nil {
		reject(c, 400, "bad-request", "the body is not a set of tables: "+err.Error())
		return
	}
	e.editAndRespond(ctx, c, func(current *config.Tables) error {
		if current.Version != tables.Version {
			return &raceError{Expected: tables.Version, Current: current.Version, Diff: config.Diff(current, tables)}
		}
		// Keys are changed only by apiGrantKey and apiRevokeKey.
		current.Teams, current.Pools, current.Routes = tables.Teams, tables.Pools, tables.Routes
		return nil
	})
}

// apiGrantKey creates a key for a team and returns it.
func (e *Entry) apiGrantKey(ctx context.Context, c *app.RequestContext) {
	var body struct {
		Team string `json:"team"`
	}
	if err := httpserve.Decode(c, &body); err != nil {
		reject(c, 400, "bad-request", "the body must name a team")
		return
	}
	var granted struct {
		ID      string `json:"id"`
		Key     string `json:"key"`
		Team    string `json:"team"`
		Version int64  `json:"version"`
	}
	granted.Team = body.Team
	version, err := e.Edit(ctx, func(tables *config.Tables) (err error) {
		granted.ID, granted.Key, err = tables.Grant(body.Team)
		return err
	})
	granted.Version = version
	respondEdit(c, granted, err)
}

// apiRevokeKey revokes a key.
func (e *Entry) apiRevokeKey(ctx context.Context, c *app.RequestContext) {
	id := c.Param("key")
	e.editAndRespond(ctx, c, func(tables *config.Tables) error {
		if _, ok := tables.Keys[id]; !ok {
			return &editError{"no key " + id}
		}
		delete(tables.Keys, id)
		return nil
	})
}

// editAndRespond edits the tables and responds with the new version.
func (e *Entry) editAndRespond(ctx context.Context, c *app.RequestContext, change func(tables *config.Tables) error) {
	version, err := e.Edit(ctx, change)
	respondEdit(c, struct {
		Version int64 `json:"version"`
	}{version}, err)
}

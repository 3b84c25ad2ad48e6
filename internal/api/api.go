// Package api serves the HTTP interface of a box to callers, operators, the load balancer and monitoring.
package api

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/command"
	"github.com/pulleyring/pulleyring/internal/config"
	"github.com/pulleyring/pulleyring/internal/identity"
	"github.com/pulleyring/pulleyring/internal/ingress"
	"github.com/pulleyring/pulleyring/internal/intake"
	"github.com/pulleyring/pulleyring/internal/operator"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/internal/timeline"
	"github.com/pulleyring/pulleyring/internal/wire"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/finding"
	"github.com/pulleyring/pulleyring/pkg/request"
	"github.com/rcrowley/go-metrics"
)

// Request headers.
const (
	HeaderKey   = "Idempotency-Key"       // ID of a request, unique for its caller.
	HeaderRound = "Pulleyring-Submission" // Number of the submission of that ID, counted from 1.
)

// Limits that can't be changed in the settings.
const (
	maxWait         = 10 * time.Minute
	operatorTimeout = 60 * time.Second
	maxSiteBytes    = 16 << 20
)

// Server serves the HTTP requests of a box. Set the exported fields before use.
type Server struct {
	Settings *settings.Box
	Config   *config.Keeper
	Intake   *intake.Intake
	Operator *operator.Runner
	// Apply commits a configuration and returns its version. The argument base is the version to replace, or -1.
	Apply    func(ctx context.Context, text string, base int64) (int64, error)
	Timeline func(ctx context.Context, job string) []timeline.Event // Returns the events of all boxes.
	Registry metrics.Registry

	ready    atomic.Bool
	stopping context.Context // Ends when the box stops: waiting callers then get the state known so far.
	stop     context.CancelFunc

	metricsMu   sync.Mutex
	metricsJSON []byte // As collected at metricsAt.
	metricsAt   time.Time
}

// Handler returns the HTTP handler with all routes.
func (s *Server) Handler() http.Handler {
	s.stopping, s.stop = context.WithCancel(context.Background())
	r := chi.NewRouter()
	r.Get("/live", func(w http.ResponseWriter, _ *http.Request) { wire.Reply(w, http.StatusOK, struct{}{}) })
	r.Get("/ready", s.serveReady)
	r.Get("/metrics", s.serveMetrics)
	r.Post("/v1/requests", s.authenticateCaller(s.submit))
	r.Get("/v1/requests/{id}", s.authenticateCaller(s.status))
	r.Post("/v1/ask", s.authenticateOperator(s.command))
	r.Put("/v1/site", s.authenticateOperator(s.apply))
	r.Get("/v1/timeline", s.authenticateOperator(s.timeline))
	return r
}

// SetReady sets whether the box reports to the load balancer that it accepts new requests.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Leave answers all waiting callers with the state known so far. Otherwise a planned stop would have to wait for gangs
// that run for hours.
func (s *Server) Leave() { s.stop() }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() || !s.Config.Known() {
		writeProblem(w, http.StatusServiceUnavailable, "the box takes no new work", nil)
		return
	}
	wire.Reply(w, http.StatusOK, struct{}{})
}

// metricsAge is the time for which the metrics are served as they were collected. Collecting them sorts the samples of
// all histograms.
const metricsAge = time.Second

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(s.metrics()) // An error means that the client has disconnected.
}

// metrics returns the metrics in JSON, at most metricsAge old.
func (s *Server) metrics() []byte {
	s.metricsMu.Lock()
	defer s.metricsMu.Unlock()
	if s.metricsJSON == nil || time.Since(s.metricsAt) > metricsAge {
		var text bytes.Buffer
		metrics.WriteJSONOnce(s.Registry, &text)
		s.metricsJSON, s.metricsAt = text.Bytes(), time.Now()
	}
	return s.metricsJSON
}

// writeProblem writes a problem document.
func writeProblem(w http.ResponseWriter, status int, title string, findings finding.List) {
	// Encoding this struct never fails.
	raw, _ := json.Marshal(request.Problem{Type: "about:blank", Title: title, Status: status, Findings: findings})
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // An error means that the client has disconnected.
}

// callerHandler serves a request of an authenticated caller.
type callerHandler func(w http.ResponseWriter, r *http.Request, caller contract.Caller)

// operatorHandler serves a request of an authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, name string)

func (s *Server) authenticateCaller(h callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.Config.Site() == nil { // No caller can be authenticated yet.
			w.Header().Set("Retry-After", "1")
			writeProblem(w, http.StatusServiceUnavailable, "no configuration is in force in this box yet", nil)
			return
		}
		name, key, err := identity.Name(r)
		caller, _ := s.Config.Caller(name)
		if !identity.Matches(key, caller.KeyHash) || err != nil {
			writeProblem(w, http.StatusUnauthorized, identity.ErrUnknown.Error(), nil)
			return
		}
		h(w, r, caller)
	}
}

func (s *Server) authenticateOperator(h operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, key, err := identity.Name(r)
		if !identity.Matches(key, s.operatorHash(name)) || err != nil {
			writeProblem(w, http.StatusUnauthorized, identity.ErrUnknown.Error(), nil)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
		defer cancel()
		h(w, r.WithContext(ctx), name)
	}
}

// operatorHash returns the hash of an operator's key from the settings, or else from the configuration in force.
// It is empty if the operator is unknown.
func (s *Server) operatorHash(name string) string {
	for _, o := range s.Settings.Operators {
		if o.Name == name {
			return o.KeyHash
		}
	}
	if site := s.Config.Site(); site != nil {
		for _, o := range site.Operators {
			if o.Name == name {
				return o.KeyHash
			}
		}
	}
	return ""
}

// submit validates one request, passes it to the intake and replies with its outcome.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, caller contract.Caller) {
	received := time.Now()
	o := intake.Request{Identity: request.Identity{Caller: caller.Name, ID: r.Header.Get(HeaderKey)}, Received: received}
	var findings finding.List
	o.Round = parseRound(r, &findings)
	if !s.decode(w, r, &o.Submission, &findings) {
		return
	}
	if len(findings) == 0 {
		findings = append(findings, request.Validate(s.Config.Site(), caller, o.ID, o.Submission)...)
	}
	if len(findings) > 0 {
		writeProblem(w, http.StatusUnprocessableEntity, "the request was not taken; nothing of it is kept", findings)
		return
	}
	ctx, done := s.waitContext(w, r, o.Submission.Gang > 0)
	reply := s.Intake.Submit(ctx, o)
	done()
	s.reply(w, reply)
}

func parseRound(r *http.Request, findings *finding.List) int {
	text := r.Header.Get(HeaderRound)
	if text == "" {
		return 1
	}
	round, err := strconv.Atoi(text)
	if err != nil || round < 1 {
		findings.Add("header", HeaderRound, "a whole number from 1", "%q is no number of a submission", text)
	}
	return round
}

// bodyExpansion is the memory that a body and what is decoded from it may take, as a multiple of the body's length.
const bodyExpansion = 4

// decode decodes the JSON body. It reports unknown fields, trailing data and bodies that are too large. It returns false
// if it has written the response, because the body can't be received.
func (s *Server) decode(w http.ResponseWriter, r *http.Request, into any, findings *finding.List) bool {
	raw, err := ingress.ReadBody(w, r, int64(s.Settings.Limits.BodyBytes), bodyExpansion)
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		findings.Add("body", "", strconv.Itoa(s.Settings.Limits.BodyBytes)+" bytes at most", "is too large")
		return true
	case err != nil:
		writeBodyProblem(w, err)
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(into)
	ingress.Decoded(r, len(raw))
	switch {
	case err != nil:
		findings.Add("body", "", "a JSON object of the documented fields", "%s", strings.TrimPrefix(err.Error(), "json: "))
	case decoder.More():
		findings.Add("body", "", "one JSON object", "goes on after its end")
	}
	return true
}

// writeBodyProblem writes the response to a request whose body can't be received. Nothing of it was done.
func writeBodyProblem(w http.ResponseWriter, err error) {
	status := ingress.Status(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeProblem(w, status, err.Error(), nil)
}

// waitContext returns a context that ends when the caller no longer waits for the outcome. The header
// Prefer: wait=SECONDS sets the time; without it, callers don't wait for gangs and wait maxWait for small requests.
// It also ends when the connection is needed for others. done must be called before the response is written.
func (s *Server) waitContext(w http.ResponseWriter, r *http.Request, gang bool) (ctx context.Context, done func()) {
	wait := maxWait
	if gang {
		wait = 0
	}
	if text, ok := strings.CutPrefix(r.Header.Get("Prefer"), "wait="); ok {
		if seconds, err := strconv.ParseFloat(text, 64); err == nil && seconds >= 0 {
			wait = min(time.Duration(seconds*float64(time.Second)), maxWait)
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	stop := context.AfterFunc(s.stopping, cancel)
	settled := ingress.Patient(w, r, cancel)
	return ctx, func() { stop(); settled(); cancel() }
}

// reply writes the reply to a caller with the HTTP status that fits its outcome.
func (s *Server) reply(w http.ResponseWriter, reply request.Reply) {
	status := http.StatusOK
	switch reply.Outcome {
	case request.Accepted:
		status = http.StatusAccepted
	case request.NotRun, request.Unresolved:
		if reply.RetryAfterSeconds > 0 {
			status = http.StatusServiceUnavailable
			w.Header().Set("Retry-After", strconv.Itoa(reply.RetryAfterSeconds))
		}
	}
	wire.Reply(w, status, reply)
}

// status replies with the state of a caller's earlier request.
func (s *Server) status(w http.ResponseWriter, r *http.Request, caller contract.Caller) {
	id := request.Identity{Caller: caller.Name, ID: chi.URLParam(r, "id")}
	ctx, done := s.waitContext(w, r, true)
	reply, err := s.Intake.Await(ctx, id)
	done()
	if err != nil {
		writeProblem(w, http.StatusNotFound, "no request of that id is known to this caller", nil)
		return
	}
	s.reply(w, reply)
}

// command runs an operator's command.
func (s *Server) command(w http.ResponseWriter, r *http.Request, name string) {
	var body struct {
		Command string `json:"command"`
	}
	var findings finding.List
	if !s.decode(w, r, &body, &findings) {
		return
	}
	if len(findings) > 0 {
		writeProblem(w, http.StatusUnprocessableEntity, "the command can't be read", findings)
		return
	}
	list, err := s.Operator.Run(r.Context(), name, body.Command)
	var mistake *command.Mistake
	switch {
	case errors.As(err, &mistake):
		findings.Add("command", "column "+strconv.Itoa(mistake.Column), mistake.Expected, "%s", mistake.Problem)
		writeProblem(w, http.StatusBadRequest, "the command has a mistake", findings)
	case err != nil:
		writeProblem(w, http.StatusServiceUnavailable, err.Error(), nil)
	case list.Refused:
		writeProblem(w, http.StatusConflict, list.Text, nil)
	default:
		wire.Reply(w, http.StatusOK, list)
	}
}

// apply commits a configuration. The header If-Match names the version that it replaces.
func (s *Server) apply(w http.ResponseWriter, r *http.Request, _ string) {
	raw, err := ingress.ReadBody(w, r, maxSiteBytes, 1)
	if err != nil {
		writeBodyProblem(w, err)
		return
	}
	base := int64(-1)
	if text := r.Header.Get("If-Match"); text != "" {
		if base, err = strconv.ParseInt(text, 10, 64); err != nil {
			writeProblem(w, http.StatusBadRequest, "If-Match is no version", nil)
			return
		}
	}
	version, err := s.Apply(r.Context(), string(raw), base)
	var findings finding.List
	var conflict *ConflictError
	switch {
	case errors.As(err, &findings):
		writeProblem(w, http.StatusUnprocessableEntity, "the configuration was not taken", findings)
	case errors.As(err, &conflict):
		writeProblem(w, http.StatusConflict, conflict.Error(), nil)
	case err != nil:
		writeProblem(w, http.StatusServiceUnavailable, err.Error(), nil)
	default:
		wire.Reply(w, http.StatusOK, struct {
			Version int64 `json:"version"`
		}{version})
	}
}

// ConflictError reports that another configuration was committed first.
type ConflictError struct {
	Version int64 // The version in force.
}

// Error returns a message with the version in force.
func (e *ConflictError) Error() string {
	return "another configuration was committed first; version " + strconv.FormatInt(e.Version, 10) + " is in force"
}

// timeline returns the events of all boxes.
func (s *Server) timeline(w http.ResponseWriter, r *http.Request, _ string) {
	events := s.Timeline(r.Context(), r.URL.Query().Get("job"))
	wire.Reply(w, http.StatusOK, struct {
		Events []timeline.Event `json:"events"`
	}{events})
}

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/member"
	"github.com/pulleyring/pulleyring/internal/object"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/upstream"
	"github.com/pulleyring/pulleyring/internal/wire"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"golang.org/x/time/rate"
)

// Platform serves all stand-ins of a site through one HTTP handler.
type Platform struct {
	Faults    *FaultInjector
	Table     *Table
	Objects   *Objects
	LiveList  *LiveList
	Workers   *Workers
	Executors *Executors
}

// NewPlatform returns stand-ins that share one set of faults. A rate limit of 0 means no limit.
func NewPlatform(seed uint64, writesPerSecond, readsPerSecond int, listLag time.Duration) *Platform {
	faults := NewFaultInjector(seed)
	p := &Platform{
		Faults: faults, Table: NewTable(faults), Objects: &Objects{Faults: faults}, LiveList: &LiveList{Lag: listLag},
		Workers: &Workers{Faults: faults}, Executors: &Executors{Faults: faults},
	}
	p.Table.Writes = limiter(writesPerSecond)
	p.Table.Reads = limiter(readsPerSecond)
	return p
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// maxBodyBytes is the maximum size of a request body in bytes; the rest is not read.
const maxBodyBytes = 64 << 20

// Handler returns the routes of all stand-ins.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/table/commit", p.commit)
	r.Post("/table/read", p.read)
	r.Get("/table/changes", p.changes)
	r.Put("/objects/*", p.putObject)
	r.Get("/objects/*", p.getObject)
	r.Post("/boxes", p.announce)
	r.Get("/boxes", p.boxes)
	r.Post("/workers/{name}/hold", p.hold)
	r.Post("/workers/{name}/renew", p.renew)
	r.Post("/workers/{name}/{verb}", p.step)
	r.Post("/upstreams/{name}/run", p.run)
	r.Post("/upstreams/{name}/fence", p.fence)
	r.Get("/faults", func(w http.ResponseWriter, _ *http.Request) { wire.Reply(w, http.StatusOK, p.Faults.Get()) })
	r.Put("/faults", p.setFaults)
	r.Get("/records", p.records)
	return r
}

// decode decodes a JSON body and reports whether that worked; if not, it answers with status 400.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// abortConnection closes the connection without an answer, so that the client can't know whether the request took
// effect.
func abortConnection() { panic(http.ErrAbortHandler) }

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn table.Txn
	if !decode(w, r, &txn) {
		return
	}
	revision, err := p.Table.Commit(r.Context(), txn)
	if tableError(w, err, txn.ID) {
		return
	}
	wire.Reply(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{revision})
}

// tableError answers with an error of the table, if any, and reports whether there was one. A refusal contains the
// transaction's ID txn, if there is one.
func tableError(w http.ResponseWriter, err error, txn string) bool {
	var conflict *table.Conflict
	switch {
	case err == nil:
		return false
	case errors.As(err, &conflict):
		wire.Reply(w, http.StatusConflict, conflict)
	case errors.Is(err, table.ErrUnavailable):
		wire.Reply(w, http.StatusServiceUnavailable, struct {
			Txn     string `json:"txn,omitempty"`
			Problem string `json:"problem"`
		}{txn, err.Error()})
	default:
		abortConnection()
	}
	return true
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Keys []string `json:"keys"`
	}
	if !decode(w, r, &body) {
		return
	}
	rows, err := p.Table.Read(r.Context(), body.Keys)
	if tableError(w, err, "") {
		return
	}
	wire.Reply(w, http.StatusOK, struct {
		Rows []table.Row `json:"rows"`
	}{rows})
}

func (p *Platform) changes(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get("after"), 10, 64)
	limit, errLimit := strconv.Atoi(query.Get("limit"))
	if errAfter != nil || errLimit != nil || limit < 1 {
		http.Error(w, "after and limit must be whole numbers", http.StatusBadRequest)
		return
	}
	rows, revision, err := p.Table.Changes(r.Context(), query.Get("prefix"), after, limit)
	if tableError(w, err, "") {
		return
	}
	wire.Reply(w, http.StatusOK, struct {
		Rows     []table.Row `json:"rows"`
		Revision int64       `json:"revision"`
	}{rows, revision})
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		err = p.Objects.Put(r.Context(), chi.URLParam(r, "*"), raw)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	wire.Reply(w, http.StatusOK, struct{}{})
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	raw, err := p.Objects.Get(r.Context(), chi.URLParam(r, "*"))
	switch {
	case errors.Is(err, object.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		_, _ = w.Write(raw) // An error means that the box closed the connection.
	}
}

func (p *Platform) announce(w http.ResponseWriter, r *http.Request) {
	var entry link.Entry
	if decode(w, r, &entry) {
		_ = p.LiveList.Announce(r.Context(), entry) // It never returns an error.
		wire.Reply(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) boxes(w http.ResponseWriter, r *http.Request) {
	boxes, _ := p.LiveList.Boxes(r.Context()) // It never returns an error.
	wire.Reply(w, http.StatusOK, struct {
		Boxes []member.Entry `json:"boxes"`
	}{boxes})
}

func workerFromPath(r *http.Request) contract.Worker {
	return contract.Worker{Name: chi.URLParam(r, "name")}
}

// workerError answers with an error of a worker, if any, and reports whether there was one.
func workerError(w http.ResponseWriter, err error) bool {
	switch {
	case err == nil:
		return false
	case errors.Is(err, worker.ErrRefused):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		abortConnection()
	}
	return true
}

func (p *Platform) hold(w http.ResponseWriter, r *http.Request) {
	var command worker.Order
	if !decode(w, r, &command) || workerError(w, p.Workers.Hold(r.Context(), workerFromPath(r), command)) {
		return
	}
	wire.Reply(w, http.StatusOK, struct{}{})
}

func (p *Platform) renew(w http.ResponseWriter, r *http.Request) {
	var renewal worker.Renewal
	if !decode(w, r, &renewal) {
		return
	}
	report, err := p.Workers.Renew(r.Context(), workerFromPath(r), renewal)
	if !workerError(w, err) {
		wire.Reply(w, http.StatusOK, report)
	}
}

func (p *Platform) step(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Attempt string `json:"attempt"`
		LeaseMS int64  `json:"lease_ms"`
	}
	if !decode(w, r, &body) {
		return
	}
	lease := time.Duration(body.LeaseMS) * time.Millisecond
	task, err := p.Workers.Step(r.Context(), workerFromPath(r), worker.Verb(chi.URLParam(r, "verb")), body.Attempt, lease)
	if !workerError(w, err) {
		wire.Reply(w, http.StatusOK, task)
	}
}

func (p *Platform) run(w http.ResponseWriter, r *http.Request) {
	var call upstream.Call
	if !decode(w, r, &call) {
		return
	}
	answer, err := p.Executors.Run(r.Context(), contract.Upstream{Name: chi.URLParam(r, "name")}, call)
	switch {
	case err == nil:
		wire.Reply(w, http.StatusOK, answer)
	case errors.Is(err, upstream.ErrNotRun):
		replyRefusal(w, http.StatusServiceUnavailable, call.Attempt, err)
	case errors.Is(err, upstream.ErrFailed):
		replyRefusal(w, http.StatusInternalServerError, call.Attempt, err)
	default:
		abortConnection()
	}
}

// replyRefusal answers with an error that contains the attempt. A box recognizes by it that the executor answered,
// not a proxy.
func replyRefusal(w http.ResponseWriter, status int, attempt string, err error) {
	wire.Reply(w, status, struct {
		Attempt string `json:"attempt"`
		Problem string `json:"problem"`
	}{attempt, err.Error()})
}

func (p *Platform) fence(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Attempt string `json:"attempt"`
		AgeMS   int64  `json:"age_ms"`
	}
	if !decode(w, r, &body) {
		return
	}
	age := time.Duration(body.AgeMS) * time.Millisecond
	fate, answer, err := p.Executors.Fence(r.Context(), contract.Upstream{Name: chi.URLParam(r, "name")}, body.Attempt, age)
	if err != nil {
		abortConnection()
	}
	wire.Reply(w, http.StatusOK, struct {
		Fate   upstream.Fate   `json:"fate"`
		Answer upstream.Answer `json:"answer"`
	}{fate, answer})
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if decode(w, r, &faults) {
		p.Faults.Set(faults)
		wire.Reply(w, http.StatusOK, faults)
	}
}

// Records contains what the stand-ins recorded about the work that they ran.
type Records struct {
	Runs            []Run         `json:"runs"`   // By workers.
	LostBeforeBegin []string      `json:"broken"` // Attempts that lost a worker between its go command and their beginning.
	Served          []ServedCall  `json:"served"` // By executors.
	Table           TableStats    `json:"table"`
	Executors       ExecutorStats `json:"executors"`
}

// Records returns the current records of all stand-ins.
func (p *Platform) Records() Records {
	return Records{Runs: p.Workers.Runs(), LostBeforeBegin: p.Workers.LostBeforeBegin(), Served: p.Executors.Runs(), Table: p.Table.Stats(), Executors: p.Executors.Stats()}
}

func (p *Platform) records(w http.ResponseWriter, _ *http.Request) {
	wire.Reply(w, http.StatusOK, p.Records())
}

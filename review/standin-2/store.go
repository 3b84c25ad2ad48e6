package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store (PROTOCOL, "The platform's metadata store"; DEPLOY, platform.rowBytes).
const (
	maxRowBytes   = 65536
	maxKeyBytes   = 200
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxPageRows   = 500
	maxPageBytes  = 1 << 20
	maxFeedWait   = 30 * time.Second
	storeLatency  = 4 * time.Millisecond
	serversTable  = "servers"
	operatorTable = "op"
)

// row is a row as it goes over the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a sound store: it keeps all that it has acknowledged, and refuses what exceeds its limits.
type store struct {
	record  *record
	started time.Time

	mu      sync.Mutex
	version int64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
	refused map[string]int // By reason: refused transactions.
}

func newStore(rec *record) *store {
	return &store{record: rec, started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), refused: map[string]int{}}
}

// apply changes rows and returns the version. The caller holds the lock.
func (s *store) apply(writes, removes []row) int64 {
	s.version++
	for _, w := range writes {
		w.Ver = s.version
		s.rows[rowKey{w.Table, w.Part, w.Key}] = w
		s.history = append(s.history, w)
	}
	for _, d := range removes {
		k := rowKey{d.Table, d.Part, d.Key}
		if _, found := s.rows[k]; found {
			delete(s.rows, k)
			s.history = append(s.history, row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.version, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// put writes a row for the operator or an executor and returns its version.
func (s *store) put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

// refusals returns how many transactions were refused, by reason.
func (s *store) refusals() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for reason, n := range s.refused {
		counts[reason] = n
	}
	return counts
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("GET /api/rows-parts", s.parts)
	return mux
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["nowMs"] = time.Since(s.started).Milliseconds()
	writeJSON(w, status, body)
}

// excess returns why a transaction exceeds the store's limits, or an empty text.
func excess(size int, conditions, writes, removes []row) string {
	if len(conditions)+len(writes)+len(removes) > maxTxEntries {
		return "more than 100 entries"
	}
	if size > maxTxBytes {
		return "more than 1 MB"
	}
	for _, w := range writes {
		if len(w.Value) > maxRowBytes {
			return "a row of more than platform.rowBytes in table " + w.Table
		}
		if len(w.Key) > maxKeyBytes {
			return "a key of more than 200 bytes"
		}
	}
	return ""
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []row `json:"expectedRev"`
		Writes      []row `json:"writes"`
		Remove      []row `json:"remove"`
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(raw, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	values := 0
	for _, x := range body.Writes {
		values += len(x.Value)
	}
	if reason := excess(values, body.ExpectedRev, body.Writes, body.Remove); reason != "" {
		s.refused[reason]++
		if s.refused[reason] == 1 {
			s.record.write("store", "refuses a transaction", "reason", reason)
		}
		s.reply(w, http.StatusBadRequest, map[string]any{"reason": reason})
		return
	}
	for _, x := range append(slices.Clone(body.Writes), body.Remove...) {
		if x.Table == serversTable {
			s.reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	var present []row
	holds := true
	for _, c := range body.ExpectedRev {
		now, found := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if !found {
			now = row{Table: c.Table, Part: c.Part, Key: c.Key}
		}
		present = append(present, now)
		holds = holds && now.Ver == c.Ver
	}
	if !holds {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": present})
		return
	}
	s.reply(w, http.StatusOK, map[string]any{"ver": s.apply(body.Writes, body.Remove)})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("targetVersion") == "" || k.key < q.Get("targetVersion")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	size, n := 0, 0
	for n < len(found) && n < limit && (n == 0 || size+len(found[n].Value) <= maxPageBytes) {
		size += len(found[n].Value)
		n++
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": found[:n], "truncated": n < len(found), "ver": s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseInt(q.Get("sinceRev"), 10, 64)
	ms, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	for {
		s.mu.Lock()
		changes, version, changed := []row{}, s.version, s.changed
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > since })
		for _, x := range s.history[first:] {
			if x.Table == q.Get("table") {
				changes = append(changes, x)
			}
		}
		s.mu.Unlock()
		if len(changes) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": changes, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.reply(w, http.StatusOK, map[string]any{"rows": changes, "ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[string]bool{}
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("sinceRev") {
			names[k.part] = true
		}
	}
	list := []string{}
	for name := range names {
		list = append(list, name)
	}
	sort.Strings(list)
	s.reply(w, http.StatusOK, map[string]any{"parts": list})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // The caller may have closed the connection.
}

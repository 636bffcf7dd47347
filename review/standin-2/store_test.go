//go:build review

package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Times that the platform's store takes, as in a small deployment.
const (
	storeAnswerTime = 4 * time.Millisecond
	storeWriteTime  = 5 * time.Millisecond
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowID struct{ table, part, key string }

// store stands in for the platform's store of rows. It loses nothing, keeps all of its history and
// answers every call.
type store struct {
	listener net.Listener
	began    time.Time
	writing  sync.Mutex

	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	version int64
	changed chan struct{}
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, began: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// write writes a row, or removes it if the value is nil, as the operator or an engine does.
func (s *store) write(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: value, Removed: value == nil})
	s.notify()
}

// put applies a row at the current version. The caller holds mu.
func (s *store) put(r row) {
	r.Version = s.version
	id := rowID{r.Table, r.Part, r.Key}
	if r.Removed {
		if _, found := s.rows[id]; !found {
			return
		}
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the value of a row, nil if there is none.
func (s *store) read(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID{table, "", key}].Value
}

func (s *store) nowMS() int64 { return time.Since(s.began).Milliseconds() + 1000 }

func (s *store) reply(w http.ResponseWriter, status int, rows []row, truncated bool, version int64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": truncated, "ver": version, "nowMs": s.nowMS()})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRevision []row `json:"expectedRevision"`
		SetKeys          []row `json:"setKeys"`
		Remove           []row `json:"remove"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeAnswerTime)
	s.writing.Lock()
	defer s.writing.Unlock()
	time.Sleep(storeWriteTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	var current []row
	for _, guard := range tx.ExpectedRevision {
		known, found := s.rows[rowID{guard.Table, guard.Part, guard.Key}]
		if found {
			current = append(current, known)
		}
		failed = failed || known.Version != guard.Version
	}
	if failed {
		s.reply(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	s.version++
	for _, put := range tx.SetKeys {
		put.Removed = false
		s.put(put)
	}
	for _, removed := range tx.Remove {
		removed.Removed = true
		s.put(removed)
	}
	s.notify()
	s.reply(w, http.StatusOK, nil, false, s.version)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for id, known := range s.rows {
		if id.table == query.Get("table") && id.part == query.Get("part") && id.key >= query.Get("from") &&
			(query.Get("to") == "" || id.key < query.Get("to")) {
			found = append(found, known)
		}
	}
	slices.SortFunc(found, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	truncated := len(found) > limit
	s.reply(w, http.StatusOK, found[:min(limit, len(found))], truncated, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, known := range s.history {
			if known.Version > after && known.Table == query.Get("table") {
				rows = append(rows, known)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.reply(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

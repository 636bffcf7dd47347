//go:build review

package standin3

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: rows, guarded transactions and a feed.
type store struct {
	address string

	mu      sync.Mutex
	version int64
	rows    map[string]row
	history []row
	changed chan struct{}
}

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func newStore() *store {
	s := &store{rows: map[string]row{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// put writes a row. Its return is the acknowledgement of the store.
func (s *store) put(table, key string, value any) {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: data})
}

// write applies a change. The caller holds mu.
func (s *store) write(r row) {
	s.version++
	r.Ver = s.version
	if r.Removed {
		delete(s.rows, r.Table+"/"+r.Key)
	} else {
		s.rows[r.Table+"/"+r.Key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// respond sends an answer. The caller holds mu, which is released.
func (s *store) respond(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	data, _ := json.Marshal(map[string]any{"rows": rows, "ver": s.version, "nowMs": time.Since(started).Milliseconds(), "truncated": false})
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []row
	for _, one := range s.rows {
		if one.Table == q.Get("table") && one.Key >= q.Get("from") && (q.Get("to") == "" || one.Key < q.Get("to")) {
			rows = append(rows, one)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.respond(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		var rows []row
		for _, one := range s.history {
			if one.Ver > after && one.Table == q.Get("table") {
				rows = append(rows, one)
			}
		}
		changed := s.changed
		if len(rows) > 0 || !waiting {
			s.respond(w, http.StatusOK, rows)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-limit:
			waiting = false
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Guards []row `json:"expectedRevision"`
		Put    []row `json:"setKeys"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	for _, guard := range txn.Guards {
		if s.rows[guard.Table+"/"+guard.Key].Ver != guard.Ver {
			var rows []row
			for _, g := range txn.Guards {
				if one, ok := s.rows[g.Table+"/"+g.Key]; ok {
					rows = append(rows, one)
				}
			}
			s.respond(w, http.StatusPreconditionFailed, rows)
			return
		}
	}
	for _, one := range txn.Put {
		s.write(row{Table: one.Table, Part: one.Part, Key: one.Key, Value: one.Value})
	}
	for _, one := range txn.Remove {
		s.write(row{Table: one.Table, Key: one.Key, Removed: true})
	}
	s.respond(w, http.StatusOK, nil)
}

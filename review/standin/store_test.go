//go:build review

package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
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

// store is a stand-in for the platform's store: rows with an empty part, guarded transactions
// and a feed.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	version int64
	rows    map[string]row
	history []row
	changed chan struct{}
	// writer is the name of the machine that last wrote under a condition.
	writer string
}

// lastWriter returns the name of the machine that last wrote to the store under a condition, by
// the holder that the row of the lease names.
func (s *store) lastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), started: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes a row of the operator or of an engine.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: text}})
}

// apply writes rows in one transaction. The caller holds mu.
func (s *store) apply(rows []row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		if r.Removed {
			delete(s.rows, r.Table+"/"+r.Key)
		} else {
			s.rows[r.Table+"/"+r.Key] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer sends rows. The caller holds mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	text, _ := json.Marshal(map[string]any{"rows": rows, "ver": s.version, "nowMs": time.Since(s.started).Milliseconds() + 1_000_000, "truncated": false})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_, _ = w.Write(text)
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

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for _, found := range s.rows {
		if found.Table == q.Get("table") && found.Key >= q.Get("from") && (q.Get("to") == "" || found.Key < q.Get("to")) {
			out = append(out, found)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	s.answer(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		var out []row
		for _, change := range s.history {
			if change.Version > after && change.Table == q.Get("table") {
				out = append(out, change)
			}
		}
		changed := s.changed
		// The answer states the store's version, so its rows are those of the same moment.
		if len(out) > 0 || !waiting {
			s.answer(w, http.StatusOK, out)
			s.mu.Unlock()
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
	var call struct {
		ExpectedRevision []struct {
			Table, Key string
			Ver        int64
		} `json:"expectedRevision"`
		SetKeys []row                         `json:"setKeys"`
		Remove  []struct{ Table, Key string } `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, guard := range call.ExpectedRevision {
		known, ok := s.rows[guard.Table+"/"+guard.Key]
		if ok {
			current = append(current, known)
		}
		conflict = conflict || known.Version != guard.Ver
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	changes := call.SetKeys
	for _, written := range changes {
		var lease struct {
			Peer string `json:"peer"`
		}
		if json.Unmarshal(written.Value, &lease) == nil && lease.Peer != "" {
			s.writer, _, _ = net.SplitHostPort(lease.Peer)
		}
	}
	for _, gone := range call.Remove {
		changes = append(changes, row{Table: gone.Table, Key: gone.Key, Removed: true})
	}
	s.apply(changes)
	s.answer(w, http.StatusOK, nil)
}

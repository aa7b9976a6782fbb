// Package operators holds small stand-ins for the operators' platform as the
// system sees it: the store of rows and the engines. Tests switch faults on.
// Everything is safe for concurrent use.
package operators

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Row is a row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"tls_key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

// Fault is how the store mishandles a call.
type Fault int

// Faults of a call.
const (
	Healthy       Fault = iota
	Unavailable         // 503, not applied
	Throttle            // 429, not applied
	LoseReply           // applied, and the connection closes without a response
	LoseRequest         // not applied, and the connection closes without a response
	BadRequest          // 400, not applied
	ApplyLate           // no response; applied after lateApplyDelay if its conditions hold then
	ApplyThenHang       // applied, and no response until the client disconnects
	Hang                // not applied, and no response until the client disconnects
	Slow                // applied and answered after slowDelay
)

// lateApplyDelay is the time after which a late write is applied.
const lateApplyDelay = 150 * time.Millisecond

// slowDelay is the latency that a slow store adds: 50 times the 4 ms of a healthy one.
const slowDelay = 200 * time.Millisecond

// Store is the stand-in for the platform's store.
type Store struct {
	Server *httptest.Server

	mutex   sync.Mutex
	rows    map[tablePart]map[string]Row // by key
	history []Row                        // changes, oldest first
	floor   uint64                       // changes up to this version were dropped
	version uint64
	changed chan struct{} // closed at the next change
	fault   func(path, part string) Fault
	calls   map[string]int // by path
	lists   map[string]int // reads of a whole table that were not given a fault, by table
	commits map[string]int // transactions, by the tables whose rows they name, one a line
}

// NewStore returns a running store. The caller closes its Server.
func NewStore() *Store {
	s := &Store{
		rows:    make(map[tablePart]map[string]Row),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
		commits: make(map[string]int),
		lists:   make(map[string]int),
		version: 100,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	s.Server = httptest.NewServer(mux)
	return s
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.Server.URL, "http://") }

// SetFault sets the function that chooses the fault of each later call; nil ends all faults.
func (s *Store) SetFault(fault func(path, part string) Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// CallCount returns how many times a path was called.
func (s *Store) CallCount(path string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[path]
}

// ListCount returns how often all rows of a table without a part were read, or their first page.
func (s *Store) ListCount(table string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lists[table]
}

// TotalCalls returns the number of calls to all paths.
func (s *Store) TotalCalls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sum := 0
	for _, count := range s.calls {
		sum += count
	}
	return sum
}

// DropHistory drops the whole history of changes, as a compaction does.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history = nil
	s.floor = s.version
}

// TrimHistory drops all but the newest keep changes from the history.
func (s *Store) TrimHistory(keep int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	dropped := len(s.history) - keep
	if dropped <= 0 {
		return
	}
	s.floor = s.history[dropped-1].Version
	s.history = slices.Clone(s.history[dropped:])
}

// Put writes a row of another writer, such as the operator or an engine.
func (s *Store) Put(table, part, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // values come from tests and can always be encoded
	}
	s.PutBytes(table, part, key, content)
}

// PutBytes writes a row of another writer; content need not be valid JSON.
func (s *Store) PutBytes(table, part, key string, content []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.set(Row{Table: table, Part: part, Key: key, Value: content, Version: s.version})
}

// Remove deletes a row of another writer.
func (s *Store) Remove(table, part, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.set(Row{Table: table, Part: part, Key: key, Version: s.version, Gone: true})
}

// Rows returns the rows of a table in no particular order.
func (s *Store) Rows(table string) []Row {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var matching []Row
	for location, rows := range s.rows {
		if location.table == table {
			matching = slices.AppendSeq(matching, maps.Values(rows))
		}
	}
	return matching
}

// set applies a change and wakes waiting feeds. The caller holds the mutex.
func (s *Store) set(row Row) {
	rows := s.rows[row.tablePart()]
	if rows == nil {
		rows = make(map[string]Row)
		s.rows[row.tablePart()] = rows
	}
	if row.Gone {
		delete(rows, row.Key)
	} else {
		rows[row.Key] = row
	}
	s.history = append(s.history, row)
	close(s.changed)
	s.changed = make(chan struct{})
}

// tablePart identifies a part of a table; a read covers one of them.
type tablePart struct{ table, part string }

func (r Row) tablePart() tablePart { return tablePart{r.Table, r.Part} }

// recordCall counts a call and returns its fault.
func (s *Store) recordCall(path string, parts ...string) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls[path]++
	if s.fault == nil {
		return Healthy
	}
	for _, part := range parts {
		if fault := s.fault(path, part); fault != Healthy {
			return fault
		}
	}
	return Healthy
}

// partsOf returns the distinct parts of rows; the empty part if there are no rows.
func partsOf(rows []Row) []string {
	parts := []string{}
	for _, row := range rows {
		if !slices.Contains(parts, row.Part) {
			parts = append(parts, row.Part)
		}
	}
	if len(parts) == 0 {
		return []string{""}
	}
	return parts
}

// applyFault simulates a fault, other than those that apply the write, and reports whether the call is over.
func applyFault(fault Fault, writer http.ResponseWriter, request *http.Request) bool {
	switch fault {
	case Unavailable:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case Throttle:
		writer.WriteHeader(http.StatusTooManyRequests)
	case BadRequest:
		http.Error(writer, `{"error":"rejected"}`, http.StatusBadRequest)
	case LoseRequest:
		panic(http.ErrAbortHandler)
	case Hang:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case Slow:
		backoff.Wait(request.Context(), slowDelay)
		return false // also if the client has disconnected
	default:
		return false
	}
	return true
}

func (s *Store) transact(writer http.ResponseWriter, request *http.Request) {
	var change struct {
		Conditions []Row `json:"if_revision"`
		Puts       []Row `json:"put"`
		Removals   []Row `json:"remove"`
		Across     bool  `json:"across"`
	}
	if err := json.NewDecoder(request.Body).Decode(&change); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	entries := slices.Concat(change.Conditions, change.Puts, change.Removals)
	if slices.ContainsFunc(entries, func(row Row) bool { return row.Part != entries[0].Part }) && !change.Across {
		http.Error(writer, `{"error":"several parts"}`, http.StatusBadRequest)
		return
	}
	s.recordCommit(entries)
	parts := partsOf(change.Puts)
	if len(change.Puts) == 0 {
		parts = partsOf(entries) // a transaction without puts checks conditions or removes rows
	}
	fault := s.recordCall("/-/rows-tx", parts...)
	if applyFault(fault, writer, request) {
		return
	}
	if fault == ApplyLate {
		time.AfterFunc(lateApplyDelay, func() { s.apply(change.Conditions, change.Puts, change.Removals) })
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, answer := s.apply(change.Conditions, change.Puts, change.Removals)
	switch fault {
	case ApplyThenHang:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case LoseReply:
		panic(http.ErrAbortHandler)
	}
	reply(writer, status, answer)
}

// apply applies a transaction if all its conditions hold.
func (s *Store) apply(conditions, puts, removals []Row) (int, map[string]any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := []Row{}
	holds := true
	for _, condition := range conditions {
		row, exists := s.rows[condition.tablePart()][condition.Key]
		if exists {
			current = append(current, row)
		}
		holds = holds && row.Version == condition.Version
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now_ms": nowMillis()}
	}
	s.version++
	for _, row := range puts {
		row.Version = s.version
		s.set(row)
	}
	for _, row := range removals {
		row.Version, row.Gone = s.version, true
		s.set(row)
	}
	return http.StatusOK, map[string]any{"ver": s.version, "now_ms": nowMillis()}
}

func (s *Store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	if applyFault(s.recordCall("/-/rows-get", query.Get("part")), writer, request) {
		return
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mutex.Lock()
	matching := []Row{}
	from, to, bounded := query.Get("from"), query.Get("target_version"), query.Has("target_version")
	if from == "" && !bounded {
		s.lists[query.Get("table")]++
	}
	for _, row := range s.rows[tablePart{query.Get("table"), query.Get("part")}] {
		if row.Key >= from && (!bounded || row.Key < to) {
			matching = append(matching, row)
		}
	}
	version := s.version
	s.mutex.Unlock()
	slices.SortFunc(matching, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	page := firstPage(matching, limit)
	more := len(page) < len(matching)
	reply(writer, http.StatusOK, map[string]any{"rows": page, "more": more, "ver": version, "now_ms": nowMillis()})
}

// Limits of one answer to a read of rows.
const (
	maxPageRows  = 500
	maxPageBytes = 1 << 20 // of the encoded values
)

// firstPage returns the rows that one answer holds: at most limit, and at least one if there are any.
func firstPage(rows []Row, limit int) []Row {
	size := 0
	for i, row := range rows {
		size += base64.StdEncoding.EncodedLen(len(row.Value))
		if i >= limit || (size > maxPageBytes && i > 0) {
			return rows[:i]
		}
	}
	return rows
}

func (s *Store) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	if applyFault(s.recordCall("/-/rows-feed", ""), writer, request) {
		return
	}
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		rows, version, compacted, changed := s.since(query.Get("table"), after)
		if compacted {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			reply(writer, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now_ms": nowMillis()})
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timer.C:
			reply(writer, http.StatusOK, map[string]any{"rows": []Row{}, "ver": version, "now_ms": nowMillis()})
			return
		}
	}
}

// since returns the changes of a table after a version.
func (s *Store) since(table string, after uint64) (rows []Row, version uint64, compacted bool, changed chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	firstNewer, _ := slices.BinarySearchFunc(s.history, after+1, func(row Row, version uint64) int { return cmp.Compare(row.Version, version) })
	for _, row := range s.history[firstNewer:] {
		if row.Table == table {
			rows = append(rows, row)
		}
	}
	return rows, s.version, after < s.floor, s.changed
}

func reply(writer http.ResponseWriter, status int, answer any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(answer)
}

func nowMillis() int64 { return time.Now().UnixMilli() }

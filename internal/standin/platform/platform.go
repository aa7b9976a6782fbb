// Package platform is an in-memory stand-in for the operator's platform: the
// transactional table, the object store and the lagging list of machines. It
// implements the interfaces of internal/tablestore directly, for use inside a
// test process, and serves them over HTTP JSON (see Handler). Fault switches
// make it refuse, delay or throttle requests, lose replies or apply writes
// late. Nothing is persisted. All methods are safe for concurrent use.
package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Options sets up a Platform. With the zero value the machine list has no lag
// and no history is kept.
type Options struct {
	// MachineLag is how long a change of the machine list stays invisible.
	MachineLag time.Duration
	// HistoryLimit is how many of the latest committed transactions History
	// returns; 0 means none.
	HistoryLimit int
}

// Platform is the stand-in. Create it with New.
type Platform struct {
	historyLimit int

	mu       sync.Mutex // guards the fields up to limiter
	rows     map[string]tablestore.Row
	keys     keyIndex
	revision uint64 // of the latest committed transaction
	history  []Committed
	stats    Stats
	faults   Faults
	random   *rand.Rand
	limiter  *rate.Limiter // nil: no limit

	objects  objectStore
	machines machineList
}

var (
	_ tablestore.Table    = (*Platform)(nil)
	_ tablestore.Objects  = (*Platform)(nil)
	_ tablestore.Machines = (*Platform)(nil)
)

// New returns an empty platform without faults.
func New(options Options) *Platform {
	p := &Platform{
		historyLimit: options.HistoryLimit,
		rows:         make(map[string]tablestore.Row),
		objects:      objectStore{contents: make(map[string][]byte)},
		machines: machineList{
			lag:     options.MachineLag,
			visible: make(map[string]tablestore.Machine),
		},
	}
	p.SetFaults(Faults{})
	return p
}

// Stats counts what the platform did since its start.
type Stats struct {
	Transactions uint64 `json:"transactions"` // committed
	Rows         uint64 `json:"rows"`         // written or deleted by committed transactions
	RowsStored   int    `json:"rows_stored"`  // in the table now
	Reads        uint64 `json:"reads"`        // row and range reads
	Conflicts    uint64 `json:"conflicts"`
	Throttled    uint64 `json:"throttled"`
	LostReplies  uint64 `json:"lost_replies"`
	LateApplies  uint64 `json:"late_applies"` // lost replies whose write was delayed
	Objects      int    `json:"objects"`      // in the object store now
}

// Stats returns the current counters.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.RowsStored = len(p.rows)
	stats.Objects = p.objects.count()
	return stats
}

// Committed is one transaction of the history. Sequence is the revision that
// it gave to each row it wrote; it increases from one transaction to the next.
type Committed struct {
	Sequence    uint64                 `json:"sequence"`
	Transaction tablestore.Transaction `json:"transaction"`
}

// History returns the latest committed transactions in the order in which
// they took effect, at most Options.HistoryLimit of them.
func (p *Platform) History() []Committed {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := p.history[max(0, len(p.history)-p.historyLimit):]
	return append([]Committed{}, latest...)
}

// Package turncache keeps copies of recently recorded turns, and serves them to the
// nodes at which the next turns of the same conversations arrive.
//
// The records of a zone's turns pass through a few writer nodes on their way to the table service, so the writers
// have all of them. A node that needs the earlier turns of a conversation queries its zone's writer before it
// reads the table: that saves a call to the table, and works during an outage of the table. All of it is a cache:
// turns that a writer does not have are read from the table.
package turncache

import (
	"sync"
	"sync/atomic"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// maxGenerationBytes limits the size of the turns in each of the two generations of a cache. At 40 turns a second
// of 3 KB, which is the load of one of 58 nodes, with turns needed for some seconds, it lasts 17 s.
const maxGenerationBytes = 2 << 20

// maxChainTurns limits the turns of one response. A chain is a turn followed by its ancestors.
const maxChainTurns = 256

// Cache holds turns, and evicts older ones first. Safe for concurrent use.
type Cache struct {
	limit    int         // size of a generation in bytes
	draining atomic.Bool // the node is stopping; see StopAccepting

	mutex        sync.Mutex
	newer, older map[string]*ledger.Turn // by ledger.TurnKey
	bytes        int                     // of newer
	malformed    uint64                  // transactions with a turn that could not be decoded
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{limit: maxGenerationBytes, newer: make(map[string]*ledger.Turn)}
}

// AddCommitted stores the turns that a transaction records. The transaction must have taken effect.
func (c *Cache) AddCommitted(transaction tablestore.Transaction) {
	recorded, err := ledger.RecordedTurns(transaction)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.malformed++
	}
	for _, record := range recorded {
		c.put(ledger.TurnKey(record.Program, record.Turn.ID), record.Turn)
	}
}

// put stores a turn. When the newer generation is full, it replaces the older one. The mutex is held.
func (c *Cache) put(key string, turn *ledger.Turn) {
	if _, found := c.newer[key]; found {
		return
	}
	c.newer[key] = turn
	c.bytes += len(turn.Input) + len(turn.Output) + len(key)
	if c.bytes > c.limit {
		c.older, c.newer, c.bytes = c.newer, make(map[string]*ledger.Turn), 0
	}
}

// TurnsUpTo returns a turn and its ancestors, newest first, up to the first one that the cache
// does not have.
func (c *Cache) TurnsUpTo(program, turn string) []*ledger.Turn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var chain []*ledger.Turn
	for id := turn; id != "" && len(chain) < maxChainTurns; {
		found := c.get(ledger.TurnKey(program, id))
		if found == nil {
			break
		}
		chain = append(chain, found)
		id = found.Parent
	}
	return chain
}

// get returns a turn; nil if the cache does not have it. The mutex is held.
func (c *Cache) get(key string) *ledger.Turn {
	if turn := c.newer[key]; turn != nil {
		return turn
	}
	return c.older[key]
}

// Size returns how many turns are held, and how many transactions had a malformed turn.
func (c *Cache) Size() (turns int, malformed uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.newer) + len(c.older), c.malformed
}

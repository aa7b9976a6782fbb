package serving

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/commitgroup"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/zonewatch"
)

// Periods of log records.
const (
	callReportPeriod = 10 * time.Second // between two records about calls to the store
	rateLogPeriod    = time.Second      // minimum between two records about a reduced write rate
)

// purpose is the reason why the ledger calls the store.
type purpose int

// Purposes of calls.
const (
	writes   purpose = iota // transactions, single or grouped
	accounts                // the row of one account
	programs                // all rows of a program
	lookups                 // the program of a turn that is not in memory here
	purposeCount
)

// purposeNames are the names of the purposes in metrics and log records.
var purposeNames = [purposeCount]string{"write", "account", "program", "search"}

// purposeOf returns the purpose of a read of the rows in [start, end).
func purposeOf(start, end string) purpose {
	switch {
	case strings.HasPrefix(start, "turn-programs/"):
		return lookups
	case end == start+"\x00":
		return accounts
	}
	return programs
}

// storeCalls counts the ledger's calls to the store. Safe for concurrent use.
type storeCalls [purposeCount]atomic.Uint64

// countedTable counts the calls to a table by purpose.
type countedTable struct {
	tablestore.Table
	calls *storeCalls
}

// Commit implements tablestore.Table.
func (t countedTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	if len(transaction.Writes) == 0 {
		t.calls[lookups].Add(1)
	} else {
		t.calls[writes].Add(1)
	}
	return t.Table.Commit(ctx, transaction)
}

// existingRows returns a function that reads which of some rows exist, if a transaction may span several parts; nil
// otherwise. The lookup does not wait for a group of writes.
func (p *Process) existingRows() func(context.Context, []string) ([]tablestore.Row, error) {
	if !p.settings.AllowMultiPart {
		return nil
	}
	table := countedTable{Table: p.relayTable, calls: &p.calls}
	return func(ctx context.Context, keys []string) ([]tablestore.Row, error) {
		return tablestore.ExistingRows(ctx, table, p.settings.Node+"/lookup", keys)
	}
}

// Get implements tablestore.Table.
func (t countedTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	t.calls[purposeOf(key, key+"\x00")].Add(1)
	return t.Table.Get(ctx, key)
}

// Range implements tablestore.Table.
func (t countedTable) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	t.calls[purposeOf(start, end)].Add(1)
	return t.Table.Range(ctx, start, end, limit)
}

// reportCalls logs the number of the ledger's calls to the store by purpose, every callReportPeriod with any calls, until
// ctx ends.
func (p *Process) reportCalls(ctx context.Context) {
	var last [purposeCount]uint64
	for backoff.Wait(ctx, callReportPeriod) {
		var arguments []any
		var sum uint64
		for i := range p.calls {
			count := p.calls[i].Load()
			arguments = append(arguments, purposeNames[i], count-last[i])
			sum += count - last[i]
			last[i] = count
		}
		if sum == 0 {
			continue
		}
		groups := p.commits.Stats()
		forwarded, unanswered, declined := p.commits.ForwardCounts()
		p.logger.Info("calls to the store", append(arguments, "groups", groups.Groups, "grouped", groups.Members,
			"throttled", groups.Throttled, "conflicts", groups.Conflicts, "divided", groups.Split, "overdue", groups.Overdue, "turned_away", groups.Refused,
			"waited_ms", groups.QueueTime.Milliseconds(), "took_ms", groups.CallTime.Milliseconds(), "rate", groups.Rate, "to_writers", forwarded, "silent", unanswered, "declined", declined)...)
	}
}

// setWriters sets the nodes from which the writers are selected, by zone: those of this process's zone, those of the
// other zones of the region, which are queried for turns only, and those of other regions.
func (p *Process) setWriters(client *zonewatch.ObservedClient, byZone map[string][]commitgroup.Node) {
	topology := p.settings.Topology
	otherZones := make(map[string][]commitgroup.Node)
	var otherRegions []commitgroup.Node
	for _, zone := range topology.Zones() {
		switch {
		case zone == topology.Zone() || len(byZone[zone]) == 0:
		case topology.InOwnRegion(zone):
			otherZones[zone] = byZone[zone]
		default:
			otherRegions = append(otherRegions, byZone[zone]...)
		}
	}
	own := commitgroup.Node{Address: p.PeerAddress(), Processors: p.settings.Processors}
	p.commits.SetPeers(client, own.Address, append(byZone[topology.Zone()], own), otherZones, otherRegions)
}

// TurnsDropped implements turncache.Observer. Only the first event of each peer is logged.
func (p *Process) TurnsDropped(peer string, cause error) {
	if _, logged := p.loggedPeers.LoadOrStore("turns of "+peer, true); !logged {
		p.logger.Warn("turns of a peer dropped", "peer", peer, "error", cause.Error())
	}
}

// WriterLost implements commitgroup.Observer.
func (p *Process) WriterLost(address string, cause error) {
	p.metrics.writersLost.WithLabelValues().Inc()
	p.logger.Warn("writer lost", "peer", address, "error", cause.Error())
}

// WriterRegained implements commitgroup.Observer.
func (p *Process) WriterRegained(address string) {
	p.logger.Info("writer regained", "peer", address)
}

// WriteRateReduced implements commitgroup.Observer. At most one record per rateLogPeriod is logged.
func (p *Process) WriteRateReduced(groupsPerSecond float64) {
	p.metrics.rateReductions.WithLabelValues().Inc()
	last, now := p.rateReductionLogged.Load(), time.Now().UnixNano()
	if now-last >= int64(rateLogPeriod) && p.rateReductionLogged.CompareAndSwap(last, now) {
		p.logger.Warn("pace of writing cut", "groups_per_second", groupsPerSecond)
	}
}

// registerCommits registers the metrics of grouped writes.
func (p *Process) registerCommits() {
	group := func(name, help string, value func(commitgroup.Stats) float64) {
		p.metrics.RegisterGauge(name, help, func() float64 { return value(p.commits.Stats()) })
	}
	group("pewtermill_serve_groups", "Calls to the store that carried transactions of this process's group.", func(s commitgroup.Stats) float64 { return float64(s.Groups) })
	group("pewtermill_serve_grouped_transactions", "Transactions in these calls; by groups, their size.", func(s commitgroup.Stats) float64 { return float64(s.Members) })
	group("pewtermill_serve_groups_throttled", "Groups that the store refused for its rate.", func(s commitgroup.Stats) float64 { return float64(s.Throttled) })
	group("pewtermill_serve_groups_divided", "Groups that failed for one of their transactions or parts, and were sent again divided.", func(s commitgroup.Stats) float64 { return float64(s.Split) })
	group("pewtermill_serve_groups_overdue", "Groups that gave no answer in time and were sent again by part.", func(s commitgroup.Stats) float64 { return float64(s.Overdue) })
	group("pewtermill_serve_transactions_turned_away", "Transactions refused at once, since too many waited.", func(s commitgroup.Stats) float64 { return float64(s.Refused) })
	group("pewtermill_serve_write_pace", "Groups a second that this process may send.", func(s commitgroup.Stats) float64 { return s.Rate })
	for i := range p.calls {
		p.metrics.RegisterGauge("pewtermill_serve_ledger_calls_"+purposeNames[i], "Calls to the store for the ledger: "+purposeNames[i]+".", func() float64 {
			return float64(p.calls[i].Load())
		})
	}
	p.metrics.RegisterGauge("pewtermill_serve_to_writers", "Transactions given to the writer of this process's zone.", func() float64 {
		forwarded, _, _ := p.commits.ForwardCounts()
		return float64(forwarded)
	})
	p.metrics.RegisterGauge("pewtermill_serve_turns_cached", "Turns that passed this process on their way to the store, and are known still.", func() float64 {
		turns, _ := p.turnCache.Size()
		return float64(turns)
	})
	p.metrics.RegisterGauge("pewtermill_serve_turns_malformed", "Transactions with a turn that could not be read, which is not cached.", func() float64 {
		_, malformed := p.turnCache.Size()
		return float64(malformed)
	})
	p.metrics.RegisterGauge("pewtermill_serve_turns_asked", "Times that another process was asked for turns.", func() float64 {
		fetches, _ := p.turnClient.FetchCounts()
		return float64(fetches)
	})
	p.metrics.RegisterGauge("pewtermill_serve_turns_told", "Of these, times that it knew them.", func() float64 {
		_, hits := p.turnClient.FetchCounts()
		return float64(hits)
	})
	p.metrics.RegisterGauge("pewtermill_serve_writers_silent", "Transactions that this process made itself, since the writer fell silent or declined.", func() float64 {
		_, unanswered, declined := p.commits.ForwardCounts()
		return float64(unanswered + declined)
	})
}

package serving

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/topology"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
	"github.com/pewtermill/pewtermill/internal/zonewatch"
)

// engineTable is a table of engines in virtual time. As in the platform's store, a reader gets the latest state of each row
// that changed, and no state between.
type engineTable struct {
	mutex         sync.Mutex
	version       uint64
	configuration int64 // version; the configuration names the service models
	rows          map[string]discovery.Record
	truncated     uint64 // changes up to this version are no longer available
}

// put lists an engine of the service models.
func (s *engineTable) put(name, software string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	incarnation := routing.Incarnation{Name: name}
	engine := &routing.Engine{Incarnation: incarnation, ID: incarnation.ID(), Service: "models", Version: software, Slots: 8,
		Address: fmt.Sprintf("127.0.0.1:%d", 1000+s.version)}
	s.rows[name] = discovery.Record{Key: name, Version: s.version, Engine: engine}
}

// remove removes engines.
func (s *engineTable) remove(names ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, name := range names {
		s.version++
		s.rows[name] = discovery.Record{Key: name, Version: s.version, Deleted: true}
	}
}

// truncate drops the history of changes, and what is known of removed engines.
func (s *engineTable) truncate() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.truncated = s.version
}

// engineSource is the table as one process reads it. It implements discovery.Source.
type engineSource struct {
	table *engineTable
	mutex sync.Mutex
	cut   bool // calls get no answer
}

func (s *engineSource) setCut(cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cut = cut
}

func (s *engineSource) isCut() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cut
}

// List implements discovery.Source.
func (s *engineSource) List(ctx context.Context, collection discovery.Collection) ([]discovery.Record, uint64, error) {
	time.Sleep(4 * time.Millisecond) // virtual time of an answer
	if s.isCut() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if collection == discovery.Configurations {
		return s.table.configurationAfter(0)
	}
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	var records []discovery.Record
	for _, record := range s.table.rows {
		if !record.Deleted {
			records = append(records, record)
		}
	}
	return records, s.table.version, nil
}

// Changes implements discovery.Source.
func (s *engineSource) Changes(ctx context.Context, collection discovery.Collection, after uint64, wait time.Duration) ([]discovery.Record, uint64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) { // virtual time
		if s.isCut() {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		records, version, gone := s.table.since(after)
		if collection == discovery.Configurations {
			records, version, _ = s.table.configurationAfter(after)
			gone = false
		}
		switch {
		case gone:
			return nil, 0, errors.Mark(errors.New("history is not available"), discovery.ErrHistoryGone)
		case len(records) > 0 || !time.Now().Before(end):
			return records, version, nil
		}
	}
}

// setConfiguration sets the version of the configuration.
func (s *engineTable) setConfiguration(version int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configuration = version
}

// configurationAfter returns the configuration if it changed after a version.
func (s *engineTable) configurationAfter(after uint64) ([]discovery.Record, uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	version := uint64(s.configuration)
	if version <= after {
		return nil, after, nil
	}
	configuration := &routing.Configuration{Version: s.configuration, Services: map[string]routing.Service{"models": {Name: "models"}}}
	return []discovery.Record{{Key: "config", Version: version, Configuration: configuration}}, version, nil
}

// since returns the rows that changed after a version, in order, or that the history does not reach back to it.
func (s *engineTable) since(after uint64) (records []discovery.Record, version uint64, gone bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, record := range s.rows {
		if record.Version > after {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b discovery.Record) int { return int(a.Version) - int(b.Version) })
	return records, s.version, after < s.truncated
}

// recordTable is the table of the record of software versions, which counts calls. Methods that are not defined here must not be
// called.
type recordTable struct {
	tablestore.Table
	mutex sync.Mutex
	row   tablestore.Row
	down  bool // calls fail
	calls int
}

func (r *recordTable) setDown(down bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.down = down
}

func (r *recordTable) callCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.calls
}

// Get implements tablestore.Table.
func (r *recordTable) Get(context.Context, string) (tablestore.Row, error) {
	time.Sleep(4 * time.Millisecond) // virtual time of an answer
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls++
	if r.down {
		return tablestore.Row{}, tablestore.ErrUnavailable
	}
	return r.row, nil
}

// Commit implements tablestore.Table.
func (r *recordTable) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	time.Sleep(4 * time.Millisecond) // virtual time of an answer
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls++
	switch {
	case r.down:
		return tablestore.Receipt{}, tablestore.ErrUnavailable
	case transaction.Conditions[0].Revision != r.row.Revision:
		return tablestore.Receipt{}, &tablestore.ConflictError{Current: r.row}
	}
	r.row = tablestore.Row{Key: transaction.Writes[0].Key, Value: transaction.Writes[0].Value, Revision: r.row.Revision + 1}
	return tablestore.Receipt{Revisions: map[string]uint64{r.row.Key: r.row.Revision}}, nil
}

// listingProcess is a process that only lists engines and knows the origins of streams.
type listingProcess struct {
	*Process
	source *engineSource
	stop   context.CancelFunc
}

// listingFleet is a set of such processes, by address. It passes messages between them.
type listingFleet struct {
	t         *testing.T
	table     *engineTable
	records   *recordTable
	mutex     sync.Mutex
	processes map[string]*listingProcess
}

func newListingFleet(t *testing.T) *listingFleet {
	return &listingFleet{t: t, table: &engineTable{configuration: 1, rows: make(map[string]discovery.Record)}, records: &recordTable{}, processes: make(map[string]*listingProcess)}
}

// ViewChanged implements discovery.Observer, as do the next three. It does only what these tests need.
func (p *listingProcess) ViewChanged(discovery.Collection, *discovery.View) { p.versionRecord.Wake() }

func (p *listingProcess) RecordUnreadable(discovery.Collection, string, uint64, error) {}
func (p *listingProcess) SourceLost(discovery.Collection, error)                       {}
func (p *listingProcess) SourceRegained(discovery.Collection, time.Duration)           {}

// start starts a process at an address. The others become its peers, and it theirs.
func (f *listingFleet) start(address string) *listingProcess {
	started := &listingProcess{source: &engineSource{table: f.table}}
	started.Process = &Process{
		settings: Settings{Node: address, Topology: topology.New("zone-a", nil)},
		logger:   slog.New(slog.DiscardHandler),
		metrics:  NewMetrics(),
		zones:    zonewatch.New(zonewatch.Options{Zone: "zone-a"}),
		follower: discovery.New(discovery.Options{Source: started.source, Observer: started}),
	}
	started.initOrigins(started.source)
	started.initVersionRecord(f.records, address)
	var ctx context.Context
	ctx, started.stop = context.WithCancel(f.t.Context())
	started.loops.Go(func() { started.follower.Run(ctx, discovery.Configurations) })
	started.loops.Go(func() { started.follower.Run(ctx, discovery.Engines) })
	started.loops.Go(func() { started.versionRecord.Run(ctx) })
	f.mutex.Lock()
	f.processes[address] = started
	f.mutex.Unlock()
	f.connect()
	return started
}

// kill ends processes and whatever they know.
func (f *listingFleet) kill(addresses ...string) {
	for _, address := range addresses {
		f.mutex.Lock()
		killed := f.processes[address]
		delete(f.processes, address)
		f.mutex.Unlock()
		killed.stop()
		killed.loops.Wait()
	}
	f.connect()
}

// killAll ends all processes.
func (f *listingFleet) killAll() {
	f.mutex.Lock()
	var addresses []string
	for address := range f.processes {
		addresses = append(addresses, address)
	}
	f.mutex.Unlock()
	f.kill(addresses...)
}

// timeout returns a context that ends after some time.
func (f *listingFleet) timeout(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(f.t.Context(), limit)
}

// connect makes all processes each other's peers.
func (f *listingFleet) connect() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for own, process := range f.processes {
		var peers []origins.Peer
		for address := range f.processes {
			if address != own {
				peers = append(peers, origins.Peer{Zone: "zone-a", Address: address})
			}
		}
		process.originClient.SetPeers(f, peers)
	}
}

// Do passes a message between processes.
func (f *listingFleet) Do(_ context.Context, address string, request *wirepb.Request, _ func(int64, []byte)) (*wirepb.Reply, error) {
	f.mutex.Lock()
	target := f.processes[address]
	f.mutex.Unlock()
	if target == nil {
		return nil, errors.New("connection refused")
	}
	if stored := request.GetTellOrigins(); stored != nil {
		return target.originServer.Store(stored), nil
	}
	return target.originServer.Find(request.GetFindOrigin()), nil
}

// longestStream is the time limit of the route of these tests, and so the time within which a client may come back.
const longestStream = 30 * time.Second

// find looks up a stream whose origin no process has, at a process.
func (p *listingProcess) find() origins.Finding {
	return p.originClient.Find(context.Background(), origins.Query{Stream: "nobodys", Service: "models", ResumeWindow: longestStream})
}

// expectUnknown checks that a process does not conclude the version of a stream.
func (p *listingProcess) expectUnknown(t *testing.T, when string) {
	t.Helper()
	if finding := p.find(); finding.Basis != origins.Unknown {
		t.Errorf("%s: found %+v; another version may have started the stream", when, finding)
	}
}

// expectOnly checks that a process concludes a version from the one that is listed.
func (p *listingProcess) expectOnly(t *testing.T, version, when string) {
	t.Helper()
	if finding := p.find(); finding.Basis != origins.ByOnlyVersion || finding.Origin.Version != version {
		t.Errorf("%s: found %+v, want %s as the only version", when, finding, version)
	}
}

// TestOnlyVersionIsNotConcludedAfterAKillOfAll kills all processes just after the last engine of the old version has left, and
// starts them again. A client may come back for a stream of the old version for as long as its route allows.
func TestOnlyVersionIsNotConcludedAfterAKillOfAll(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newListingFleet(t)
		f.table.put("old", "v1")
		f.start("a")
		f.start("b")
		time.Sleep(2 * time.Minute)
		f.table.put("new", "v2")
		time.Sleep(time.Second)
		f.table.remove("old")
		f.killAll()
		time.Sleep(time.Second)
		first := f.start("a")
		f.start("b")
		for range 4 {
			time.Sleep(6 * time.Second)
			first.expectUnknown(t, "within the time of a stream after the kill")
		}
		time.Sleep(longestStream)
		first.expectOnly(t, "v2", "long after the kill")
		f.killAll()
	})
}

// TestProcessDoesNotVouchForTimeItDidNotSee cuts a process off from the table while another version comes and goes: only the
// process that served streams at it has seen it, and that one is killed.
func TestProcessDoesNotVouchForTimeItDidNotSee(t *testing.T) {
	for name, test := range map[string]struct {
		between func(f *listingFleet) // runs after the other version has left, before the process reaches the table again
		back    bool                  // the process reaches the table again
	}{
		"with the changes":          {between: func(*listingFleet) {}, back: true},
		"with the history dropped":  {between: func(f *listingFleet) { f.table.truncate() }, back: true},
		"while it is still cut off": {between: func(*listingFleet) {}},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newListingFleet(t)
				f.table.put("engine", "v1")
				cutOff := f.start("a")
				f.start("b")
				time.Sleep(2 * time.Minute)
				cutOff.expectOnly(t, "v1", "before anything happens")
				cutOff.source.setCut(true)
				time.Sleep(5 * time.Second)
				f.table.put("short", "v2")
				time.Sleep(10 * time.Second) // the other process starts streams at it
				f.table.remove("short")
				f.kill("b")
				test.between(f)
				cutOff.source.setCut(!test.back)
				time.Sleep(time.Second)
				cutOff.expectUnknown(t, "at the process itself")
				f.start("c")
				time.Sleep(time.Second)
				f.processes["c"].expectUnknown(t, "at a process that has just started and asks it")
				f.killAll()
			})
		})
	}
}

// TestVersionsThatWereSeenAreRemembered replaces all engines of a version by those of another while a process lists them, also
// in one change under the same name: nobody concludes the version for as long as clients come back.
func TestVersionsThatWereSeenAreRemembered(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newListingFleet(t)
		f.table.put("engine", "v1")
		long := f.start("a")
		time.Sleep(2 * time.Minute)
		f.table.put("engine", "v2")
		time.Sleep(time.Second)
		fresh := f.start("b")
		time.Sleep(longestStream - 5*time.Second)
		long.expectUnknown(t, "at the process that listed both")
		fresh.expectUnknown(t, "at one that asks it")
		time.Sleep(time.Minute)
		long.expectOnly(t, "v2", "long after the change")
		f.killAll()
	})
}

// TestOnlyVersionIsKnownWhileNothingChanges cuts processes off from the table for a time in which nothing of it changes, and
// starts one anew: nothing is refused once the table has said so.
func TestOnlyVersionIsKnownWhileNothingChanges(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newListingFleet(t)
		f.table.put("engine", "v1")
		long := f.start("a")
		time.Sleep(2 * time.Minute)
		long.source.setCut(true)
		time.Sleep(20 * time.Second)
		long.source.setCut(false)
		time.Sleep(time.Second)
		long.expectOnly(t, "v1", "after an outage without a change")
		f.start("b").expectOnly(t, "v1", "at a process that has just started and asks it")
		f.killAll()
	})
}

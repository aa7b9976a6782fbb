package origins

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// node is one of several nodes that replicate origins to each other and query each other.
type node struct {
	*Client
	server   *Server
	memory   *Memory
	versions []string
	knownFor time.Duration // see Options
	state    state
}

// state is how a node responds to its peers.
type state int

const (
	healthy      state = iota
	refusing           // its connections are refused
	unresponsive       // it never responds
	late               // like unresponsive, and it handles requests lateBy after they were sent
	unconnected        // there is no connection to it, so that requests are certainly not sent
	earlierBuild       // it responds like a build that knows none of the messages
)

// lateBy is longer than any request waits, and shorter than streams last.
const lateBy = time.Second

// fleet is a set of nodes by address. It implements peerClient and Observer.
type fleet struct {
	mutex         sync.Mutex
	nodes         map[string]*node
	notReplicated []Origin
}

// Do implements peerClient.
func (f *fleet) Do(ctx context.Context, address string, request *wirepb.Request, _ func(int64, []byte)) (*wirepb.Reply, error) {
	time.Sleep(time.Millisecond) // network latency
	f.mutex.Lock()
	target := f.nodes[address]
	behavior := target.state
	f.mutex.Unlock()
	switch behavior {
	case refusing:
		return nil, errors.New("connection refused")
	case unresponsive:
		<-ctx.Done()
		return nil, ctx.Err()
	case late:
		time.AfterFunc(lateBy, func() { target.handle(request) })
		<-ctx.Done()
		return nil, ctx.Err()
	case unconnected:
		return nil, errors.Mark(errors.New("no connection"), wire.ErrNotSent)
	case earlierBuild:
		return &wirepb.Reply{Body: []byte(`{"failure":"unknown"}`)}, nil
	}
	return target.handle(request), nil
}

// handle handles a peer's request.
func (n *node) handle(request *wirepb.Request) *wirepb.Reply {
	if stored := request.GetTellOrigins(); stored != nil {
		return n.server.Store(stored)
	}
	return n.server.Find(request.GetFindOrigin())
}

// OriginNotReplicated implements Observer.
func (f *fleet) OriginNotReplicated(origin Origin) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.notReplicated = append(f.notReplicated, origin)
}

// OriginReplicationFailed implements Observer.
func (f *fleet) OriginReplicationFailed(string, int, error) {}

// set changes the state of nodes.
func (f *fleet) set(behavior state, addresses ...string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, address := range addresses {
		f.nodes[address].state = behavior
	}
}

// newFleet returns nodes in three zones that list two versions of service s.
func newFleet(size int) *fleet {
	f := &fleet{nodes: make(map[string]*node)}
	var all []Peer
	for i := range size {
		all = append(all, Peer{Zone: fmt.Sprintf("zone-%d", i%3), Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	for _, peer := range all {
		created := &node{memory: NewMemory(), versions: []string{"v1", "v2"}, knownFor: time.Hour}
		versions := func(string) []string { return created.versions }
		knownFor := func(string) time.Duration { return created.knownFor }
		created.server = NewServer(created.memory, versions, knownFor)
		created.Client = NewClient(Options{Node: peer.Address, Memory: created.memory, Versions: versions,
			KnownFor: knownFor, HasUnreadChange: func(context.Context, string, string) (bool, error) { return false, nil }, Suspected: func(string) bool { return false }, Observer: f})
		created.SetPeers(f, slices.DeleteFunc(slices.Clone(all), func(other Peer) bool { return other == peer }))
		f.nodes[peer.Address] = created
	}
	return f
}

// node returns a node by its number.
func (f *fleet) node(number int) *node { return f.nodes[f.address(number)] }

// address returns the address of a node by its number.
func (f *fleet) address(number int) string { return fmt.Sprintf("10.0.0.%d:1", number) }

// setVersions sets the versions that all nodes list.
func (f *fleet) setVersions(versions ...string) {
	for _, member := range f.nodes {
		member.versions = versions
	}
}

// origin returns the origin of a stream of service s that starts now.
func origin(stream, version string, attempt int) Origin {
	now := time.Now()
	return Origin{Stream: stream, Service: "s", Version: version, Engine: "engine", SentAt: now, ExpiresAt: now.Add(6 * time.Second), Attempt: attempt}
}

// query returns the query for a stream of service s.
func query(stream string) Query {
	return Query{Stream: stream, Service: "s", ResumeWindow: MinResumeWindow}
}

// expectVersion checks where a stream started, as found by a node.
func expectVersion(t *testing.T, member *node, stream, version string, basis Basis) {
	t.Helper()
	finding := member.Find(t.Context(), query(stream))
	if finding.Basis != basis || finding.Origin.Version != version {
		t.Errorf("stream %s: found %+v, want %q by %s", stream, finding, version, basis)
	}
}

// TestResumedStreamFindsItsVersion has one node start streams and another one find them: while all nodes are healthy, once
// the first has failed, and once a whole zone has failed as well. After their expiry no node has them any more.
func TestResumedStreamFindsItsVersion(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(12)
		first, second := f.node(0), f.node(4)
		for number := range 40 {
			replication := first.Begin(origin(fmt.Sprint(number), "v2", 1), BeginOptions{ResumeWindow: MinResumeWindow})
			if replication.Wait(t.Context()); replication.Confirmed() == 0 {
				t.Fatal("the first event may be sent before any peer has stored where the stream started")
			}
		}
		synctest.Wait()
		expectVersion(t, first, "0", "v2", ByMemory)
		time.Sleep(10 * time.Millisecond)
		f.set(unresponsive, "10.0.0.0:1")
		f.set(refusing, "10.0.0.2:1", "10.0.0.5:1", "10.0.0.8:1", "10.0.0.11:1")
		for number := range 40 {
			finding := second.Find(t.Context(), query(fmt.Sprint(number)))
			if finding.Origin.Version != "v2" || finding.Basis != ByPeer && finding.Basis != ByMemory {
				t.Errorf("stream %d: found %+v", number, finding)
			}
		}
		time.Sleep(7 * time.Second)
		expectVersion(t, second, "0", "", Unknown)
	})
}

// TestNobodyGuesses looks up streams of which no node has the origin.
func TestNobodyGuesses(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(f *fleet)
		version string
		basis   Basis
	}{
		"two versions serve":          {func(*fleet) {}, "", Unknown},
		"one version, all agree":      {func(f *fleet) { f.setVersions("v1") }, "v1", ByOnlyVersion},
		"a peer knows another one":    {func(f *fleet) { f.setVersions("v1"); f.node(3).versions = []string{"v2"} }, "", Unknown},
		"a peer knows a second one":   {func(f *fleet) { f.setVersions("v1"); f.node(3).versions = []string{"v1", "v2"} }, "", Unknown},
		"no engine is known":          {func(f *fleet) { f.setVersions() }, "", Unknown},
		"by case two":                 {func(f *fleet) { f.setVersions("v1"); f.node(3).versions = []string{"V1"} }, "", Unknown},
		"peers of an earlier build":   {func(f *fleet) { f.setVersions("v1"); f.setOthers(earlierBuild) }, "v1", ByOnlyVersion},
		"of an earlier build, two":    {func(f *fleet) { f.setOthers(earlierBuild) }, "", Unknown},
		"all silent, list current":    {func(f *fleet) { f.setVersions("v1"); f.setOthers(unresponsive) }, "v1", ByOnlyVersion},
		"all silent, list not so":     {func(f *fleet) { f.setVersions("v1"); f.setOthers(unresponsive); f.node(0).knownFor = 0 }, "", Unknown},
		"some silent, list not so":    {func(f *fleet) { f.setVersions("v1"); f.set(unresponsive, "10.0.0.1:1"); f.node(0).knownFor = 0 }, "v1", ByOnlyVersion},
		"started just now, peers not": {func(f *fleet) { f.setVersions("v1"); f.node(0).knownFor = time.Second }, "v1", ByOnlyVersion},
		"all started just now":        {func(f *fleet) { f.setVersions("v1"); f.restartAll() }, "", Unknown},
		"started just now, alone":     {func(f *fleet) { f.setVersions("v1"); f.node(0).knownFor = time.Second; f.node(0).SetPeers(f, nil) }, "", Unknown},
		"a peer for a shorter time": {func(f *fleet) {
			f.setVersions("v1")
			f.restartAll()
			f.node(3).knownFor = MinResumeWindow - time.Millisecond
		}, "", Unknown},
		"a peer for long enough":      {func(f *fleet) { f.setVersions("v1"); f.restartAll(); f.node(3).knownFor = MinResumeWindow }, "v1", ByOnlyVersion},
		"alone for long":              {func(f *fleet) { f.setVersions("v1"); f.node(0).SetPeers(f, nil) }, "v1", ByOnlyVersion},
		"all silent, two are known":   {func(f *fleet) { f.setOthers(unresponsive) }, "", Unknown},
		"refused by all, list not so": {func(f *fleet) { f.setVersions("v1"); f.setOthers(refusing); f.node(0).knownFor = 0 }, "", Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(6)
				test.prepare(f)
				start := time.Now()
				expectVersion(t, f.node(0), "nobody's", test.version, test.basis)
				if duration := time.Since(start); duration > findTimeout+10*time.Millisecond {
					t.Errorf("the lookup took %s", duration)
				}
			})
		})
	}
}

// setOthers changes the state of all nodes except the first.
func (f *fleet) setOthers(behavior state) {
	for address := range f.nodes {
		if address != "10.0.0.0:1" {
			f.set(behavior, address)
		}
	}
}

// restartAll makes all nodes appear to have started just now.
func (f *fleet) restartAll() {
	for _, member := range f.nodes {
		member.knownFor = time.Second
	}
}

// TestRestartedNodesReplicate restarts all nodes while one version serves, so that none of them can infer which version
// started an earlier stream. Streams that start after that can be resumed.
func TestRestartedNodesReplicate(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(6)
		f.setVersions("v1")
		f.restartAll()
		f.node(0).Begin(origin("a", "v1", 1), BeginOptions{ResumeWindow: MinResumeWindow}).Wait(t.Context())
		f.set(refusing, "10.0.0.0:1")
		expectVersion(t, f.node(1), "a", "v1", f.node(1).expectedBasis("a"))
	})
}

// TestLaterSendReplacesTheEarlierOne has a stream's first send fail before any event, and the second one go to another
// version. No node has the origin of the first send once the event of the second one may be sent.
func TestLaterSendReplacesTheEarlierOne(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(12)
		first := f.node(0)
		earlier := first.Begin(origin("a", "v1", 1), BeginOptions{ResumeWindow: MinResumeWindow})
		later := first.Begin(origin("a", "v2", 2), BeginOptions{Earlier: earlier, ResumeWindow: MinResumeWindow})
		if err := later.AwaitReplaced(t.Context()); err != nil {
			t.Errorf("all peers respond, and the stream must not begin: %v", err)
		}
		later.Wait(t.Context())
		for range 2 { // also once all messages have arrived
			for number := range 12 {
				expectNoOtherVersion(t, f.node(number).memory, "a", "v2")
			}
			time.Sleep(replicateTimeout)
		}
	})
}

// expectNoOtherVersion checks that a memory does not have another version of a stream.
func expectNoOtherVersion(t *testing.T, memory *Memory, stream, version string) {
	t.Helper()
	if stored, found := memory.Get(stream, time.Now()); found && stored.Version != version {
		t.Errorf("version %s is stored, want %s", stored.Version, version)
	}
}

// TestUnreplicatedStreamIsReported has a node start a stream while no peer responds. The wait for confirmations is bounded.
func TestUnreplicatedStreamIsReported(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(6)
		f.setOthers(unresponsive)
		start := time.Now()
		replication := f.node(0).Begin(origin("a", "v1", 1), BeginOptions{ResumeWindow: MinResumeWindow})
		replication.Wait(t.Context())
		synctest.Wait()
		if duration := time.Since(start); duration < replicateTimeout || duration > replicateTimeout+5*time.Millisecond || replication.Confirmed() != 0 || len(f.notReplicated) != 1 {
			t.Errorf("waited %s, %d confirmed, %d reported; want %s, none and one", duration, replication.Confirmed(), len(f.notReplicated), replicateTimeout)
		}
	})
}

// TestNothingIsReplicatedWhileOneVersionServes starts streams while one version is listed. Their origins are replicated when
// a second one is listed, and when the node stops, but not after they have expired.
func TestNothingIsReplicatedWhileOneVersionServes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(6)
		f.setVersions("v1")
		first := f.node(0)
		first.Begin(origin("old", "v1", 1), BeginOptions{ResumeWindow: MinResumeWindow})
		time.Sleep(7 * time.Second)
		first.Begin(origin("a", "v1", 1), BeginOptions{ResumeWindow: MinResumeWindow}).Wait(t.Context())
		first.Begin(origin("split", "v1", 1), BeginOptions{RouteSplit: true, ResumeWindow: MinResumeWindow}).Wait(t.Context())
		time.Sleep(time.Second)
		if count := f.holders("a"); count != 1 {
			t.Errorf("%d nodes store the stream's origin while one version serves, want 1", count)
		}
		if count := f.holders("split"); count != 1+replicaCount {
			t.Errorf("%d nodes store the origin of a stream of a split route, want %d", count, 1+replicaCount)
		}
		f.setVersions("v1", "v2")
		first.ReplicateOwn("s")
		time.Sleep(time.Second)
		if count := f.holders("a"); count != 1+replicaCount {
			t.Errorf("%d nodes store the stream's origin once a second version serves, want %d", count, 1+replicaCount)
		}
		if count := f.holders("old"); count != 0 {
			t.Errorf("%d nodes store the origin of an expired stream, want none", count)
		}
		f.node(1).server.StopAccepting()
		f.node(1).ReplicateAll()
		f.set(refusing, "10.0.0.0:1", "10.0.0.1:1")
		expectVersion(t, f.node(2), "a", "v1", f.node(2).expectedBasis("a"))
	})
}

// holders returns how many nodes store the origin of a stream.
func (f *fleet) holders(stream string) int {
	count := 0
	for _, member := range f.nodes {
		if _, found := member.memory.Get(stream, time.Now()); found {
			count++
		}
	}
	return count
}

// expectedBasis returns the basis on which a node should find a stream.
func (n *node) expectedBasis(stream string) Basis {
	if _, found := n.memory.Get(stream, time.Now()); found {
		return ByMemory
	}
	return ByPeer
}

// TestMemoryDoesNotDependOnTheOrder stores the origins of a stream's sends in any order, some of them twice. The memory
// keeps that of the latest send.
func TestMemoryDoesNotDependOnTheOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(45)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("the latest send wins", prop.ForAll(func(attempts []int) bool {
		memory, now, latest := NewMemory(), time.Now(), 0
		for _, attempt := range attempts {
			next := origin("a", fmt.Sprintf("v%d", attempt), attempt)
			if !memory.Put(next, now) {
				return false
			}
			latest = max(latest, attempt)
		}
		stored, found := memory.Get("a", now)
		return found == (len(attempts) > 0) && stored.Attempt == latest && (latest == 0 || stored.Version == fmt.Sprintf("v%d", latest))
	}, gen.SliceOf(gen.IntRange(1, 5))))
	properties.TestingRun(t)
}

// TestMemoryIsBounded fills a memory. Expired origins are dropped to store new ones.
func TestMemoryIsBounded(t *testing.T) {
	memory, now := NewMemory(), time.Now()
	for number := range maxOrigins + 10 {
		memory.Put(origin(fmt.Sprint(number), "v1", 1), now)
	}
	if count, dropped := memory.Len(); count != maxOrigins || dropped != 10 {
		t.Errorf("%d origins are stored and %d dropped", count, dropped)
	}
	later := now.Add(10 * time.Second)
	if !memory.Put(Origin{Stream: "later", ExpiresAt: later.Add(time.Second)}, later) {
		t.Error("a new origin is not stored after all others have expired")
	}
	if count, _ := memory.Len(); count != 1 {
		t.Errorf("%d origins are stored, want 1", count)
	}
}

// TestNodesAgreeOnReplicaPeers ranks the peers of a large fleet. Nodes that list them in another order agree, the first three
// are in different zones, and the number of peers that store any origin is bounded.
func TestNodesAgreeOnReplicaPeers(t *testing.T) {
	var all []Peer
	for number := range 420 {
		all = append(all, Peer{Zone: fmt.Sprintf("zone-%d", number%5), Address: fmt.Sprintf("10.0.%d.%d:1", number/200, number%200)})
	}
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	zones := make(map[string]string)
	for _, peer := range all {
		zones[peer.Address] = peer.Zone
	}
	replicas := make(map[string]bool)
	for stream := range 500 {
		forward := rankedAddresses(replicaPeers(all), fmt.Sprint(stream))
		backward := rankedAddresses(replicaPeers(reversed), fmt.Sprint(stream))
		if !slices.Equal(forward, backward) {
			t.Fatalf("stream %d: %v and %v", stream, forward[:replicaCount], backward[:replicaCount])
		}
		replicaZones := map[string]bool{zones[forward[0]]: true, zones[forward[1]]: true, zones[forward[2]]: true}
		if len(replicaZones) != replicaCount {
			t.Fatalf("stream %d is replicated to the zones %v only", stream, replicaZones)
		}
		for _, address := range forward {
			replicas[address] = true
		}
	}
	if len(replicas) > maxReplicaPeers {
		t.Errorf("%d nodes store origins, more than maxReplicaPeers", len(replicas))
	}
}

// TestInvalidOriginsAreDeclined has peers send invalid origins.
func TestInvalidOriginsAreDeclined(t *testing.T) {
	memory := NewMemory()
	server := NewServer(memory, func(string) []string { return nil }, func(string) time.Duration { return time.Hour })
	for _, invalid := range []*wirepb.StreamOrigin{
		{}, {Stream: "a", Service: "s"}, {Stream: "a", Version: "v1"}, {Service: "s", Version: "v1"},
	} {
		if reply := server.Store(&wirepb.TellOrigins{Origins: []*wirepb.StreamOrigin{invalid}}); reply.GetCode() == 0 {
			t.Errorf("%v is accepted", invalid)
		}
	}
	endless := &wirepb.StreamOrigin{Stream: "a", Service: "s", Version: "v1", KeepMillis: 1 << 60, SentMillisAgo: -1 << 60}
	server.Store(&wirepb.TellOrigins{Origins: []*wirepb.StreamOrigin{endless}})
	if _, found := memory.Get("a", time.Now().Add(maxRetention+time.Second)); found {
		t.Error("a peer can make a node store an origin for ever")
	}
	server.StopAccepting()
	if reply := server.Store(&wirepb.TellOrigins{}); reply.GetCode() == 0 {
		t.Error("a stopping node accepts origins that it will not keep")
	}
}

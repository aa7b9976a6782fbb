package origins

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestPeerThatMissesAReplacementTellsNoOldVersion guards against streams joined from two versions: a stream's first send to one version
// yields no event, the second one goes to another version, and a peer that stores the first one does not hear of the second. It told the
// version that did not begin the stream to any node that a client resumes it at, also to itself.
func TestPeerThatMissesAReplacementTellsNoOldVersion(t *testing.T) {
	for name, test := range map[string]struct {
		during1, during2 state // of the stream's first peer while either send is replicated
		number           int   // of the peer in the stream's ranking that misses the second send
		begins           bool  // the stream may begin at the second version
	}{
		"it does not respond for a moment":              {during1: healthy, during2: unresponsive, number: 0},
		"it handles the second send late":               {during1: healthy, during2: late, number: 0},
		"it handles the first send late":                {during1: late, during2: healthy, number: 0, begins: true},
		"it handles both sends late":                    {during1: late, during2: late, number: 0},
		"it refuses connections for a moment":           {during1: healthy, during2: refusing, number: 0},
		"it was never sent the first one":               {during1: unconnected, during2: unconnected, number: 0, begins: true},
		"it stood in for one that is back meanwhile":    {during1: refusing, during2: healthy, number: replicaCount, begins: true},
		"all store the second send, nothing is missing": {during1: healthy, during2: healthy, number: 0, begins: true},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(12)
				first := f.node(0)
				ranking := first.reachable("a")
				f.set(test.during1, ranking[0])
				earlier := first.Begin(origin("a", "v1", 1), BeginOptions{ResumeWindow: MinResumeWindow})
				synctest.Wait()
				time.Sleep(replicateTimeout)
				f.set(test.during2, ranking[0])
				second, begun := first.Begin(origin("a", "v2", 2), BeginOptions{Earlier: earlier, ResumeWindow: MinResumeWindow}), "v2"
				err := second.AwaitReplaced(t.Context())
				if (err == nil) != test.begins {
					t.Fatalf("the stream may begin at v2: %t, want %t: %v", err == nil, test.begins, err)
				}
				f.set(healthy, ranking[0])
				if err != nil {
					begun = "v1"
					third := first.Begin(origin("a", "v1", 3), BeginOptions{Earlier: second, ResumeWindow: MinResumeWindow})
					if err := third.AwaitReplaced(t.Context()); err != nil {
						t.Fatalf("all peers respond, and the stream must not begin at v1: %v", err)
					}
				}
				// The first event is sent to the client now, and its node is lost.
				f.set(refusing, "10.0.0.0:1")
				finding := f.nodes[ranking[test.number]].Find(t.Context(), query("a"))
				if finding.Basis != Unknown && finding.Origin.Version != begun {
					t.Errorf("a stream that version %s began is continued at %s, by %s", begun, finding.Origin.Version, finding.Basis)
				}
				time.Sleep(lateBy)
				for number := range 12 {
					expectNoOtherVersion(t, f.node(number).memory, "a", begun)
				}
			})
		})
	}
}

// TestStreamBeginsAtTheVersionThatPeersKeep guards against a stream that begins nowhere: its second send is not sent to a peer that stores the
// first one, and that stays so. The stream begins at the first version.
func TestStreamBeginsAtTheVersionThatPeersKeep(t *testing.T) {
	for name, cutOff := range map[string]func(f *fleet, peer string){
		"there is no connection to it": func(f *fleet, peer string) { f.set(unconnected, peer) },
		"it is excluded": func(f *fleet, peer string) {
			f.set(late, peer)
			f.node(0).options.Suspected = func(address string) bool { return address == peer }
		},
		"it is stopping": func(f *fleet, peer string) { f.nodes[peer].server.StopAccepting() },
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(12)
				first := f.node(0)
				earlier := first.Begin(origin("a", "v1", 1), BeginOptions{ResumeWindow: MinResumeWindow})
				time.Sleep(replicateTimeout)
				cutOff(f, first.reachable("a")[0])
				second := first.Begin(origin("a", "v2", 2), BeginOptions{Earlier: earlier, ResumeWindow: MinResumeWindow})
				if second.AwaitReplaced(t.Context()) == nil {
					t.Fatal("the stream may begin at a version that a peer does not know")
				}
				third := first.Begin(origin("a", "v1", 3), BeginOptions{Earlier: second, ResumeWindow: MinResumeWindow})
				if err := third.AwaitReplaced(t.Context()); err != nil {
					t.Fatalf("the stream must not begin at the first version either: %v", err)
				}
				time.Sleep(2 * lateBy)
				for number := range 12 {
					expectNoOtherVersion(t, f.node(number).memory, "a", "v1")
				}
			})
		})
	}
}

// TestPeersToldInABatchAreReplacedToo guards against a peer that tells the version of a stream's first send, of which it heard only once a
// second version was listed.
func TestPeersToldInABatchAreReplacedToo(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(12)
		f.setVersions("v1")
		first := f.node(0)
		earlier := first.Begin(origin("a", "v1", 1), BeginOptions{ResumeWindow: MinResumeWindow})
		f.setVersions("v1", "v2")
		first.ReplicateOwn("s")
		time.Sleep(time.Second)
		f.set(unresponsive, first.reachable("a")[0])
		second := first.Begin(origin("a", "v2", 2), BeginOptions{Earlier: earlier, ResumeWindow: MinResumeWindow})
		if second.AwaitReplaced(t.Context()) == nil {
			t.Error("the stream may begin at a version that a peer does not know")
		}
	})
}

// TestNoPeerTellsAVersionThatDidNotBegin sends streams to engines of drawn versions while each peer responds as drawn anew for each send, until
// one may begin. From then on no node has another version of it.
func TestNoPeerTellsAVersionThatDidNotBegin(t *testing.T) {
	const seed, streams, sends = 731, 300, 6
	states := []state{healthy, healthy, healthy, refusing, unresponsive, late, unconnected}
	begunLater := 0
	random := rand.New(rand.NewPCG(seed, seed))
	for range streams {
		virtualtime.Test(t, func(t *testing.T) {
			f := newFleet(6)
			first := f.node(0)
			var earlier *Replication
			for attempt := range sends {
				for number := 1; number < 6; number++ {
					f.set(states[random.IntN(len(states))], f.address(number))
				}
				version := fmt.Sprintf("v%d", 1+random.IntN(2))
				replication := first.Begin(origin("a", version, attempt+1), BeginOptions{Earlier: earlier, ResumeWindow: MinResumeWindow})
				err := replication.AwaitReplaced(t.Context())
				if earlier = replication; err != nil || attempt == 0 {
					continue // the first send yields no event
				}
				begunLater++
				time.Sleep(2 * lateBy)
				for number := range 6 {
					expectNoOtherVersion(t, f.node(number).memory, "a", version)
				}
				return
			}
		})
	}
	if begunLater < streams/2 {
		t.Errorf("%d of %d streams began with a later send, too few to show anything", begunLater, streams)
	}
}

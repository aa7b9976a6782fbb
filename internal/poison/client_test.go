package poison

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// noRows is a store that is away.
type noRows struct{}

func (noRows) Write(context.Context) error            { return errWriteFailed }
func (noRows) AwaitRead(context.Context)              {}
func (noRows) ReadRequest(context.Context, Key) error { return errWriteFailed }

// state is how a node responds to its peers.
type state int

const (
	healthy         state = iota
	unresponsive          // it never responds
	neverConfirming       // it gets messages and never responds
	earlierBuild          // it does not know the messages
	refusing              // it has ended, and its machine refuses connections
)

// questionsEnd is how long after its start a node has no question under way any more.
const questionsEnd = maxAnswerWait + maxAsks*(askPause+reportTimeout)

// node is one of several nodes that report to each other which engines ended.
type node struct {
	*Client
	memory *Memory
	state  state
	calls  int // messages received
}

// fleet is a set of nodes by address. It implements peerClient and Observer.
type fleet struct {
	mutex  sync.Mutex
	nodes  map[string]*node
	failed []string // peers of failed reports
	// latency is how long a message takes.
	latency func() time.Duration
	ended   int // engines that ended so far
}

// Do implements peerClient.
func (f *fleet) Do(ctx context.Context, address string, request *wirepb.Request, _ func(int64, []byte)) (*wirepb.Reply, error) {
	f.mutex.Lock()
	latency := f.latency
	f.mutex.Unlock()
	if !backoff.Wait(ctx, latency()) {
		return nil, errors.Wrap(ctx.Err(), "no response")
	}
	f.mutex.Lock()
	target := f.nodes[address]
	target.calls++
	behavior := target.state
	f.mutex.Unlock()
	switch behavior {
	case unresponsive:
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "no response")
	case refusing:
		return nil, errors.Wrap(syscall.ECONNREFUSED, "connect")
	case earlierBuild:
		return &wirepb.Reply{Code: int32(api.UnknownMessage)}, nil
	}
	server := NewServer(target.memory, target.Client)
	if report := request.GetReportEnds(); report != nil {
		reply := server.Record(report)
		if behavior == neverConfirming {
			<-ctx.Done()
			return nil, errors.Wrap(ctx.Err(), "no confirmation")
		}
		return reply, nil
	}
	return server.List(request.GetListEnds()), nil
}

// ReportFailed implements Observer.
func (f *fleet) ReportFailed(peer string, _ error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failed = append(f.failed, peer)
}

// address returns the address of a node by its number.
func address(number int) string { return fmt.Sprintf("10.0.0.%d:1", number) }

// newFleet returns nodes that know each other. They stop reporting when the test ends.
func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{nodes: make(map[string]*node), latency: func() time.Duration { return time.Millisecond }}
	for number := range size {
		f.add(number)
	}
	f.connect()
	time.Sleep(10 * time.Millisecond) // the nodes ask each other
	t.Cleanup(func() {
		for _, member := range f.nodes {
			member.Close()
		}
	})
	return f
}

// add adds a node that knows nothing, or replaces one that has that number.
func (f *fleet) add(number int) *node {
	created := &node{memory: NewMemory()}
	created.Client = NewClient(Options{Node: address(number), Address: func() string { return address(number) }, Memory: created.memory, Suspected: func(string) bool { return false }, Asked: func(string) {}, Rows: noRows{}, Observer: f})
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes[address(number)] = created
	return created
}

// connect sets the peers of all nodes.
func (f *fleet) connect() {
	for own, member := range f.nodes {
		var peers []string
		for other := range f.nodes {
			if other != own {
				peers = append(peers, other)
			}
		}
		slices.Sort(peers)
		member.SetPeers(f, peers)
	}
}

// endEngines has nodes record, by turns, that engines ended one after another under a request, and report it.
func (f *fleet) endEngines(t *testing.T, key Key, nodes ...int) {
	t.Helper()
	for _, number := range nodes {
		member := f.nodes[address(number)]
		f.ended++
		end := End{Engine: fmt.Sprint("e", f.ended), Try: fmt.Sprint("t", f.ended), SentAt: time.Now(), EndedAt: time.Now()}
		member.memory.BeginCheck(key, end.Engine, time.Now()).Finish(end)
		member.memory.Share(key)
		member.Report(t.Context())
		time.Sleep(time.Millisecond)
	}
}

// set changes how a node responds, and forgets the messages that it received.
func (f *fleet) set(number int, behavior state) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes[address(number)].state, f.nodes[address(number)].calls = behavior, 0
}

// calls returns how many messages a node received.
func (f *fleet) calls(number int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.nodes[address(number)].calls
}

// expectEnded checks how many engines count against a request at a node.
func (f *fleet) expectEnded(t *testing.T, number int, key Key, want int) {
	t.Helper()
	if got := f.nodes[address(number)].memory.StandingOf(key, time.Now()).Ended; got != want {
		t.Errorf("node %d counts %d engines, want %d", number, got, want)
	}
}

// TestAllNodesKnowWhichEnginesEnded has engines end under a request at several nodes. When Report returns, every other node
// counts them: the next try may reach any of them. An answer at any node clears it at all.
func TestAllNodesKnowWhichEnginesEnded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, key := newFleet(t, 6), KeyOf([]byte("x"))
		f.endEngines(t, key, 0, 3, 5)
		for number := range 6 {
			f.expectEnded(t, number, key, 3)
		}
		f.nodes[address(2)].memory.Answered(key, time.Now())
		f.nodes[address(2)].Report(t.Context())
		for number := range 6 {
			f.expectEnded(t, number, key, 0)
		}
	})
}

// TestUnresponsivePeerGetsTheReportLater has one peer not respond. The others get the report at once, the wait for it is
// bounded, and it gets the report once it responds. The observer is notified of one failure, not of each.
func TestUnresponsivePeerGetsTheReportLater(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, key := newFleet(t, 4), KeyOf([]byte("x"))
		f.set(3, unresponsive)
		begin := time.Now()
		f.endEngines(t, key, 0)
		if took := time.Since(begin); took > reportTimeout+5*time.Millisecond {
			t.Errorf("reporting took %s, want at most %s", took, reportTimeout)
		}
		f.expectEnded(t, 2, key, 1)
		begin = time.Now()
		f.endEngines(t, key, 0)
		if took := time.Since(begin); took > 5*time.Millisecond {
			t.Errorf("a peer that gets the report later was waited for, %s", took)
		}
		f.expectEnded(t, 2, key, 2)
		time.Sleep(2 * time.Second)
		if len(f.failed) != 1 {
			t.Errorf("%d failures reported, want 1", len(f.failed))
		}
		f.set(3, healthy)
		time.Sleep(maxRetry + time.Second)
		f.expectEnded(t, 3, key, 2)
	})
}

// TestReportIsSentAtOnceAfterAnUnconfirmedOne guards against sending a request to a fourth engine at a peer that was late to confirm
// one report: the next one does not wait for the retry, although the peer is not waited for.
func TestReportIsSentAtOnceAfterAnUnconfirmedOne(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, key := newFleet(t, 3), KeyOf([]byte("x"))
		f.set(2, unresponsive)
		f.endEngines(t, key, 0)
		time.Sleep(2 * maxRetry) // the pauses between retries have grown
		f.set(2, healthy)
		begin := time.Now()
		f.endEngines(t, key, 0)
		time.Sleep(reportTimeout) // a retry may have been in progress
		if took := time.Since(begin); took > firstRetry/2+reportTimeout {
			t.Fatalf("the report took %s", took)
		}
		f.expectEnded(t, 2, key, 2)
	})
}

// TestWithdrawalIsSentAtOnceAfterAnUnconfirmedReport guards against refusing a request that was just answered: a peer has got the
// report of a presumed end but not confirmed it, and the next one to it would wait for a retry. The withdrawal does not, and it is
// waited for, whether or not that peer confirms it.
func TestWithdrawalIsSentAtOnceAfterAnUnconfirmedReport(t *testing.T) {
	for name, later := range map[string]state{"confirmed": healthy, "not confirmed either": neverConfirming} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f, key := newFleet(t, 3), KeyOf([]byte("x"))
				f.endEngines(t, key, 0, 0)
				f.set(2, neverConfirming)
				member := f.nodes[address(0)]
				check := member.memory.BeginCheck(key, "last", time.Now())
				check.Presume(End{Engine: "last", Try: "last", SentAt: time.Now(), EndedAt: time.Now()})
				member.memory.Share(key)
				member.Report(t.Context())
				f.expectEnded(t, 2, key, MaxEngines)
				f.set(2, later)
				if !check.Withdraw() {
					t.Fatal("other nodes are not to learn of the withdrawal")
				}
				begin := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), firstRetry/2)
				defer cancel()
				member.ReportWithdrawal(ctx)
				if took := time.Since(begin); took > firstRetry/2 {
					t.Errorf("the withdrawal took %s, want at most %s", took, firstRetry/2)
				}
				for number := range 3 {
					f.expectEnded(t, number, key, MaxEngines-1)
				}
				f.set(2, healthy)
				time.Sleep(2 * maxRetry) // the retries end
			})
		})
	}
}

// TestNodeThatStopsReportsAll guards against losing an end with a node that stops as planned: the check is in progress when the
// try is answered, and a peer does not respond to the report. Both are over by the time that the node ends.
func TestNodeThatStopsReportsAll(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, key := newFleet(t, 4), KeyOf([]byte("x"))
		f.set(3, unresponsive)
		f.endEngines(t, key, 0)
		stopping := f.nodes[address(0)]
		now := time.Now()
		check := stopping.memory.BeginCheck(key, "late", now)
		go func() {
			time.Sleep(100 * time.Millisecond)
			check.Finish(End{Engine: "late", Try: "late", SentAt: now, EndedAt: now})
			f.set(3, healthy)
		}()
		stopping.Flush(t.Context())
		stopping.Close()
		for _, number := range []int{1, 2, 3} {
			f.expectEnded(t, number, key, 2)
		}
	})
}

// TestNodeThatStopsWaitsForAPeerNoLonger has a node stop beside one that does not respond, and beside others that know all.
func TestNodeThatStopsWaitsForAPeerNoLonger(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, key := newFleet(t, 3), KeyOf([]byte("x"))
		begin := time.Now()
		f.nodes[address(0)].Flush(t.Context())
		if took := time.Since(begin); took != 0 || f.calls(1)+f.calls(2) != 4 {
			t.Errorf("a stop without ends took %s, %d messages sent in all, want 0 s and the 4 at the start", took, f.calls(1)+f.calls(2))
		}
		f.endEngines(t, key, 0)
		f.set(2, unresponsive)
		f.nodes[address(0)].memory.Answered(key, time.Now())
		begin = time.Now()
		f.nodes[address(0)].Flush(t.Context())
		if took := time.Since(begin); took > flushTimeout {
			t.Errorf("a stop beside a peer that does not respond took %s, want at most %s", took, flushTimeout)
		}
		f.expectEnded(t, 1, key, 0)
	})
}

// TestNodeThatHasJustStartedGetsReports starts a node, and restarts another one, while the others do not list the first and know
// nothing of the restart. Both know which engines ended before, and which end from then on.
func TestNodeThatHasJustStartedGetsReports(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, key := newFleet(t, 4), KeyOf([]byte("x"))
		f.endEngines(t, key, 1)
		f.nodes[address(3)].Close()
		for _, number := range []int{3, 4} {
			f.add(number).SetPeers(f, []string{address(0), address(1), address(2)})
		}
		time.Sleep(100 * time.Millisecond)
		f.endEngines(t, key, 0, 2)
		for _, number := range []int{0, 1, 2, 3, 4} {
			f.expectEnded(t, number, key, 3)
		}
		f.connectOnly(0, 1, 2)
		f.endEngines(t, key, 1)
		f.expectEnded(t, 4, key, 4)
		time.Sleep(announcementTTL)
		f.connectOnly(0, 1, 2)
		f.endEngines(t, key, 1)
		f.expectEnded(t, 4, key, 4)
	})
}

// TestTryAtANodeThatHasJustStartedAwaitsItsPeers guards against sending a request on because the node that gets its next try has
// found its peers but not heard from them yet. It waits for them once, and for one that does not respond no longer than a
// question may take.
func TestTryAtANodeThatHasJustStartedAwaitsItsPeers(t *testing.T) {
	for name, test := range map[string]struct {
		peer state
		want time.Duration
	}{
		"all respond":           {healthy, time.Millisecond},
		"one does not respond":  {unresponsive, reportTimeout},
		"one does not know how": {earlierBuild, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f, key := newFleet(t, 4), KeyOf([]byte("x"))
				f.endEngines(t, key, 0, 0, 0)
				f.set(3, test.peer)
				started, begin := f.add(4), time.Now()
				started.AwaitAnswers(t.Context())
				if took := time.Since(begin); took != 0 {
					t.Errorf("a try waited for %s before the node found its peers", took)
				}
				for _, peers := range [][]string{nil, {address(0), address(1), address(2), address(3)}} {
					started.SetPeers(f, peers)
				}
				started.AwaitAnswers(t.Context())
				if took := time.Since(begin); took != test.want {
					t.Errorf("a try waited for %s, want %s", took, test.want)
				}
				f.expectEnded(t, 4, key, MaxEngines)
				f.add(5)
				f.set(5, unresponsive)
				started.SetPeers(f, []string{address(1), address(2), address(3), address(5)})
				begin = time.Now()
				started.AwaitAnswers(t.Context())
				if took := time.Since(begin); took != 0 {
					t.Errorf("a try waited for %s at a node that knows its peers", took)
				}
				time.Sleep(questionsEnd)
			})
		})
	}
}

// connectOnly has some nodes list each other, and no other node.
func (f *fleet) connectOnly(numbers ...int) {
	var all []string
	for _, number := range numbers {
		all = append(all, address(number))
	}
	for _, number := range numbers {
		f.nodes[address(number)].SetPeers(f, slices.DeleteFunc(slices.Clone(all), func(other string) bool { return other == address(number) }))
	}
}

// TestRestartedNodeAsks restarts a node, which then knows what the others do; so does one that is new.
func TestRestartedNodeAsks(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, key := newFleet(t, 4), KeyOf([]byte("x"))
		f.set(0, earlierBuild)
		f.endEngines(t, key, 1, 2, 2)
		f.nodes[address(3)].Close()
		f.add(3)
		f.add(4)
		f.connect()
		time.Sleep(100 * time.Millisecond)
		for _, number := range []int{1, 2, 3, 4} {
			f.expectEnded(t, number, key, 3)
		}
	})
}

// TestPeerOfAnEarlierBuildGetsNoReportTwice has a peer that does not know the message. It is neither retried nor reported.
func TestPeerOfAnEarlierBuildGetsNoReportTwice(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, key := newFleet(t, 3), KeyOf([]byte("x"))
		f.set(2, earlierBuild)
		f.endEngines(t, key, 0)
		time.Sleep(time.Minute)
		if calls := f.calls(2); calls != 1 || len(f.failed) != 0 {
			t.Errorf("the peer got %d messages and %d failures are reported, want 1 and 0", calls, len(f.failed))
		}
	})
}

// TestEndsOfServedRequestsAreNotReported records ends that concern no other node, as the request was served within the same
// try. Neither they nor what clears them is reported.
func TestEndsOfServedRequestsAreNotReported(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, key := newFleet(t, 3), KeyOf([]byte("x"))
		f.set(1, healthy)
		member := f.nodes[address(0)]
		member.memory.BeginCheck(key, "e", time.Now()).Finish(End{Engine: "e", Try: "t", SentAt: time.Now(), EndedAt: time.Now()})
		member.Report(t.Context())
		time.Sleep(time.Millisecond)
		if member.memory.Answered(key, time.Now()) {
			t.Error("what clears an end that no other node has is to be reported")
		}
		member.Report(t.Context())
		if calls := f.calls(1); calls != 0 {
			t.Errorf("%d messages sent, want none", calls)
		}
	})
}

// TestNothingIsSentWithoutEnds has nodes report although they have recorded nothing, as on a calm day.
func TestNothingIsSentWithoutEnds(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		for number := range 3 {
			f.set(number, healthy)
		}
		for _, member := range f.nodes {
			member.Report(t.Context())
		}
		time.Sleep(time.Minute)
		for number := range 3 {
			if calls := f.calls(number); calls != 0 {
				t.Errorf("node %d got %d messages", number, calls)
			}
		}
	})
}

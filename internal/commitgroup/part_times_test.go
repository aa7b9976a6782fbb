package commitgroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// timedWriters commit transactions of their peers, each after the latency of its part. They count the transactions
// of fast parts, and those of them that went to other regions.
type timedWriters struct {
	latency func(part string) time.Duration
	mutex   sync.Mutex
	asked   int // for fast parts
	distant int // of these, by writers of other regions
}

// Do implements peerClient.
func (w *timedWriters) Do(_ context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	transaction, _, err := decode(request.GetCommitTable().GetGrouped())
	if err != nil {
		return nil, err
	}
	latency := w.latency(partOf(transaction.Writes[0].Key))
	if latency < slowCommit {
		w.mutex.Lock()
		w.asked++
		if strings.HasPrefix(address, "far") {
			w.distant++
		}
		w.mutex.Unlock()
	}
	onPart(0, nil)
	time.Sleep(latency) // virtual
	receipt := tablestore.Receipt{Revisions: map[string]uint64{transaction.Writes[0].Key: 1}}
	body, err := proto.Marshal(encodeOutcome(transaction, receipt, nil))
	return &wirepb.Reply{Body: body}, err
}

// TestOneSlowPartSendsNothingElsewhere: one or two parts of 32 take a second for a write. Writes to the others must
// go to writers of the node's zone: all of them with one slow part, almost all with two.
func TestOneSlowPartSendsNothingElsewhere(t *testing.T) {
	for slow := 1; slow <= 2; slow++ {
		virtualtime.Test(t, func(t *testing.T) {
			writers := &timedWriters{latency: func(part string) time.Duration {
				if number, err := strconv.Atoi(part); err == nil && number < slow {
					return time.Second
				}
				return 30 * time.Millisecond
			}}
			table := NewTable(Options{Table: newFaultyTable(1, 0), Node: "self", DirectPathLost: func() bool { return false }, Observer: silentObserver{}, RegionOnly: func() bool { return false }})
			near, far := []Node{{Address: "self", Processors: 0.2}}, []Node(nil)
			for i := range 5 {
				near = append(near, Node{Address: fmt.Sprint("near-", i), Processors: 0.8})
				far = append(far, Node{Address: fmt.Sprint("far-", i), Processors: 0.8})
			}
			table.SetPeers(writers, "self", near, nil, far)
			random := rand.New(rand.NewPCG(32, 1))
			var callers sync.WaitGroup
			for i := range 2000 {
				at, part := time.Duration(random.Int64N(int64(20*time.Second))), random.IntN(32)
				callers.Go(func() {
					time.Sleep(at) // virtual
					if _, err := table.Commit(t.Context(), row(part, fmt.Sprint(i), 0)); err != nil {
						t.Error(err)
					}
				})
			}
			callers.Wait()
			if maxDistant := writers.asked * (slow - 1) / 50; writers.distant > maxDistant || writers.asked < 1800 {
				t.Errorf("%d parts are slow: of %d writes to others %d went to other regions", slow, writers.asked, writers.distant)
			}
		})
	}
}

// oneSlowPart is a table service whose calls take 8 ms, and longer if they write to part 0.
type oneSlowPart struct {
	*faultyTable
	latency time.Duration
}

// Commit implements tablestore.Table.
func (o *oneSlowPart) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	latency := 8 * time.Millisecond
	for _, write := range transaction.Writes {
		if partOf(write.Key) == "0" {
			latency = o.latency
		}
	}
	time.Sleep(latency) // virtual
	return o.apply(transaction)
}

// TestOneSlowPartHoldsNoOtherBack: one part of 32 is slow. Writes to the others may take at most 30 ms on average;
// they take 13 ms without a slow part.
func TestOneSlowPartHoldsNoOtherBack(t *testing.T) {
	for _, latency := range []time.Duration{300 * time.Millisecond, time.Second} {
		virtualtime.Test(t, func(t *testing.T) {
			group := NewGroup(&oneSlowPart{faultyTable: newFaultyTable(1, 0), latency: latency}, true, nil)
			var callers sync.WaitGroup
			var mutex sync.Mutex
			var sum time.Duration
			others := 0
			commitAtRandom(t, group, &callers, 9, 4000, 20*time.Second, func(part int, took time.Duration, err error) {
				if part == 0 {
					return
				}
				mutex.Lock()
				defer mutex.Unlock()
				sum += took
				others++
				var conflict *tablestore.ConflictError // conflict of the transaction with itself, as it was sent twice
				if err != nil && !errors.As(err, &conflict) {
					t.Errorf("part %d: %v", part, err)
				}
			})
			callers.Wait()
			time.Sleep(commitTimeout) // no call is in flight
			if mean := sum / time.Duration(others); mean > 30*time.Millisecond {
				t.Errorf("one part takes %s, and the others %s on average", latency, mean)
			}
		})
	}
}

// TestTwoSlowPartsMakeServiceSlow draws fast and slow times of parts. A single slow part must never make the
// service slow, two consecutive slow parts must do so if they are close in time, and two fast ones must end it.
func TestTwoSlowPartsMakeServiceSlow(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(332)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("slow by two parts, normal by two", prop.ForAll(checkTimes, gen.SliceOf(gen.IntRange(0, 1<<20))))
	properties.TestingRun(t)
}

// checkTimes records the times that the steps encode; it returns the first violation, or nothing.
func checkTimes(steps []int) string {
	var all, oneSlow partTimes
	var before partTime
	for _, step := range steps {
		pause := time.Duration(step/2000) * 5 * time.Millisecond
		now := partTime{part: strconv.Itoa(step % 4), took: time.Duration(step/4%500) * time.Millisecond, at: before.at.Add(pause)}
		all = all.with(now.part, now.took, now.at)
		switch differ := now.part != before.part && before.part != ""; {
		case pause >= partTimeTTL && all.slow:
			return "expired times keep the service slow"
		case differ && pause < partTimeTTL && min(now.took, before.took) >= slowCommit && !all.slow:
			return "two parts are slow, but the service is not"
		case differ && max(now.took, before.took) < quickCommit && all.slow:
			return "two parts are fast, but the service is still slow"
		}
		before = now
		if now.part != "0" {
			now.took = min(now.took, slowCommit-1)
		}
		if oneSlow = oneSlow.with(now.part, now.took, now.at); oneSlow.slow {
			return "one slow part makes the service slow"
		}
	}
	return ""
}

// TestOneSlowPartCountsOnce: one slow part responds late, in a group of its own and in one of several parts, in
// turn with fast ones. It must not count twice and make the service slow.
func TestOneSlowPartCountsOnce(t *testing.T) {
	group := NewGroup(newFaultyTable(1, 0), true, nil)
	now := time.Unix(0, 0)
	answer := func(took time.Duration, parts ...string) {
		f := &inFlightGroup{sentAt: now.Add(-took), overdue: took >= group.overdueAfter()}
		for _, part := range parts {
			f.members = append(f.members, &member{part: part})
		}
		group.recordResponse(f, now)
		now = now.Add(10 * time.Millisecond)
	}
	for range 100 {
		answer(8*time.Millisecond, "1")
		answer(time.Second, "0")
		answer(time.Second, "0", "1")
	}
	if group.isSlow() {
		t.Errorf("only one part is slow, but the smoothed response time is %s", group.responseTime)
	}
}

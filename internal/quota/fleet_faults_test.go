package quota

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// errRefused is the error of a connection to an address at which no process listens.
var errRefused = syscall.ECONNREFUSED

// tenant is the tenant whose requests most tests send.
const tenant = "alpha"

// settleTime is the time after which all shards of a new fleet have holders and full accounts.
const settleTime = 10 * time.Second

// fault is one fault of the node that holds the tenant's shard, or of the table.
type fault struct {
	name  string
	apply func(f *fleet, holder *fleetNode, now time.Time)
}

var faults = []fault{
	{"the process ends", func(_ *fleet, holder *fleetNode, _ time.Time) { holder.dead = true }},
	{"the machine is unreachable", func(_ *fleet, holder *fleetNode, _ time.Time) { holder.unreachable = true }},
	{"is paused for 1 s", func(_ *fleet, holder *fleetNode, now time.Time) { holder.pausedUntil = now.Add(time.Second) }},
	{"is paused for 4 s", func(_ *fleet, holder *fleetNode, now time.Time) { holder.pausedUntil = now.Add(4 * time.Second) }},
	{"is cut off from peers", func(_ *fleet, holder *fleetNode, now time.Time) { holder.peersCutUntil = now.Add(4 * time.Second) }},
	{"is cut off from the table", func(_ *fleet, holder *fleetNode, now time.Time) { holder.tableCutUntil = now.Add(4 * time.Second) }},
	{"is cut off from peers and table", func(_ *fleet, holder *fleetNode, now time.Time) {
		holder.peersCutUntil, holder.tableCutUntil = now.Add(4*time.Second), now.Add(4*time.Second)
	}},
	{"replies of the table are lost", func(_ *fleet, holder *fleetNode, now time.Time) {
		holder.tableRepliesLostUntil = now.Add(3 * time.Second)
	}},
	{"reaches no peer, but peers reach it", func(_ *fleet, holder *fleetNode, now time.Time) { holder.sendsLostUntil = now.Add(3 * time.Second) }},
	{"the table is down", func(f *fleet, _ *fleetNode, now time.Time) { f.tableDownUntil = now.Add(5 * time.Second) }},
}

// runFaults runs three nodes that together send perSecond requests per second. It injects the
// faults one after another, each after its delay, into the node that holds the shard then.
func runFaults(t *testing.T, tolerance Tolerance, limit Limit, perSecond float64, injected []fault, delays []time.Duration) *fleet {
	var f *fleet
	virtualtime.Test(t, func(*testing.T) {
		f = newFleet(tolerance, 3)
		defer f.shutdown()
		time.Sleep(settleTime)
		for _, n := range f.nodes {
			f.send(n, tenant, limit, perSecond/3, 12*time.Second)
		}
		for i, failure := range injected {
			time.Sleep(delays[i])
			holder := f.holder(tenant)
			f.update(func() { failure.apply(f, holder, time.Now()) })
		}
		time.Sleep(14 * time.Second)
	})
	return f
}

// allowed returns the maximum number of requests in a window.
func allowed(tolerance Tolerance, limit Limit) float64 {
	return limit.Rate*tolerance.Window.Seconds() + limit.Burst + tolerance.excess(limit)
}

// TestNoTwoFaultsBreakALimit injects every pair of faults with several gaps, while a tenant sends
// five times its limit.
func TestNoTwoFaultsBreakALimit(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40, Version: 1}
	for _, first := range faults {
		for _, second := range faults {
			for _, gap := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 2600 * time.Millisecond, 4200 * time.Millisecond} {
				f := runFaults(t, DefaultTolerance, limit, 200, []fault{first, second}, []time.Duration{2 * time.Second, gap})
				if got := f.ran.maxInWindow(DefaultTolerance.Window); float64(got) > allowed(DefaultTolerance, limit) {
					t.Errorf("%s, after %v %s: %d requests in a window, allowed: %v", first.name, gap, second.name, got, allowed(DefaultTolerance, limit))
				}
				if len(f.ran) < 150 { // of 560 that the limit allows; nodes in local mode admit fewer
					t.Errorf("%s, after %v %s: only %d requests ran in 12 s", first.name, gap, second.name, len(f.ran))
				}
			}
		}
	}
}

// TestRandomFaultsKeepLimits draws limits, request rates and three faults at random times.
func TestRandomFaultsKeepLimits(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(7)
	parameters.MinSuccessfulTests = 120
	properties := gopter.NewProperties(parameters)
	properties.Property("no window holds more than is allowed", prop.ForAll(
		func(rate float64, factor float64, kinds, millis []int) string {
			limit := Limit{Rate: rate, Burst: rate, Version: 1}
			var injected []fault
			var delays []time.Duration
			for i, kind := range kinds {
				injected = append(injected, faults[kind])
				delays = append(delays, time.Duration(millis[i])*time.Millisecond)
			}
			f := runFaults(t, DefaultTolerance, limit, rate*factor, injected, delays)
			if got := f.ran.maxInWindow(DefaultTolerance.Window); float64(got) > allowed(DefaultTolerance, limit) {
				return fmt.Sprintf("%d requests in a window, allowed: %v", got, allowed(DefaultTolerance, limit))
			}
			return ""
		},
		gen.Float64Range(5, 150), gen.Float64Range(0.5, 7),
		gen.SliceOfN(3, gen.IntRange(0, len(faults)-1)), gen.SliceOfN(3, gen.IntRange(0, 4000)),
	))
	properties.TestingRun(t)
}

// TestWithinTheLimitNobodyIsRefused sends a tenant's usual load, which is within its limit.
func TestWithinTheLimitNobodyIsRefused(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40, Version: 1}
	f := runFaults(t, DefaultTolerance, limit, 25, nil, nil)
	if f.refused > 0 || len(f.ran) < 290 {
		t.Errorf("%d requests ran, %d were refused", len(f.ran), f.refused)
	}
}

// TestALostHolderCostsLittle kills, cuts off or pauses the holder of a tenant that is within its
// limit: at most as many requests are refused as the tenant sends in a second.
func TestALostHolderCostsLittle(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40, Version: 1}
	for _, failure := range faults[:4] {
		f := runFaults(t, DefaultTolerance, limit, 25, []fault{failure}, []time.Duration{2 * time.Second})
		if f.refused > 25 {
			t.Errorf("%s: %d requests were refused, %d ran", failure.name, f.refused, len(f.ran))
		}
	}
}

// keepLeasesAlive keeps a node's leases from expiring, whatever the node itself does with them.
func (f *fleet) keepLeasesAlive(n *fleetNode) {
	for ; f.ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		n.holdings.each(func(_ int, l *lease) { l.answerUntil = time.Now().Add(unlimitedLease) })
	}
}

// TestMutationsBreakLimits checks that the tests above detect what they should: a holder whose
// lease does not expire while it is paused and does not reach the table, and accounts that assume
// many times the tolerance.
func TestMutationsBreakLimits(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40, Version: 1}
	lenient := DefaultTolerance
	lenient.Slack *= 30
	endless := fault{"its lease does not expire", func(f *fleet, holder *fleetNode, now time.Time) {
		holder.pausedUntil, holder.tableCutUntil = now.Add(4*time.Second), now.Add(12*time.Second)
		go f.keepLeasesAlive(holder)
	}}
	for _, mutation := range []struct {
		name      string
		tolerance Tolerance
		fault     fault
	}{
		{"endless lease", DefaultTolerance, endless},
		{"thirty times the slack", lenient, faults[0]},
	} {
		f := runFaults(t, mutation.tolerance, limit, 200, []fault{mutation.fault}, []time.Duration{2 * time.Second})
		if got := f.ran.maxInWindow(DefaultTolerance.Window); float64(got) <= allowed(DefaultTolerance, limit) {
			t.Errorf("%s: %d requests in a window do not exceed the limit", mutation.name, got)
		}
	}
}

package tests

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/client"
	"github.com/pewtermill/pewtermill/internal/command/devcluster"
	"github.com/pewtermill/pewtermill/internal/operator"
	"github.com/pewtermill/pewtermill/internal/standin/platform"
)

// TestOperatorsRace lets two operators submit different bundles on the same
// base at once, again and again, while nodes are killed and the store loses
// replies, all under load. One of the two must win each time, no node's version
// may ever fall, and all nodes must end with the last winner.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, size{engines: 3, nodes: 3})
	w := startWorkload(t, d, 31)
	watched := watchVersions(d)
	inForce := d.bundle
	setFaults(t, d.platformURL, platform.Faults{LoseReplyShare: 0.3, LateApplyMillis: 20, Seed: 11})
	for round := range d.nodes {
		w.waitProgress(callersAtOnce)
		var winner sync.WaitGroup
		winner.Go(func() { inForce = d.race(inForce, uint64(round)) })
		d.nodes[round].kill()
		winner.Wait()
		d.replaceNode(round, d.nodes[round].name)
	}
	setFaults(t, d.platformURL, platform.Faults{})
	d.waitInForce(inForce)
	watched.finish()
	w.waitProgress(callersAtOnce)
	w.finish()
}

// race submits two rivals to the base, which is in force, and returns the one that won.
func (d *deployment) race(base *bundle.Bundle, seed uint64) *bundle.Bundle {
	rivals := [2]*bundle.Bundle{successor(base, 20), successor(base, 30)}
	var won [2]bool
	var submissions sync.WaitGroup
	for index, rival := range rivals {
		random := rand.New(rand.NewPCG(seed, uint64(index)))
		submissions.Go(func() { won[index] = d.submitUntilSettled(rival, random) })
	}
	submissions.Wait()
	if won[0] == won[1] {
		d.t.Errorf("both operators were told %t by version %d", won[0], rivals[0].Version)
	}
	if won[1] {
		return rivals[1]
	}
	return rivals[0]
}

// successor returns the next version of a bundle, which differs
// from it by one limit.
func successor(base *bundle.Bundle, ahead int64) *bundle.Bundle {
	next := *base
	next.BaseVersion = base.Version
	next.Version = base.Version + 1
	next.Limits.MaxSequenceAhead = ahead
	return &next
}

// submitUntilSettled submits a bundle at random nodes until it is accepted,
// or refused because another one is in force. It returns whether it won.
func (d *deployment) submitUntilSettled(submitted *bundle.Bundle, random *rand.Rand) bool {
	signed, err := devcluster.Sign(submitted)
	if err != nil {
		d.t.Error(err)
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	_, err = untilAnswered(ctx, d.anyOperator(random), func(ctx context.Context, c *client.Client) (operator.SubmitResult, error) {
		return c.SubmitBundle(ctx, signed)
	})
	var refusal *api.Error
	if err != nil && (!errors.As(err, &refusal) || refusal.Code != api.BundleStale) {
		d.t.Errorf("version %d: %v", submitted.Version, err)
	}
	return err == nil
}

// anyOperator is like anyNode for operators.
func (d *deployment) anyOperator(random *rand.Rand) func() *client.Client {
	return func() *client.Client {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		return d.nodes[random.IntN(len(d.nodes))].operator()
	}
}

// waitInForce waits until every node has the bundle in force.
func (d *deployment) waitInForce(wanted *bundle.Bundle) {
	d.t.Helper()
	digest := bundle.Digest(wanted)
	for _, node := range d.nodes {
		waitUntil(d.t, fmt.Sprintf("%s has version %d in force", node.name, wanted.Version), func(ctx context.Context) bool {
			status, err := node.operator().BundleStatus(ctx)
			return err == nil && status.Version == wanted.Version && status.Digest == digest
		})
	}
}

// versionWatch polls the version in force on every node.
type versionWatch struct {
	d       *deployment
	stop    context.CancelFunc
	watcher sync.WaitGroup
}

func watchVersions(d *deployment) *versionWatch {
	ctx, stop := context.WithCancel(context.Background())
	v := &versionWatch{d: d, stop: stop}
	for _, node := range d.nodes {
		v.watcher.Go(func() { v.watch(ctx, node) })
	}
	return v
}

// watch fails the test if the version of one run of a node falls.
func (v *versionWatch) watch(ctx context.Context, node *nodeProcess) {
	var highest uint64
	for ctx.Err() == nil {
		status, err := node.operator().BundleStatus(ctx)
		if err == nil && status.Version < highest {
			v.d.t.Errorf("%s went back from version %d to %d", node.name, highest, status.Version)
		}
		highest = max(highest, status.Version)
		rest(ctx)
	}
}

func (v *versionWatch) finish() {
	v.stop()
	v.watcher.Wait()
}

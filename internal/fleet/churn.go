package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/internal/membership"
)

// Rhythm of churn.
const (
	churnBase       = 4 * time.Second         // of the quiet measurement before
	slopePeriod     = 1500 * time.Millisecond // of changes with nothing else going on
	slopeChanges    = 4
	changePeriod    = 3 * time.Second
	changes         = 4
	restartPeriod   = 4 * time.Second
	restarts        = 2
	restartPause    = 200 * time.Millisecond // between the end and the next start
	killAfter       = 2 * time.Second
	watchTimeout    = 30 * time.Second
	drainTimeout    = 10 * time.Second
	inForceInterval = 2 * time.Millisecond // between looks at all nodes
)

// Spread is the distribution of a duration in seconds.
type Spread struct {
	Count  int     `json:"count"`
	Median float64 `json:"p50_seconds"`
	Max    float64 `json:"max_seconds"`
}

// Churn is what was measured while bundles changed, nodes were restarted as
// planned, and one was killed, all at once.
type Churn struct {
	Nodes    int     `json:"nodes"`
	CellSize int     `json:"cell_size"`
	Quiet    Steady  `json:"quiet"`  // of the same nodes just before
	Change   Change  `json:"change"` // of the bundle, with nothing else going on
	Busy     Steady  `json:"busy"`   // during churn
	InForce  Spread  `json:"in_force"`
	Changes  float64 `json:"changes_per_second"`
	// Rejoin is from the second start of a restarted node until its whole
	// cell counts it as ready; Detect is from a kill until every other
	// member of the cell holds the node for dead.
	Rejoin Spread `json:"rejoin"`
	Detect Spread `json:"detect"`
}

// Change is what one change of the bundle costs one node, over what it costs
// it while quiet.
type Change struct {
	ProcessorMillis float64 `json:"processor_millis"`
	PeerBytes       float64 `json:"peer_bytes"` // both ways, with headers and acknowledgements
	TableOperations float64 `json:"table_operations"`
}

// churn collects what is measured while it runs.
type churn struct {
	*cluster
	mutex   sync.Mutex // guards all below
	inForce []time.Duration
	rejoin  []time.Duration
	detect  []time.Duration
}

// MeasureChurn starts a cluster of hollow nodes and measures it under churn.
func MeasureChurn(ctx context.Context, options Options, size int) (Churn, error) {
	options = options.withDefaults()
	c, err := newCluster(ctx, options, size)
	if err != nil {
		return Churn{}, err
	}
	defer c.close()
	before := readMemory()
	if err := c.start(ctx); err != nil {
		return Churn{}, err
	}
	run := &churn{cluster: c}
	if err := pause(ctx, options.Settle); err != nil {
		return Churn{}, err
	}
	quiet, err := c.measure(before, func() error { return pause(ctx, churnBase) })
	if err != nil {
		return Churn{}, err
	}
	changing, err := c.measure(before, func() error { return c.changeOften(ctx) })
	if err != nil {
		return Churn{}, err
	}
	started := time.Now()
	busy, err := c.measure(before, func() error { return run.disturb(ctx) })
	if err != nil {
		return Churn{}, err
	}
	return Churn{
		Nodes:    size,
		CellSize: quiet.CellSize,
		Quiet:    quiet,
		Change:   costOfChange(quiet, changing),
		Busy:     busy,
		InForce:  spreadOf(run.inForce),
		Changes:  changes / time.Since(started).Seconds(),
		Rejoin:   spreadOf(run.rejoin),
		Detect:   spreadOf(run.detect),
	}, nil
}

// changeOften submits a bundle every slopePeriod.
func (c *cluster) changeOften(ctx context.Context) error {
	for range slopeChanges {
		c.configuration.next()
		if _, err := c.submit(ctx, 0); err != nil {
			return err
		}
		if err := pause(ctx, slopePeriod); err != nil {
			return err
		}
	}
	return nil
}

func costOfChange(quiet, changing Steady) Change {
	each := changing.Seconds / slopeChanges
	return Change{
		ProcessorMillis: 10 * (changing.CorePercent - quiet.CorePercent) * each,
		PeerBytes:       (changing.PeerBytes - quiet.PeerBytes) * each,
		TableOperations: (changing.TableOperations - quiet.TableOperations) * each,
	}
}

// disturb runs all kinds of churn at once. Node 0 is left alone and takes the
// bundles in; the last node is killed.
func (c *churn) disturb(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.change(ctx) })
	group.Go(func() error { return c.restart(ctx) })
	group.Go(func() error { return c.kill(ctx) })
	return group.Wait()
}

// change submits a bundle every changePeriod and watches it come into force.
func (c *churn) change(ctx context.Context) error {
	for range changes {
		c.configuration.next()
		version := c.configuration.current.Version
		submitted, err := c.submit(ctx, 0)
		if err != nil {
			return err
		}
		if err := c.watchVersion(ctx, version, submitted); err != nil {
			return err
		}
		if err := pause(ctx, time.Until(submitted.Add(changePeriod))); err != nil {
			return err
		}
	}
	return nil
}

// watchVersion notes when each node that runs has the version in force. A
// node that is restarted meanwhile counts from its new start on.
func (c *churn) watchVersion(ctx context.Context, version uint64, submitted time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	done := make([]bool, c.size)
	err := waitEvery(ctx, inForceInterval, func() bool {
		left := 0
		for index, running := range c.running() {
			if running == nil || done[index] {
				continue
			}
			if snapshot := running.InForce(); snapshot == nil || snapshot.Version() < version {
				left++
				continue
			}
			done[index] = true
			c.note(&c.inForce, time.Since(submitted))
		}
		return left == 0
	})
	return errors.Wrapf(err, "version %d in force everywhere", version)
}

// restart stops nodes as planned and starts them again.
func (c *churn) restart(ctx context.Context) error {
	for turn := range restarts {
		index := (1 + turn) % c.size
		if index == c.size-1 || index == 0 {
			return nil // too few nodes for so many restarts
		}
		began := time.Now()
		drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
		err := c.running()[index].Drain(drainCtx)
		cancel()
		if err != nil {
			return err
		}
		c.stopNode(index)
		if err := pause(ctx, restartPause); err != nil {
			return err
		}
		if err := c.rejoinNode(ctx, index); err != nil {
			return err
		}
		if err := pause(ctx, time.Until(began.Add(restartPeriod))); err != nil {
			return err
		}
	}
	return nil
}

// rejoinNode starts a node and waits until its cell counts it as ready.
func (c *churn) rejoinNode(ctx context.Context, index int) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	started := time.Now()
	if err := c.startNode(ctx, index); err != nil {
		return err
	}
	err := waitFor(ctx, func() bool {
		return c.cellAgrees(index, func(member membership.Member, known bool) bool {
			return known && member.State == membership.Alive && member.Ready
		})
	})
	c.note(&c.rejoin, time.Since(started))
	return errors.Wrapf(err, "%s ready again", nodeName(index))
}

// kill ends the last node without notice, waits until its cell holds it for
// dead, and starts it again.
func (c *churn) kill(ctx context.Context) error {
	if err := pause(ctx, killAfter); err != nil {
		return err
	}
	index := c.size - 1
	killed := time.Now()
	c.stopNode(index)
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	err := waitFor(watchCtx, func() bool {
		return c.cellAgrees(index, func(member membership.Member, known bool) bool {
			return !known || member.State == membership.Dead
		})
	})
	if err != nil {
		return errors.Wrapf(err, "%s held for dead", nodeName(index))
	}
	c.note(&c.detect, time.Since(killed))
	return c.startNode(ctx, index)
}

// cellAgrees tells whether all running nodes of the node's cell, the node
// itself too, see it so.
func (c *cluster) cellAgrees(index int, holds func(member membership.Member, known bool) bool) bool {
	for other, running := range c.running() {
		if running == nil || c.cellOf(other) != c.cellOf(index) {
			continue
		}
		member, known := running.Members().Member(nodeName(index))
		if !holds(member, known) {
			return false
		}
	}
	return true
}

func (c *churn) note(list *[]time.Duration, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	*list = append(*list, took)
}

func spreadOf(durations []time.Duration) Spread {
	if len(durations) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(durations))
	return Spread{
		Count:  len(sorted),
		Median: sorted[len(sorted)/2].Seconds(),
		Max:    sorted[len(sorted)-1].Seconds(),
	}
}

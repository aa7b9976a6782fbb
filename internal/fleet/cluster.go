package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/internal/membership"
	"github.com/pewtermill/pewtermill/internal/node"
	"github.com/pewtermill/pewtermill/internal/settings"
	"github.com/pewtermill/pewtermill/internal/wire"
)

// Settings that all hollow nodes share.
const (
	clusterKey      = "cluster key of hollow nodes"
	loopbackAnyPort = "127.0.0.1:0"
	platformURL     = "http://platform.invalid" // never dialed
	seedsPerCell    = 3
	pollPeriod      = 10 * time.Millisecond // of conditions that are waited for
	startTimeout    = 60 * time.Second
	startParallel   = 16
)

// cluster is a number of hollow nodes with their stand-ins.
type cluster struct {
	options       Options
	size          int
	platform      *countingPlatform
	transport     *engineTransport
	configuration *configuration

	mutex   sync.Mutex // guards all below
	nodes   []*node.Node
	retired wire.Traffic
}

// newCluster prepares the stand-ins; start starts the nodes.
func newCluster(ctx context.Context, options Options, size int) (*cluster, error) {
	platform, err := newCountingPlatform(options.Machines)
	if err != nil {
		return nil, err
	}
	cells := (size + options.CellSize - 1) / options.CellSize
	if err := platform.addPrograms(ctx, cells, size*options.ProgramsPerNode); err != nil {
		return nil, err
	}
	return &cluster{
		options:       options,
		size:          size,
		platform:      platform,
		transport:     newEngineTransport(options),
		configuration: newConfiguration(options, min(size, options.CellSize), cells),
		nodes:         make([]*node.Node, size),
	}, nil
}

// start starts all nodes, the seeds of each cell first, puts the first bundle
// in force and waits until every node is ready and sees its whole cell.
func (c *cluster) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for seed := range min(seedsPerCell, c.options.CellSize) {
		if err := c.startEach(ctx, func(index int) bool { return index%c.options.CellSize == seed }); err != nil {
			return err
		}
	}
	if err := c.startEach(ctx, func(index int) bool { return index%c.options.CellSize >= seedsPerCell }); err != nil {
		return err
	}
	if _, err := c.submit(ctx, 0); err != nil {
		return err
	}
	err := waitFor(ctx, func() bool { return c.unsettled() == "" })
	return errors.Wrapf(err, "start of %d nodes: %s", c.size, c.unsettled())
}

func (c *cluster) startEach(ctx context.Context, chosen func(index int) bool) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(startParallel)
	for index := range c.size {
		if chosen(index) {
			group.Go(func() error { return c.startNode(ctx, index) })
		}
	}
	return group.Wait()
}

// startNode starts a node; its name is the same at every start.
func (c *cluster) startNode(ctx context.Context, index int) error {
	chosen := settings.Settings{
		Name:            nodeName(index),
		Cell:            cellName(c.cellOf(index)),
		Zone:            zoneName(c.cellOf(index)%regions, index%zonesPerRegion),
		CallerAddress:   loopbackAnyPort,
		OperatorAddress: loopbackAnyPort,
		PeerAddress:     loopbackAnyPort,
		Seeds:           c.seeds(index),
		PlatformURL:     platformURL,
		ClusterKey:      clusterKey,
	}
	created, err := node.New(chosen.WithDefaults(), node.Dependencies{
		Logger:        slog.New(slog.DiscardHandler),
		Table:         c.platform,
		Objects:       c.platform,
		Machines:      c.platform,
		Hollow:        true,
		BackendClient: &http.Client{Transport: c.transport},
	})
	if err != nil {
		return errors.Wrapf(err, "create %s", chosen.Name)
	}
	if err := created.Start(ctx); err != nil {
		created.Close()
		return errors.Wrapf(err, "start %s", chosen.Name)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nodes[index] = created
	return nil
}

// seeds are the addresses of the first nodes of the cell that run.
func (c *cluster) seeds(index int) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var seeds []string
	first := c.cellOf(index) * c.options.CellSize
	for other := first; other < min(c.size, first+c.options.CellSize); other++ {
		if other != index && c.nodes[other] != nil && len(seeds) < seedsPerCell {
			seeds = append(seeds, c.nodes[other].PeerAddress())
		}
	}
	return seeds
}

func (c *cluster) cellOf(index int) int { return index / c.options.CellSize }

// running returns the nodes that run, by index; nil for one that does not.
func (c *cluster) running() []*node.Node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*node.Node(nil), c.nodes...)
}

// unsettled names a running node that lacks the newest bundle, or does not see
// all running nodes of its cell alive and ready; it is empty if there is none.
func (c *cluster) unsettled() string {
	nodes := c.running()
	for index, running := range nodes {
		if running == nil {
			continue
		}
		if version := running.InForce().Version(); version != c.configuration.current.Version {
			return fmt.Sprintf("%s has version %d", nodeName(index), version)
		}
		alive, all := aliveMembers(running), c.runningInCell(nodes, c.cellOf(index))
		if alive != all {
			return fmt.Sprintf("%s sees %d of %d members of its cell", nodeName(index), alive, all)
		}
	}
	return ""
}

func (c *cluster) runningInCell(nodes []*node.Node, cell int) int {
	count := 0
	for index, running := range nodes {
		if running != nil && c.cellOf(index) == cell {
			count++
		}
	}
	return count
}

func aliveMembers(running *node.Node) int {
	count := 0
	for _, member := range running.Members().Members {
		if member.State == membership.Alive && member.Ready {
			count++
		}
	}
	return count
}

// stopNode ends a node at once, without notice to its peers.
func (c *cluster) stopNode(index int) {
	c.mutex.Lock()
	stopped := c.nodes[index]
	c.nodes[index] = nil
	c.mutex.Unlock()
	if stopped == nil {
		return
	}
	traffic := stopped.PeerTraffic()
	stopped.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.retired = c.retired.Add(traffic)
}

// submit puts the current configuration in force through one node.
func (c *cluster) submit(ctx context.Context, index int) (time.Time, error) {
	signed, err := c.configuration.signed()
	if err != nil {
		return time.Time{}, err
	}
	submitted := time.Now()
	_, err = c.running()[index].Operator().SubmitBundle(ctx, signed)
	return submitted, errors.Wrap(err, "submit bundle")
}

// traffic is the sum over all nodes that ran.
func (c *cluster) traffic() wire.Traffic {
	nodes := c.running()
	c.mutex.Lock()
	sum := c.retired
	c.mutex.Unlock()
	for _, running := range nodes {
		if running != nil {
			sum = sum.Add(running.PeerTraffic())
		}
	}
	return sum
}

// close ends all nodes at once.
func (c *cluster) close() {
	var group sync.WaitGroup
	for index := range c.size {
		group.Go(func() { c.stopNode(index) })
	}
	group.Wait()
}

// waitFor polls a condition until it holds or ctx ends.
func waitFor(ctx context.Context, condition func() bool) error {
	return waitEvery(ctx, pollPeriod, condition)
}

func waitEvery(ctx context.Context, period time.Duration, condition func() bool) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "hollow nodes did not settle")
		case <-ticker.C:
		}
	}
	return nil
}

func nodeName(index int) string { return fmt.Sprintf("node-%d", index) }

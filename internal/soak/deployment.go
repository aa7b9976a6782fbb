package soak

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// Names in the deployment.
const (
	host          = "soak.example"
	routeKept     = "kept"
	routeResumed  = "resumed"
	routeOnce     = "once" // resumable, with one engine per attempt
	routeSafe     = "safe"
	routeUnsafe   = "unsafe"
	routeMoved    = "moved" // its service changes
	serviceModels = "models"
	servicePortal = "portal"
	serviceOther  = "other"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Loopback address ranges of soaks, and host numbers within a range.
const (
	firstRange       = 140
	lastRange        = 150
	claimHost        = "1:6999" // a listener here marks the range as taken
	firstProcessHost = 10
	firstPeerHost    = 100 // addresses where processes listen for peers, which connect through a forwarder
)

// Engines per service, and other sizes.
const (
	enginesPerService = 4
	maxHistory        = 5000 // changes that the store keeps
	exitCheckInterval = 100 * time.Millisecond
)

// deployment holds the store, the engines and the processes of a soak.
type deployment struct {
	context   context.Context
	checker   *Checker
	startTime time.Time
	store     *operators.Store
	subnet    string
	claim     net.Listener
	slots     []*slot
	processes []*process

	storeFaults     storeFaults
	links           links
	evacuationMutex sync.Mutex
	configMutex     sync.Mutex
	moveMutex       sync.Mutex // held while the store moves
	version         int
	variant         settingsVariant
	engineVersions  int     // number of engine software versions; 0 for softwareVersions
	idleTimeout     setting // idle timeout of connections
	timeout         setting // of all routes
	tasks           sync.WaitGroup
	injected        counter
	outcomes        counter
	ids             atomic.Int64
	endless         atomic.Int64 // answers without an end
}

// counter counts events by name. Safe for concurrent use.
type counter struct {
	mutex  sync.Mutex
	counts map[string]int64
}

func (c *counter) add(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int64)
	}
	c.counts[name]++
}

func (d *deployment) now() time.Duration { return time.Since(d.startTime) }

// later runs a function after the given time, unless the soak ends first.
func (d *deployment) later(after time.Duration, do func()) {
	d.tasks.Go(func() {
		if backoff.Wait(d.context, after) {
			do()
		}
	})
}

// newDeployment starts the engines and processes and waits until the processes are ready.
func newDeployment(ctx context.Context, checker *Checker, directory string, options Options) (*deployment, error) {
	d := &deployment{context: ctx, checker: checker, startTime: time.Now(), store: operators.NewStore(), variant: initialVariant}
	d.engineVersions = options.EngineVersions
	d.tasks.Go(d.beat)
	d.store.SetFault(d.storeFaults.faultFor)
	for _, service := range []string{serviceModels, servicePortal, serviceOther} {
		for i := range enginesPerService {
			d.slots = append(d.slots, &slot{name: fmt.Sprintf("%s%d", service, i+1), number: i, service: service, zone: zones[i%len(zones)]})
		}
	}
	for _, s := range d.slots {
		d.addEngine(s, 0)
	}
	d.configure()
	if err := d.claimRange(); err != nil {
		return d, err
	}
	return d, d.startProcesses(directory, options)
}

// claimRange claims a range of loopback addresses that no other soak uses.
func (d *deployment) claimRange() error {
	for high := firstRange; high <= lastRange; high++ {
		for low := range 250 {
			prefix := fmt.Sprintf("127.%d.%d.", high, low)
			if listener, err := net.Listen("tcp", prefix+claimHost); err == nil {
				d.subnet, d.claim = prefix, listener
				return nil
			}
		}
	}
	return errors.New("every range of loopback addresses is taken")
}

func (d *deployment) startProcesses(directory string, options Options) error {
	for number := range options.Processes {
		p, err := d.newProcess(number, directory, options)
		if err == nil {
			err = p.start()
		}
		if err != nil {
			return err
		}
		d.processes = append(d.processes, p)
	}
	for _, p := range d.processes {
		if !p.waitReady(d.context) {
			return errors.Newf("%s was not ready before the soak ended; program %s", p.settings.Node, filepath.Base(options.Program))
		}
		d.checker.DisruptionStarted(p.settings.Node, true) // the start counts as a planned disruption
		d.checker.DisruptionEnded(d.now(), p.settings.Node, true)
	}
	return nil
}

// close stops everything that the deployment started.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.kill()
		p.forwarder.close()
		p.endpoint.Close() // no process sends requests any more
	}
	for _, s := range d.slots {
		s.current.terminate()
	}
	d.store.Server.CloseClientConnections()
	_ = d.store.Server.Listener.Close()
	if d.claim != nil {
		_ = d.claim.Close()
	}
}

package serving

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Times of a planned stop.
const (
	// notReadyDelay is how long the process keeps accepting new connections after it reports that it is not ready: load
	// balancers need two readiness checks, a second apart, and some delay.
	notReadyDelay = 2500 * time.Millisecond
	// stopIdleTimeout is how long a client may use an idle connection during a stop. It has passed, for clients
	// that are not notified of the stop, when no more connections are accepted.
	stopIdleTimeout = 2 * time.Second
	// stopMargin is the part of the grace period that is reserved for the work after the last response.
	stopMargin = 700 * time.Millisecond
	// minReturnTime is the minimum time for the return of allowances after the last response has ended; it is
	// longer if the grace period leaves more. If tokens of a program stay held here, the program's requests are
	// rejected because its budget is spent, and a write to a slow store takes .3 s. Peers close their connections
	// within this time as well.
	minReturnTime = 500 * time.Millisecond
	// defaultGracePeriod is the grace period if the settings state none.
	defaultGracePeriod = 5 * time.Second
)

// Shares of a grace period that is too short for the times above.
const (
	notReadyShare = 0.5
	marginShare   = 1.0 / 6
	returnShare   = 0.7 // of the margin
)

// stopSchedule is the course of a planned stop.
type stopSchedule struct {
	grace     time.Duration // for the whole stop
	notReady  time.Duration // how long new connections are accepted
	answers   time.Duration // from the order to stop until connections are closed
	minReturn time.Duration // for the work after that
}

// scheduleStop returns the course of a planned stop, all of which is over at the end of the grace period.
func scheduleStop(gracePeriod time.Duration) stopSchedule {
	if gracePeriod <= 0 {
		gracePeriod = defaultGracePeriod
	}
	margin := min(stopMargin, share(marginShare, gracePeriod))
	return stopSchedule{
		grace:     gracePeriod,
		notReady:  min(notReadyDelay, share(notReadyShare, gracePeriod)),
		answers:   gracePeriod - margin,
		minReturn: min(minReturnTime, share(returnShare, margin)),
	}
}

// share returns a share of a duration.
func share(fraction float64, of time.Duration) time.Duration {
	return time.Duration(fraction * float64(of))
}

// Stop performs a planned stop: it reports that the process is not ready, keeps serving until load balancers send no more
// connections, then waits for the requests in flight. It returns at the end of the grace period even if calls to the store
// or to peers have not returned by then.
func (p *Process) Stop(ctx context.Context) {
	schedule := scheduleStop(p.settings.GracePeriod)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		p.stop(ctx, schedule)
	}()
	timer := time.NewTimer(schedule.grace)
	defer timer.Stop()
	select {
	case <-stopped:
	case <-timer.C:
		p.logger.Warn("grace period ended before the stop", "grace", schedule.grace.String())
	}
}

// stop performs the steps of a planned stop.
func (p *Process) stop(ctx context.Context, schedule stopSchedule) {
	start := time.Now()
	end := start.Add(schedule.answers)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.stopping.Store(true)
	p.handler.DrainUntil(end)
	p.callers.SetStopping()
	p.ownerServer.StopAccepting()
	p.witness.StopAccepting()
	p.preferPeerOwners()
	p.carryServer.StopAccepting()
	p.commits.StopAccepting()
	p.relayServer.StopAccepting()
	p.watch.StopAccepting()
	p.turnCache.StopAccepting()
	p.originServer.StopAccepting()
	var draining sync.WaitGroup
	draining.Go(func() { p.releaseShards(ctx) })
	draining.Go(func() { p.ledger.Drain(ctx) })
	p.logger.Info("stopping", "grace", schedule.grace.String())
	backoff.Wait(ctx, schedule.notReady)
	p.handler.RejectLonger()
	drainContext, endDrain := context.WithDeadline(ctx, end)
	p.callers.StopAccepting()
	err := errors.CombineErrors(p.callers.Drain(drainContext), p.carryServer.Drain(drainContext))
	endDrain()
	p.returnAndDrain(ctx, max(schedule.minReturn, time.Until(end)))
	cancel()
	draining.Wait()
	p.Close()
	p.logger.Info("stopped", "took", time.Since(start).String(), "cut", err != nil)
}

// preferPeerOwners makes other processes reserve the budgets of this process's turns from now on.
func (p *Process) preferPeerOwners() {
	p.viewMutex.Lock()
	defer p.viewMutex.Unlock()
	if p.ownersClient != nil {
		p.ownersClient.PreferPeers()
	}
}

// returnAndDrain returns allowances to the store. Concurrently, it replicates the origins of streams, reports engines that ended
// under requests, notifies peers to use other processes and answers their pending requests; neither waits for the other, or
// uses up its time.
func (p *Process) returnAndDrain(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var others sync.WaitGroup
	others.Go(func() { p.drainPeers(ctx) })
	others.Go(p.originClient.ReplicateAll)
	others.Go(func() { p.endClient.Flush(ctx) })
	p.ledger.ReturnAllowances(ctx)
	others.Wait()
}

// Close stops the process at once.
func (p *Process) Close() {
	if p.cancel == nil {
		return
	}
	p.cancel()
	p.relayTable.Close()
	p.ingressServer.Close()
	p.readyServer.Close()
	p.listeners.close()
	if p.metricsServer != nil {
		p.metricsServer.Close()
	}
	p.loops.Wait()
	p.pool.Close()
}

package serving

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/relay"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/zonewatch"
)

// Times after which clients of an isolated zone may retry.
const (
	// retryWhileConnecting applies while new connections still arrive here: a program retries a rejected turn only
	// a few times, and these retries have to last until other zones get them.
	retryWhileConnecting = time.Second
	// retryAfterDrain applies once no new connections arrive. A client that is rejected then has kept a connection, and
	// reaches another zone over a new one.
	retryAfterDrain = 250 * time.Millisecond
	// drainedAfter is how long new connections arrive: until the slowest process of the zone has detected the
	// isolation too, and notReadyDelay beyond that.
	drainedAfter = notReadyDelay + time.Second
)

// probeRow is the row that is read to probe the store. It need not exist.
const probeRow = "relay-members//sign"

// probeStore reads one row of the store over this process's direct path.
func (p *Process) probeStore(ctx context.Context) error {
	_, err := p.dependencies.Table.Get(ctx, probeRow)
	if ctx.Err() == nil && !errors.Is(err, tablestore.ErrUnreachable) {
		return nil // any response shows that the store is reachable
	}
	return err
}

// zoneChanged counts and logs a detected change of a zone, and updates the zones that the placer avoids. Requests leave a zone
// that is suspected.
func (p *Process) zoneChanged(change zonewatch.Change) {
	p.metrics.zoneChanges.WithLabelValues(string(change.Kind)).Inc()
	level := slog.LevelWarn
	if change.Kind == zonewatch.ZoneRecovered || change.Kind == zonewatch.NodeRejoined {
		level = slog.LevelInfo
	}
	p.logger.Log(context.Background(), level, string(change.Kind), "zone_concerned", change.Zone,
		"for_ms", millis(change.Duration), "silent", change.Unresponsive, "zones_silent", change.UnresponsiveZones)
	p.placer.SetLostZones(p.zones.SuspectedZones())
	if change.Kind == zonewatch.ZoneSuspected {
		p.handler.ZoneSuspected(change.Zone)
	}
}

// isIsolated reports whether this process's zone is partitioned from the other zones and from the store.
func (p *Process) isIsolated() bool {
	_, isolated := p.zones.IsolatedSince()
	return isolated
}

// retryAfter returns the time after which clients may retry, and whether this process's zone is isolated. New
// connections go to other zones once no process of this one reports that it is ready.
func (p *Process) retryAfter() (time.Duration, bool) {
	since, isolated := p.zones.IsolatedSince()
	if !isolated {
		return 0, false
	}
	if time.Since(since) < drainedAfter {
		return retryWhileConnecting, true
	}
	return retryAfterDrain, true
}

// engineConnected records that an engine accepted a connection.
func (p *Process) engineConnected(address string, took time.Duration) {
	p.metrics.connections.WithLabelValues().Inc()
	p.placer.Connected(address, took)
	if zone, listed := p.placer.ZoneOf(address); listed {
		p.zones.EngineResponded(address, zone)
	}
}

// engineUnresponsive records that an attempt to connect to an engine timed out.
func (p *Process) engineUnresponsive(address string, startedAt time.Time) {
	if zone, listed := p.placer.ZoneOf(address); listed {
		p.zones.EngineUnresponsive(address, zone, startedAt)
	}
}

// zonesOf returns the zones of peers, by the peers' address.
func zonesOf(peers []relay.Peer) map[string]string {
	zones := make(map[string]string, len(peers))
	for _, peer := range peers {
		zones[peer.Address] = peer.Zone
	}
	return zones
}

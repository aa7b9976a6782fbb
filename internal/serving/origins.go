package serving

import (
	"context"
	"log/slog"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/ingress"
	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/relay"
)

// maxOriginRecords is the maximum number of log records per second about origins that were not replicated.
const maxOriginRecords = 5

// initOrigins sets up the store, the server and the client of stream origins. An origin is the engine and software
// version that first served a stream. store is the source that reads the store itself.
func (p *Process) initOrigins(store discovery.Source) {
	p.originLog.maxPerSecond = maxOriginRecords
	p.originStore = origins.NewMemory()
	p.originServer = origins.NewServer(p.originStore, p.softwareVersions, p.versionKnownFor)
	options := origins.Options{
		Node:        p.settings.Node,
		Memory:      p.originStore,
		Versions:    p.softwareVersions,
		KnownFor:    p.versionKnownFor,
		FixedWindow: p.settings.StreamWarmUp,
		HasUnreadChange: func(ctx context.Context, service, version string) (bool, error) {
			return p.follower.HasUnreadChange(ctx, store, service, version)
		},
		Suspected: p.zones.PeerSuspected,
		Observer:  p,
	}
	if p.originRecord != nil {
		options.Record = p.originRecord
	}
	p.originClient = origins.NewClient(options)
}

// versionKnownFor returns for how long it is known which software versions a service has.
func (p *Process) versionKnownFor(service string) time.Duration {
	return p.follower.VersionKnownFor(service, time.Now())
}

// softwareVersions returns the software versions of a service that are listed, or were within VersionRetention.
func (p *Process) softwareVersions(service string) []string {
	return p.follower.View().SoftwareVersions(service, time.Now(), discovery.VersionRetention)
}

// originPeers returns the peers that store the origins of streams.
func originPeers(members []relay.Peer) []origins.Peer {
	peers := make([]origins.Peer, 0, len(members))
	for _, peer := range members {
		peers = append(peers, origins.Peer{Zone: peer.Zone, Address: peer.Address})
	}
	return peers
}

// replicateOrigins sends the origins of this node's streams to peers, for each service for which a second version has been
// listed. viewMutex is held.
func (p *Process) replicateOrigins(view *discovery.View) {
	for service := range listedServices(view) {
		multiple := len(p.softwareVersions(service)) > 1
		if multiple && !p.multiVersion[service] {
			p.originClient.ReplicateOwn(service)
			p.originRecord.Wake()
		}
		p.multiVersion[service] = multiple
	}
}

// listedServices returns the services that have listed engines.
func listedServices(view *discovery.View) map[string]bool {
	services := make(map[string]bool)
	for _, engine := range view.Engines {
		services[engine.Service] = true
	}
	return services
}

// OriginNotReplicated implements origins.Observer.
func (p *Process) OriginNotReplicated(origin origins.Origin) {
	p.metrics.unreplicated.WithLabelValues().Inc()
	if suppressed, allowed := p.originLog.allow(time.Now()); allowed {
		p.logger.Warn("origin of a stream not told", "request", origin.Stream, "engine", origin.Engine, "version", origin.Version, "left_out", suppressed)
	}
}

// OriginReplicationFailed implements origins.Observer.
func (p *Process) OriginReplicationFailed(peer string, count int, cause error) {
	if suppressed, allowed := p.originLog.allow(time.Now()); allowed {
		p.logger.Warn("origins of streams not told", "peer", peer, "count", count, "error", cause.Error(), "left_out", suppressed)
	}
}

// resumeResult returns the label for the outcome of a stream that its client resumed.
func resumeResult(report ingress.Report) string {
	switch {
	case report.Events > 0:
		return "went_on"
	case report.Code == api.StreamVersionUnknown:
		return "version_unknown"
	case report.Code == api.StreamVersionGone:
		return "version_gone"
	}
	return "other"
}

// registerOrigins registers the metrics of stored origins.
func (p *Process) registerOrigins() {
	p.metrics.RegisterGauge("pewtermill_serve_origins", "Streams whose origin this process remembers.", func() float64 {
		count, _ := p.originStore.Len()
		return float64(count)
	})
	p.metrics.RegisterGauge("pewtermill_serve_origins_dropped", "Origins that were not remembered, since there were too many.", func() float64 {
		_, dropped := p.originStore.Len()
		return float64(dropped)
	})
}

// originAttributes returns the log attributes of the software version at which a stream had to stay.
func originAttributes(report ingress.OriginReport) []slog.Attr {
	var fields []any
	if report.Version != "" {
		fields = append(fields, slog.String("version", report.Version))
	}
	if finding := report.Finding; finding.Basis != "" {
		fields = append(fields, slog.String("ground", string(finding.Basis)), slog.Int("asked", finding.PeersAsked), slog.Int("answered", finding.PeersAnswered))
		if len(finding.Versions) > 1 {
			fields = append(fields, slog.Any("versions", finding.Versions))
		}
		if finding.StoreError != nil {
			fields = append(fields, slog.String("store_error", finding.StoreError.Error()))
		}
	}
	if report.Confirmed > 0 {
		fields = append(fields, slog.Int("told", report.Confirmed))
	}
	if len(fields) == 0 {
		return nil
	}
	return []slog.Attr{slog.Group("origin", fields...)}
}

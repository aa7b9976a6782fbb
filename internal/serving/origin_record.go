package serving

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/originrecord"
	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// initOriginRecord sets up the rows of the store that state which streams processes began while several versions served. It must be
// called before initOrigins.
func (p *Process) initOriginRecord(table tablestore.Table, runID string) {
	p.originRecord = originrecord.New(originrecord.Options{
		Table:      table,
		RunID:      runID,
		Begun:      func() []origins.Origin { return p.originStore.Begun(time.Now()) },
		Several:    p.severalVersions,
		AnySeveral: p.anySeveralVersions,
		Processes:  func() int { return p.originClient.PeerCount() + 1 },
		Sweeps:     p.writesVersionRecord,
		Observer:   p,
	})
}

// severalVersions reports whether several software versions of a service may have begun streams that clients may resume: they
// are listed, or were within VersionRetention, or they served before this process saw every change, by the record of versions.
func (p *Process) severalVersions(service string) bool {
	if len(p.softwareVersions(service)) > 1 {
		return true
	}
	return p.versionRecord.HasSeveral(service) && p.versionKnownFor(service) < discovery.VersionRetention
}

// anySeveralVersions reports whether severalVersions is true of any service.
func (p *Process) anySeveralVersions() bool {
	view := p.follower.View()
	if view.Table == nil {
		return false
	}
	for service := range view.Table.Configuration.Services {
		if p.severalVersions(service) {
			return true
		}
	}
	return false
}

// OriginRecordFailed implements originrecord.Observer.
func (p *Process) OriginRecordFailed(cause error) {
	p.metrics.originRecordFailures.WithLabelValues().Inc()
	if suppressed, allowed := p.originLog.allow(time.Now()); allowed {
		p.logger.Warn("origins of streams not read or written", "error", cause.Error(), "left_out", suppressed)
	}
}

// registerOriginRecord registers the metrics of the rows of origins.
func (p *Process) registerOriginRecord() {
	p.metrics.RegisterGauge("pewtermill_serve_origin_rows_written", "Times that this process wrote its row of the streams that it began while several software versions served.", func() float64 {
		written, _ := p.originRecord.Calls()
		return float64(written)
	})
	p.metrics.RegisterGauge("pewtermill_serve_origin_rows_read", "Times that this process read the rows of all processes, for streams that callers took up.", func() float64 {
		_, read := p.originRecord.Calls()
		return float64(read)
	})
}

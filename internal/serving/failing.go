package serving

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/outliers"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// Limits of a probe of an engine.
const (
	// probeTimeout is how long a probe waits for the engine's response. A full engine lets the probe wait, so a
	// timeout is no evidence of a failure.
	probeTimeout = 200 * time.Millisecond
	// maxHealthBytes is the maximum number of bytes that are read of the response body.
	maxHealthBytes = 4 << 10
)

// startProbe probes the health of an engine at which a request failed, here or at another node, and reports to the placer
// whether the probe failed too. It does not block.
func (p *Process) startProbe(engine routing.Engine) {
	go func() { p.placer.ProbeFinished(engine.ID, p.probeFails(engine)) }()
}

// health is an engine's response to a health check.
type health struct {
	status    int
	header    http.Header
	responder routing.Incarnation // the incarnation that responded, as far as the response states it
}

// requestHealth sends a health check to an engine over a new connection.
func (p *Process) requestHealth(ctx context.Context, engine routing.Engine) (health, error) {
	conn, err := p.pool.OpenNew(ctx, destinationOf(engine))
	if err != nil {
		return health{}, err
	}
	response, err := p.pool.Send(ctx, conn, upstream.Request{
		Method: http.MethodGet,
		Target: p.healthPath(engine.Service),
		Host:   engine.Address,
		Header: http.Header{},
	})
	if err != nil {
		return health{}, err
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBytes))
	return health{status: response.StatusCode, header: response.Header, responder: p.dependencies.Protocol.ReportedIncarnation(response.Header, body)}, err
}

// incarnationAt returns the incarnation of an engine that responds at its address now.
func (p *Process) incarnationAt(ctx context.Context, engine routing.Engine) (routing.Incarnation, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result, err := p.requestHealth(ctx, engine)
	return result.responder, err
}

// probeFails reports whether an engine refuses connections, ends a new one without a response, or reports that it fails.
// A timeout is no evidence of a failure, nor is a full engine, which lets the probe wait or rejects it. A response that
// reports a healthy engine is no evidence to the contrary.
func (p *Process) probeFails(engine routing.Engine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	result, err := p.requestHealth(ctx, engine)
	switch {
	case errors.Is(err, upstream.ErrNoConnection):
		return ctx.Err() == nil && !upstream.IsDialTimeout(err)
	case err != nil:
		return ctx.Err() == nil
	}
	if otherEngine, ended := answeredByOther(engine, result.responder); otherEngine {
		return ended
	}
	return result.status >= http.StatusInternalServerError &&
		!p.dependencies.Protocol.NotExecuted(result.status, result.header)
}

// answeredByOther reports whether an engine or incarnation other than the expected one has responded, and whether the
// expected one has ended in that case. The health of another one is no evidence about the expected one, and a response of
// an earlier incarnation does not even show that the expected one has ended.
func answeredByOther(expected routing.Engine, reported routing.Incarnation) (other, ended bool) {
	switch {
	case reported.Name != "" && reported.Name != expected.Name:
		return true, true
	case reported.StartUnixMilli == 0 || expected.StartUnixMilli == 0 || reported.StartUnixMilli == expected.StartUnixMilli:
		return false, false
	}
	return true, reported.StartUnixMilli > expected.StartUnixMilli
}

// healthPath returns the path of health checks of a service's engines.
func (p *Process) healthPath(service string) string {
	if table := p.follower.View().Table; table != nil && table.Configuration.Services[service].HealthPath != "" {
		return table.Configuration.Services[service].HealthPath
	}
	return "/health"
}

// EngineEjected implements placement.Observer.
func (p *Process) EngineEjected(engine routing.Engine, status outliers.Status) {
	p.metrics.ejections.WithLabelValues(string(status.Basis)).Inc()
	fields := []any{"engine", engine.ID, "service", engine.Service, "ground", string(status.Basis)}
	if !status.Until.IsZero() {
		fields = append(fields, "until", status.Until)
	}
	p.logger.Info("engine passed over", fields...)
}

// EngineRestored implements placement.Observer.
func (p *Process) EngineRestored(engine routing.Engine) {
	p.logger.Info("engine not passed over any more", "engine", engine.ID, "service", engine.Service)
}

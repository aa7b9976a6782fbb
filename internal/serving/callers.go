package serving

import (
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/internal/callers"
)

// logUnanswered counts a client connection that ended with a request on it not completely answered, and logs
// the cause. It does not log clients that disconnected: the log records of their requests show it.
func (p *Process) logUnanswered(end callers.Unanswered) {
	p.metrics.unanswered.WithLabelValues(end.State.Name(), string(end.Cause)).Inc()
	if end.Cause == callers.ClientDisconnected {
		return
	}
	p.logger.Warn("connection ended without an answer",
		"state", end.State.Name(),
		"cause", string(end.Cause),
		"stopping", end.Stopping,
		"answered_before", end.Served,
		slog.Float64("age_ms", millis(end.Age)),
		slog.Float64("since_read_ms", millis(end.SinceRead)))
}

// callerLimits returns the limits of client connections in the active configuration.
func (p *Process) callerLimits() callers.Limits {
	view := p.follower.View()
	if view.Table == nil {
		return callers.Limits{}
	}
	limits := view.Table.Configuration.Limits
	return callers.Limits{HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, HeaderBytes: limits.HeaderBytes}
}

// maxOperatorHeadBytes is the size up to which the head of a request for readiness or metrics is read.
const maxOperatorHeadBytes = 16 << 10

// newOperatorTracker returns the tracker of a port for operators: readiness checks or metrics.
func (p *Process) newOperatorTracker() *callers.Tracker {
	limits := callers.Limits{HeaderBytes: maxOperatorHeadBytes}
	return callers.NewTracker(callers.Options{
		Unanswered: func(end callers.Unanswered) {
			if end.Cause != callers.ClientDisconnected {
				_, _ = fmt.Fprintf(&p.serverErrors, "connection for readiness or metrics ended without an answer: %s", end.Cause) // it never fails
			}
		},
		KeepAlive: stopIdleTimeout,
		Limits:    func() callers.Limits { return limits },
		Capacity:  p.settings.Machine().OperatorCapacity(callers.MaxDescriptors()),
		Refused: func(refusal callers.Refusal) {
			_, _ = fmt.Fprintf(&p.serverErrors, "connection for readiness or metrics refused: %s", refusal) // it never fails
		},
	})
}

// countRefusal counts a caller that was refused before its request was read.
func (p *Process) countRefusal(refusal callers.Refusal) {
	p.metrics.refusedCallers.WithLabelValues(string(refusal)).Inc()
}

// logPeriod is the time over which log records are limited, and the minimum time between two writes of a throttledWriter.
const logPeriod = time.Second

// maxRecordBytes is the length to which a log text is truncated.
const maxRecordBytes = 512

// throttledWriter passes on one log record per logPeriod, truncated to maxRecordBytes, and drops the others. It
// implements io.Writer. Safe for concurrent use.
type throttledWriter struct {
	write     func(line string)
	lastWrite atomic.Int64 // time of the last record passed on, in Unix nanoseconds
}

// Write implements io.Writer.
func (w *throttledWriter) Write(record []byte) (int, error) {
	last, now := w.lastWrite.Load(), time.Now().UnixNano()
	if now-last >= int64(logPeriod) && w.lastWrite.CompareAndSwap(last, now) {
		w.write(strings.TrimSpace(string(record[:min(len(record), maxRecordBytes)])))
	}
	return len(record), nil
}

package zonefeed

import "time"

// Times that decide whether a process's data is current.
const (
	// tickPeriod is the time between two ticks, which show that the process runs.
	tickPeriod = 100 * time.Millisecond
	// pauseThreshold is the time without a tick after which the process counts as having been
	// paused. On a machine that limits processor time by a quota per tenth of a second, a tick
	// comes at most 200 ms late.
	pauseThreshold = 300 * time.Millisecond
	// confirmationLifetime is how long an answer of the service confirms that the data is current: as
	// long as the next answer may take, which is pauseAfterChanges, watchWait and 100 ms of latency.
	confirmationLifetime = pauseAfterChanges + watchWait + 100*time.Millisecond
	// callLifetime is how long after an answer of the service the next one may begin before the call counts as failed.
	callLifetime = pauseAfterChanges + watchWait + responseTimeout
)

// contact records when the service last answered a call for the changes of a table, and whether the
// process has run without a pause since. After a pause, a process finds pending answers that are as
// old as the pause; they do not confirm the present state. No I/O; not safe for concurrent use.
type contact struct {
	tickedAt     time.Time
	runningSince time.Time // no pause between two ticks since then
	lastCalls    map[string]serviceCall
	servedAt     map[string]time.Time // when the service last answered a call of any kind for a table
}

// serviceCall is the time span of a call that the service answered.
type serviceCall struct{ begun, ended time.Time }

// tick records that the process runs.
func (c *contact) tick(now time.Time) {
	if c.tickedAt.IsZero() || now.Sub(c.tickedAt) > pauseThreshold {
		c.runningSince = now
	}
	c.tickedAt = now
}

// recordAnswer records that the service answered a call for the changes of a table.
func (c *contact) recordAnswer(table string, begun, ended time.Time) {
	if c.lastCalls == nil {
		c.lastCalls = make(map[string]serviceCall)
	}
	c.lastCalls[table] = serviceCall{begun: begun, ended: ended}
	c.recordServed(table, ended)
}

// recordServed records that the service answered a call for a table, whether or not the answer confirms its data.
func (c *contact) recordServed(table string, ended time.Time) {
	if c.servedAt == nil {
		c.servedAt = make(map[string]time.Time)
	}
	c.servedAt[table] = ended
}

// invalidate makes a table's data count as not current until the next answer of the service.
func (c *contact) invalidate(table string) { delete(c.lastCalls, table) }

// recordFailure records that the service did not answer a call for a table.
func (c *contact) recordFailure(table string) {
	c.invalidate(table)
	delete(c.servedAt, table)
}

// awaitsCall reports whether the next answer of the service may still begin: the last call did not fail, and the
// next one has not timed out.
func (c *contact) awaitsCall(table string, now time.Time) bool {
	servedAt, found := c.servedAt[table]
	return found && now.Sub(servedAt) <= callLifetime
}

// isCurrent reports whether the service has confirmed a table's data recently enough to return it to followers.
func (c *contact) isCurrent(table string, now time.Time) bool {
	last, found := c.lastCalls[table]
	running := !c.tickedAt.IsZero() && now.Sub(c.tickedAt) <= pauseThreshold
	return found && running && !last.begun.Before(c.runningSince) && now.Sub(last.ended) <= confirmationLifetime
}

// Package logstory reconstructs the timeline of one request or program from the log
// records of any number of nodes: what was decided, on what information, and why it
// ended as it did. It reads the log that internal/serving writes.
package logstory

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
)

// Messages of the log records that a timeline uses. docs/OPERATIONS.md lists them.
const (
	messageRequest  = "request ended"
	messageView     = "view changed"
	messageLost     = "store lost"
	messageRegained = "store regained"
	messageStarted  = "started"
	messageStopping = "stopping"
	messageHolder   = "holder of limits lost"
	messageTaken    = "shard of limits taken"
)

// lookBack is how far before a request the events of its node are included.
const lookBack = 15 * time.Second

// basisLocal is the basis of a decision on a limit that the node made without the limit's holder.
const basisLocal = "alone"

// maxLineBytes is the maximum size of one log record.
const maxLineBytes = 1 << 20

// Line is one log record.
type Line struct {
	Time          time.Time       `json:"time"`
	Message       string          `json:"msg"`
	Node          string          `json:"node"`
	Request       string          `json:"request"`
	Program       string          `json:"program"`
	Tenant        string          `json:"tenant"`
	Route         string          `json:"route"`
	Service       string          `json:"service"`
	Status        int             `json:"status"`
	Code          api.Code        `json:"code"`
	Reason        string          `json:"reason"`
	Configuration int64           `json:"configuration"`
	AgeMillis     float64         `json:"configuration_age_ms"` // of that configuration
	LimitMillis   float64         `json:"limit_ms"`             // until it was counted towards its tenant's limit
	Limit         *limit          `json:"limit"`
	Peer          string          `json:"peer"`
	Shard         int             `json:"shard"`
	TookMillis    float64         `json:"took_ms"`
	LedgerMillis  float64         `json:"ledger_ms"`
	SettleMillis  float64         `json:"settle_ms"`
	AheadMillis   float64         `json:"ahead_ms"`
	RetryMillis   float64         `json:"retry_after_ms"`
	CallerLeft    bool            `json:"caller_left"`
	Events        int             `json:"events"`
	LastEvent     string          `json:"last_event"`
	Resumes       string          `json:"resumes"`
	Engines       json.RawMessage `json:"engines"` // a number in other records
	Collection    string          `json:"collection"`
	Error         string          `json:"error"`
	Silence       string          `json:"silence"`
	EnginesReady  int             `json:"engines_ready"`
}

// limit is the decision on a request by its tenant's limit.
type limit struct {
	Verdict string  `json:"verdict"`
	Basis   string  `json:"ground"`
	Rate    float64 `json:"rate"`  // requests per second
	Burst   float64 `json:"burst"` // requests above the rate
	Left    int     `json:"left"`  // tokens at the holder in its last response
	Term    uint64  `json:"term"`  // of that holder; 0 if there was no response
	HeardMS float64 `json:"heard_ms"`
}

// String describes the decision in a sentence.
func (l limit) String() string {
	text := fmt.Sprintf("%s by %v requests a second and a burst of %v", l.Verdict, l.Rate, l.Burst)
	if l.Basis == basisLocal {
		text += ", by this node's own part, since it did not reach who counts"
	}
	if l.Term == 0 {
		return text
	}
	return fmt.Sprintf("%s; %d tokens were left %.0f ms before, in term %d", text, l.Left, l.HeardMS, l.Term)
}

// attempt is one send to an engine.
type attempt struct {
	engine  string
	Version string  `json:"version"` // of its software
	Outcome string  `json:"outcome"`
	AtMS    float64 `json:"at_ms"`
	TookMS  float64 `json:"took_ms"`
	Why     string  `json:"why"`
	Detail  string  `json:"detail"`
	Route   string  `json:"way"`
	Through string  `json:"through"` // peer that carried it, or declined to
}

// routeText describes the route of an attempt through a peer; empty for a direct attempt.
func (a attempt) routeText() string {
	if a.Through == "" {
		return ""
	}
	return fmt.Sprintf(", %s by %s", a.Route, a.Through)
}

// Read reads log records. It ignores text before a line's first brace, such as a
// prefix of the log's collector, and lines of other programs.
func Read(content io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(content)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		brace := bytes.IndexByte(scanner.Bytes(), '{')
		if brace < 0 {
			continue
		}
		var line Line
		if json.Unmarshal(scanner.Bytes()[brace:], &line) == nil && line.Message != "" {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// ErrNoMatch is returned if no record names the request or program.
var ErrNoMatch = errors.New("no log line names this request or program")

// WriteTimeline writes the timeline of a request, or of all requests of a program. The order
// is by the timestamps of the nodes, whose clocks may differ.
func WriteTimeline(w io.Writer, lines []Line, id string) error {
	var requests []Line
	for _, line := range lines {
		if line.Message == messageRequest && (line.Request == id || line.Program == id) {
			requests = append(requests, line)
		}
	}
	if len(requests) == 0 {
		return errors.Wrapf(ErrNoMatch, "%s", id)
	}
	slices.SortStableFunc(requests, func(a, b Line) int { return a.startTime().Compare(b.startTime()) })
	written := make(map[int]bool)
	for _, line := range requests {
		writeNodeState(w, lines, line, written)
		writeRequest(w, line)
	}
	last := requests[len(requests)-1]
	fmt.Fprintf(w, "cause: %s\n", Cause(last))
	return nil
}

func (l Line) startTime() time.Time {
	return l.Time.Add(-time.Duration(l.TookMillis * float64(time.Millisecond)))
}

// writeNodeState writes the events of the node within lookBack before the request, each
// record once.
func writeNodeState(w io.Writer, lines []Line, request Line, written map[int]bool) {
	for i, line := range lines {
		age := request.Time.Sub(line.Time)
		if line.Node != request.Node || age < 0 || age > lookBack || written[i] {
			continue
		}
		written[i] = true
		switch line.Message {
		case messageLost:
			fmt.Fprintf(w, "%s %s had lost the store (%s): %s\n", formatTime(line.Time), line.Node, line.Collection, line.Error)
		case messageRegained:
			fmt.Fprintf(w, "%s %s had regained the store (%s) after %s\n", formatTime(line.Time), line.Node, line.Collection, line.Silence)
		case messageHolder:
			fmt.Fprintf(w, "%s %s had lost %s, who counts for shard %d of the tenants: %s\n", formatTime(line.Time), line.Node, line.Peer, line.Shard, line.Error)
		case messageTaken:
			fmt.Fprintf(w, "%s %s counted for shard %d of the tenants\n", formatTime(line.Time), line.Node, line.Shard)
		case messageStarted, messageStopping:
			fmt.Fprintf(w, "%s %s was %s\n", formatTime(line.Time), line.Node, line.Message)
		case messageView:
			if line.Collection == "configurations" {
				fmt.Fprintf(w, "%s %s took configuration %d\n", formatTime(line.Time), line.Node, line.Configuration)
			}
		}
	}
}

// writeRequest writes one request.
func writeRequest(w io.Writer, line Line) {
	fmt.Fprintf(w, "%s %s got request %s", formatTime(line.startTime()), line.Node, line.Request)
	if line.Program != "" {
		fmt.Fprintf(w, " of program %s", line.Program)
	}
	if line.Tenant != "" {
		fmt.Fprintf(w, " of tenant %s", line.Tenant)
	}
	if line.Route != "" {
		fmt.Fprintf(w, " on route %s to service %s, by configuration %d", line.Route, line.Service, line.Configuration)
	}
	fmt.Fprintln(w)
	if line.Resumes != "" || line.LastEvent != "" {
		fmt.Fprintf(w, "    it takes up the stream that request %s began, behind event %s\n", cmp.Or(line.Resumes, "(not said)"), cmp.Or(line.LastEvent, "(not said)"))
	}
	if line.LedgerMillis > 0 {
		fmt.Fprintf(w, "    +%.1f ms: the ledger had answered whether it may run\n", line.LedgerMillis)
	}
	if line.Limit != nil {
		fmt.Fprintf(w, "    the tenant's limit took %.1f ms: %s\n", line.LimitMillis, line.Limit)
	}
	for _, attempt := range line.attempts() {
		fmt.Fprintf(w, "    +%.1f ms: sent to %s%s (%s)%s\n", attempt.AtMS, attempt.engine, withPrefix(" of version ", attempt.Version), attempt.Why, attempt.routeText())
		fmt.Fprintf(w, "    +%.1f ms: %s%s\n", attempt.AtMS+attempt.TookMS, attempt.Outcome, withPrefix(": ", attempt.Detail))
	}
	if line.SettleMillis > 0 {
		fmt.Fprintf(w, "    recording the turn took %.1f ms\n", line.SettleMillis)
	}
	fmt.Fprintf(w, "    +%.1f ms: answered %d", line.TookMillis, line.Status)
	if line.Code != api.OK {
		fmt.Fprintf(w, ", code %d (%s): %s", int(line.Code), line.Code, line.Reason)
	}
	if line.RetryMillis > 0 {
		fmt.Fprintf(w, "; to come back in %.0f ms", line.RetryMillis)
	}
	if line.CallerLeft {
		fmt.Fprint(w, "; the caller had left")
	}
	fmt.Fprintln(w)
}

// attempts returns the attempts at engines, in order of time.
func (l Line) attempts() []attempt {
	var byEngine map[string]attempt
	if json.Unmarshal(l.Engines, &byEngine) != nil {
		return nil
	}
	attempts := make([]attempt, 0, len(byEngine))
	for engine, entry := range byEngine {
		entry.engine = engine
		attempts = append(attempts, entry)
	}
	slices.SortFunc(attempts, func(a, b attempt) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return attempts
}

// Cause describes in one sentence why a request ended as it did.
func Cause(line Line) string {
	attempts := line.attempts()
	switch {
	case line.Code == api.OK && line.Status < 400:
		return fmt.Sprintf("none; it was served with status %d", line.Status)
	case line.Code == api.OK:
		return fmt.Sprintf("engine %s itself answered %d", lastEngine(attempts), line.Status)
	case line.CallerLeft && len(attempts) > 0:
		return fmt.Sprintf("the caller left after %.0f ms while engine %s had it", line.TookMillis, lastEngine(attempts))
	case line.CallerLeft:
		return fmt.Sprintf("the caller left after %.0f ms, before any engine had it", line.TookMillis)
	case line.Code == api.StoreDown && line.AheadMillis > 0:
		return fmt.Sprintf("the store was away, and not back %.0f ms after the turn began to run ahead: %s", line.AheadMillis, line.Reason)
	case line.Code == api.BackendFailed && line.SettleMillis > 0:
		return fmt.Sprintf("the engine had answered, and the store did not record the turn in %.0f ms: %s", line.SettleMillis, line.Reason)
	case line.Code == api.StoreDown:
		return "the store did not answer this node: " + line.Reason
	case line.Code == api.NotReady:
		return "the node had no configuration, or none that it could rely on: " + line.Reason
	case line.Code == api.TenantLimit && line.Limit != nil && line.Limit.Basis == basisLocal:
		return "this node did not reach who counts for the tenant: " + line.Reason
	case line.Code == api.TenantLimit, line.Code == api.Unauthenticated:
		return fmt.Sprintf("%s; configuration %d had been in force here for %.0f ms", line.Reason, line.Configuration, line.AgeMillis)
	case line.Code == api.BudgetExhausted, line.Code == api.BudgetUnsettled, line.Code == api.CallNotFound, line.Code == api.PathNotFound:
		return line.Reason
	case len(attempts) == 0:
		return "no engine could take it: " + line.Reason
	}
	outcomes := make([]string, len(attempts))
	for i, entry := range attempts {
		outcomes[i] = fmt.Sprintf("%s %s%s", entry.engine, entry.Outcome, withPrefix(": ", entry.Detail))
	}
	return line.Reason + " [" + strings.Join(outcomes, "; ") + "]"
}

func lastEngine(attempts []attempt) string {
	if len(attempts) == 0 {
		return "unknown"
	}
	return attempts[len(attempts)-1].engine
}

// withPrefix returns text with a prefix, or nothing for an empty text.
func withPrefix(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}

func formatTime(at time.Time) string { return at.UTC().Format("15:04:05.000") }

package owners

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

const (
	// usageRetention is how long after its last report a witness keeps an allowance. A holder uses no allowance without a write for
	// as long.
	usageRetention = 15 * time.Minute
	// incapableRetry is when a node that knew no reports is asked again.
	incapableRetry = 10 * time.Second
)

// errNotConfirmed reports that a witness does not confirm a report: it is another run, is stopping, or has closed or
// forgotten the allowance.
var errNotConfirmed = errors.New("the witness does not confirm the report")

// allowanceKey identifies the allowance of a run.
type allowanceKey struct{ program, runID string }

// usage is what the holder of an allowance has reported.
type usage struct {
	number   uint64 // of the report
	used     int64  // tokens at most
	closedTo uint64 // reports based on this write and earlier ones are not confirmed
	changed  time.Time
}

// Witness counts what other nodes use of their allowances. Its knowledge ends with the run. Safe for concurrent use.
type Witness struct {
	runID    string
	now      func() time.Time
	stopping atomic.Bool

	mutex      sync.Mutex
	usages     map[allowanceKey]*usage
	lastExpiry time.Time
}

// NewWitness returns a witness without reports. runID names this run of the node.
func NewWitness(runID string, now func() time.Time) *Witness {
	return &Witness{runID: runID, now: now, usages: make(map[allowanceKey]*usage)}
}

// StopAccepting makes the witness confirm no more reports, because the node is stopping.
func (w *Witness) StopAccepting() { w.stopping.Store(true) }

// Report handles a report.
func (w *Witness) Report(request *wirepb.ReportUsage) *wirepb.Reply {
	return replyWith(&wirepb.UsageReported{WitnessRun: w.runID, Confirmed: w.record(request)})
}

// record stores a report, and returns whether it is confirmed.
func (w *Witness) record(request *wirepb.ReportUsage) bool {
	if request.GetProgram() == "" || request.GetWitnessRun() != w.runID || w.stopping.Load() {
		return false
	}
	now := w.now()
	key := allowanceKey{request.GetProgram(), request.GetRun()}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.expire(now)
	known := w.usages[key]
	if known == nil {
		if !request.GetFirst() {
			return false
		}
		known = &usage{}
		w.usages[key] = known
	}
	if request.GetWrite() <= known.closedTo {
		return false
	}
	known.changed = now
	if request.GetNumber() > known.number {
		known.number, known.used = request.GetNumber(), request.GetUsed()
	}
	return true
}

// Close handles a request to close an allowance.
func (w *Witness) Close(request *wirepb.CloseAllowance) *wirepb.Reply {
	if request.GetWitnessRun() != w.runID {
		return replyWith(&wirepb.AllowanceClosed{})
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.usages[allowanceKey{request.GetProgram(), request.GetRun()}]
	if known == nil {
		return replyWith(&wirepb.AllowanceClosed{})
	}
	known.closedTo = max(known.closedTo, request.GetWrite())
	known.changed = w.now()
	return replyWith(&wirepb.AllowanceClosed{Known: true, Used: known.used})
}

// expire removes old allowances. The mutex is held.
func (w *Witness) expire(now time.Time) {
	if now.Sub(w.lastExpiry) < expiryPeriod {
		return
	}
	w.lastExpiry = now
	for key, known := range w.usages {
		if now.Sub(known.changed) > usageRetention {
			delete(w.usages, key)
		}
	}
}

// replyWith returns a reply with a message as its body.
func replyWith(body proto.Message) *wirepb.Reply {
	encoded, err := proto.Marshal(body)
	if err != nil {
		return refusal(api.Internal, err.Error())
	}
	return &wirepb.Reply{Body: encoded}
}

// witnessRun is what is known of the run of a peer.
type witnessRun struct {
	runID   string // empty if the peer's build knows no reports
	askedAt time.Time
}

// witnessRuns are the runs of peers as they were last heard of, by address. The zero value knows none. Safe for concurrent use.
type witnessRuns struct {
	mutex sync.Mutex
	runs  map[string]witnessRun
}

// get returns the run at an address; ok is false if it has to be asked for.
func (r *witnessRuns) get(address string, now time.Time) (runID string, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, found := r.runs[address]
	return known.runID, found && (known.runID != "" || now.Sub(known.askedAt) < incapableRetry)
}

func (r *witnessRuns) set(address, runID string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.runs == nil {
		r.runs = make(map[string]witnessRun)
	}
	r.runs[address] = witnessRun{runID, now}
}

// Choose implements ledger.Witnesses. The witness of a program is the next candidate for its owner, which is likely to need to know
// if this node fails.
func (c *Client) Choose(ctx context.Context, program string, other ledger.Witness) (ledger.Witness, bool) {
	now := time.Now()
	for _, address := range c.selector.Candidates(program, now) {
		if address == c.self {
			continue
		}
		runID, known := c.runs.get(address, now)
		if !known {
			runID = c.askRun(ctx, address)
		}
		if witness := (ledger.Witness{Address: address, RunID: runID}); runID != "" && witness != other {
			return witness, true
		}
	}
	return ledger.Witness{}, false
}

// askRun returns the run of a node; empty if it does not answer, or knows no reports.
func (c *Client) askRun(ctx context.Context, address string) string {
	reported, err := c.report(ctx, address, &wirepb.ReportUsage{})
	if err != nil {
		return ""
	}
	return reported.GetWitnessRun()
}

// Report implements ledger.Witnesses.
func (c *Client) Report(ctx context.Context, witness ledger.Witness, report ledger.UsageReport) error {
	reported, err := c.report(ctx, witness.Address, &wirepb.ReportUsage{
		Program: report.Program, Run: report.RunID, WitnessRun: witness.RunID,
		Number: report.Number, Write: report.Write, Used: report.Used, First: report.First,
	})
	if err != nil {
		return err
	}
	if !reported.GetConfirmed() {
		return errors.Wrapf(errNotConfirmed, "node %s", witness.Address)
	}
	return nil
}

// report sends a report, and records the run that replies.
func (c *Client) report(ctx context.Context, address string, report *wirepb.ReportUsage) (*wirepb.UsageReported, error) {
	var reported wirepb.UsageReported
	err := c.ask(ctx, address, &wirepb.Request{From: c.node, Body: &wirepb.Request_ReportUsage{ReportUsage: report}}, &reported)
	switch {
	case err == nil:
		c.runs.set(address, reported.GetWitnessRun(), time.Now())
	case errors.Is(err, errDeclined):
		c.runs.set(address, "", time.Now())
	case ctx.Err() == nil && !errors.Is(err, errExcluded):
		c.suspect(address, err)
	}
	return &reported, err
}

// Close implements ledger.Witnesses.
func (c *Client) Close(ctx context.Context, witness ledger.Witness, program, runID string, write uint64) (int64, error) {
	var closed wirepb.AllowanceClosed
	err := c.ask(ctx, witness.Address, &wirepb.Request{From: c.node, Body: &wirepb.Request_CloseAllowance{CloseAllowance: &wirepb.CloseAllowance{
		Program: program, Run: runID, WitnessRun: witness.RunID, Write: write,
	}}}, &closed)
	if err != nil {
		return 0, err
	}
	if !closed.GetKnown() {
		return 0, ledger.ErrNotWitnessed
	}
	return closed.GetUsed(), nil
}

// errDeclined reports that a node does not do what it was asked for; one of an older build knows no reports.
var errDeclined = errors.New("the node declined")

// ask sends a request to a node, unless its zone does not respond, and decodes the body of the reply.
func (c *Client) ask(ctx context.Context, address string, request *wirepb.Request, body proto.Message) error {
	if c.excluded != nil && c.excluded(address) {
		return errors.Wrapf(errExcluded, "node %s", address)
	}
	reply, err := c.peers.Do(ctx, address, request, func(int64, []byte) {})
	if err != nil {
		return errors.Wrapf(err, "node %s", address)
	}
	if code := api.Code(reply.GetCode()); code != api.OK {
		return errors.Wrapf(errDeclined, "node %s: code %d: %s", address, code, reply.GetDetail())
	}
	return errors.Wrapf(proto.Unmarshal(reply.GetBody(), body), "reply of node %s", address)
}

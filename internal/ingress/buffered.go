package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/placement"
)

// maxBufferedAnswer is the size up to which an answer is read to its end before its first byte is
// forwarded, so that an aborted one can be fetched from another engine.
const maxBufferedAnswer = 256 << 10

// errLostHedge is the reason why a send is cancelled when another one has answered.
var errLostHedge = errors.New("another engine answered first")

// bufferedResponse is an answer that has been read to its end or to maxBufferedAnswer.
type bufferedResponse struct {
	current *attempt
	content []byte
	problem *api.Error
}

// serveBuffered serves a request whose answer is a single body.
func (r *request) serveBuffered(ctx context.Context) *api.Error {
	if problem := r.admit(ctx, false); problem != nil {
		return problem
	}
	var result bufferedResponse
	if r.mayHedge() {
		result = r.fetchHedged(ctx)
	} else {
		result = r.fetch(ctx, &attemptTracker{})
	}
	if result.problem == nil {
		r.passBuffered(result.current, result.content)
	}
	return result.problem
}

// fetch sends the request until an answer has been read.
func (r *request) fetch(ctx context.Context, attempts *attemptTracker) bufferedResponse {
	for {
		current, problem := r.send(ctx, attempts, "")
		if problem != nil {
			return bufferedResponse{problem: problem}
		}
		if r.mayRetryAfter(current, attempts) {
			attempts.countRun(current, placement.ServerError)
			current.finish(placement.ServerError, current.serverErrorText())
			continue
		}
		content, err := io.ReadAll(io.LimitReader(current.answer.Body, maxBufferedAnswer))
		if err == nil && len(content) == maxBufferedAnswer {
			err = current.begin()
		}
		if err == nil {
			if len(content) < maxBufferedAnswer {
				current.answer.Body.Close() // before its context ends, so that the connection is reused
			}
			return bufferedResponse{current: current, content: content}
		}
		outcome := current.classifyFailure(ctx, err)
		attempts.countRun(current, outcome)
		current.finish(outcome, errorText(err))
		if ctx.Err() != nil || !r.route.Repeatable() {
			return bufferedResponse{problem: r.unknownOutcomeProblem(ctx, err)}
		}
	}
}

// cancelledOutcome returns the outcome of a send whose context has ended. An engine that lost a hedge
// counts as failed.
func cancelledOutcome(ctx context.Context) placement.Outcome {
	if errors.Is(context.Cause(ctx), errLostHedge) {
		return placement.Failed
	}
	return placement.Cancelled
}

// passBuffered forwards an answer: the buffered part, and the rest if there is more.
func (r *request) passBuffered(current *attempt, content []byte) {
	if len(content) < maxBufferedAnswer { // the client may have all of it before this function returns
		current.recordEnd(current.finalOutcome(), false)
		r.awaitWithdrawals(maxReportWait)
	}
	r.firstByte()
	if len(content) < maxBufferedAnswer && r.http.Method != http.MethodHead {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	}
	r.writeHead(current.answer.StatusCode, current.answer.Header)
	_, writeError := r.writer.Write(content)
	var readError error
	if len(content) == maxBufferedAnswer && writeError == nil {
		_, readError = io.Copy(r.writer, current.answer.Body)
	}
	if readError != nil {
		current.finish(placement.Failed, errorText(readError))
		r.abortAnswer("the engine broke its answer off")
		return
	}
	current.finish(current.finalOutcome(), "")
}

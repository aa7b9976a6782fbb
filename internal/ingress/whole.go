package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/placement"
)

// maxWholeAnswer is the largest answer that is read whole before its first
// byte is passed on, so that a broken one can be had from another engine.
const maxWholeAnswer = 256 << 10

// serveWhole serves a request whose answer is one body.
func (r *request) serveWhole(ctx context.Context) *api.Error {
	var made attempts
	for {
		current, problem := r.send(ctx, &made, "")
		if problem != nil {
			return problem
		}
		content, err := io.ReadAll(io.LimitReader(current.answer.Body, maxWholeAnswer))
		if err == nil {
			r.passWhole(current, content)
			return nil
		}
		made.runs++
		if ctx.Err() != nil {
			current.finish(placement.Cancelled, errorText(ctx.Err()))
			return r.mayHaveRun(ctx, err)
		}
		current.finish(placement.Failed, errorText(err))
		if !r.route.Repeatable() {
			return r.mayHaveRun(ctx, err)
		}
	}
}

// passWhole passes an answer on: what was read, and the rest if there is more.
func (r *request) passWhole(current *try, content []byte) {
	r.firstByte()
	if len(content) < maxWholeAnswer && r.http.Method != http.MethodHead {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	}
	r.writeHead(current.answer.StatusCode, current.answer.Header)
	_, writeError := r.writer.Write(content)
	var readError error
	if len(content) == maxWholeAnswer && writeError == nil {
		_, readError = io.Copy(r.writer, current.answer.Body)
	}
	if readError != nil {
		current.finish(placement.Failed, errorText(readError))
		r.breakOff("the engine broke its answer off")
		return
	}
	current.finish(placement.Served, "")
}

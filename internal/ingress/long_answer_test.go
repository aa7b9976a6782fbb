package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// slowAnswer is the body of an answer that an engine sends piece by piece until the request is cancelled.
type slowAnswer struct {
	ctx  context.Context
	left int // bytes
}

// Read implements io.Reader.
func (s *slowAnswer) Read(buffer []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(50 * time.Millisecond): // virtual time
		count := min(len(buffer), s.left, 8<<10)
		s.left -= count
		return count, nil
	case <-s.ctx.Done():
		return 0, context.Cause(s.ctx)
	}
}

// slowCarrier passes on such answers.
type slowCarrier struct {
	lateCarrier
	size int // of the answer
}

func (c *slowCarrier) Send(ctx context.Context, _ string, _ carry.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(&slowAnswer{ctx, c.size})}, nil
}

// TestAnswerThatArrivesIsNoSilence guards against answers that are cut, or run again, although their engine sends them all the time: only
// events of streams counted as activity, so that a zone that was suspected to be lost, or a carrier that did not answer a query,
// ended the request.
func TestAnswerThatArrivesIsNoSilence(t *testing.T) {
	for name, size := range map[string]int{"short": 160 << 10, "longer than what is buffered": 640 << 10} {
		for _, zoneLost := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					carrier := &slowCarrier{size: size}
					route := routing.Route{Name: "check", Kind: routing.Safe, MaxAttempts: 2}
					handler := newHandlerOfOneEngine(route, carrier, func(only onePlacer) Placer { return only })
					handler.(*Handler).options.ZoneLost = func(string) bool { return zoneLost }
					recorder := httptest.NewRecorder()
					request := httptest.NewRequest(http.MethodPost, "http://site.example/check", nil).WithContext(t.Context())
					cut := serveUntilAborted(handler, recorder, request)
					if cut || recorder.Code != http.StatusOK || recorder.Body.Len() != size {
						t.Errorf("zone suspected %t: status %d, %d bytes of %d, cut: %t", zoneLost, recorder.Code, recorder.Body.Len(), size, cut)
					}
				})
			})
		}
	}
}

// pausingAnswer is the body of an answer whose engine pauses once it has sent a part, until the request is cancelled.
type pausingAnswer struct {
	slowAnswer
	pauseAt int // bytes left
}

// Read implements io.Reader.
func (p *pausingAnswer) Read(buffer []byte) (int, error) {
	if p.left > p.pauseAt {
		count := min(len(buffer), p.left-p.pauseAt)
		p.left -= count
		return count, nil
	}
	if p.left == p.pauseAt {
		select {
		case <-time.After(time.Second): // virtual time
		case <-p.ctx.Done():
			return 0, context.Cause(p.ctx)
		}
	}
	return p.slowAnswer.Read(buffer)
}

// pausingCarrier passes on such answers. It answers that it runs.
type pausingCarrier struct{ lateCarrier }

func (*pausingCarrier) Alive(context.Context, string) bool { return true }

func (*pausingCarrier) Send(ctx context.Context, _ string, _ carry.Request) (*http.Response, error) {
	body := &pausingAnswer{slowAnswer{ctx, longAnswer}, longAnswer - 300<<10}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}, nil
}

// longAnswer is the size of an answer that begins before all of it has arrived.
const longAnswer = 400 << 10

// TestAnswerThatHasBegunIsNotCutOnSuspicion guards against answers that are cut in the middle: the engine's zone was suspected to be lost, and the
// engine was left for another one, which cannot go on with an answer that is not a stream.
func TestAnswerThatHasBegunIsNotCutOnSuspicion(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		route := routing.Route{Name: "check", Kind: routing.Safe, MaxAttempts: 2}
		handler := newHandlerOfOneEngine(route, &pausingCarrier{}, func(only onePlacer) Placer { return only })
		options := &handler.(*Handler).options
		options.ZoneLost = func(string) bool { return true }
		options.View().Engines["other@1"] = routing.Engine{ID: "other@1", Service: "models", Address: "127.0.0.1:2", Zone: "y"}
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "http://site.example/check", nil).WithContext(t.Context())
		cut := serveUntilAborted(handler, recorder, request)
		if cut || recorder.Code != http.StatusOK || recorder.Body.Len() != longAnswer {
			t.Errorf("status %d, %d bytes of %d, cut: %t", recorder.Code, recorder.Body.Len(), longAnswer, cut)
		}
	})
}

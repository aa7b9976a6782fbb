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
// events of streams counted as a sign of life, so that a zone that was suspected to be lost, or a carrier that did not answer a query,
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

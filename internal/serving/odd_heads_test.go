package serving_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// headForm is a form of an answer whose head is not that of a proper one. sent returns its bytes, given the id of the request and a whole answer
// to it.
type headForm struct {
	name string
	sent func(id, whole string) string
}

// statusForm returns the form of an answer with a status below 200, whose body holds the bytes of a whole answer.
func statusForm(status string) headForm {
	return headForm{"status " + status, func(id, whole string) string {
		return fmt.Sprintf("HTTP/1.1 %s Trouble\r\nX-Request-Id: %s\r\nX-Response-Seal: seal\r\nContent-Length: %d\r\n\r\n%s", status, id, len(whole), whole)
	}}
}

// lineForm returns the form of a whole answer with a further line in its head.
func lineForm(line string) headForm {
	return headForm{line, func(_, whole string) string { return strings.Replace(whole, "\r\n", "\r\n"+line+"\r\n", 1) }}
}

// framingForm returns the form of a whole answer in which the line that frames its body has another name.
func framingForm(length, encoding string) headForm {
	return headForm{length + " or " + encoding, func(_, whole string) string {
		return strings.NewReplacer("\r\nContent-Length:", "\r\n"+length+":", "\r\nTransfer-Encoding:", "\r\n"+encoding+":").Replace(whole)
	}}
}

// answerInForm returns a handler that answers requests whose id starts with "odd-" in a form, and counts them.
func answerInForm(t *testing.T, framing string, form headForm, answers *atomic.Int64) func(http.ResponseWriter, *http.Request) bool {
	return func(writer http.ResponseWriter, request *http.Request) bool {
		id := request.Header.Get("X-Request-Id")
		if !strings.HasPrefix(id, "odd-") {
			return false
		}
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			t.Error(err)
			return true
		}
		defer conn.Close()
		answers.Add(1)
		whole, _ := rawAnswer(framing, id)
		_, _ = io.WriteString(conn, form.sent(id, whole)) // fails if the process has closed the connection
		closeForWriting(t, conn)
		return true
	}
}

// expectNoOddAnswers has engines answer in each form, on routes of each kind, directly and through a peer. No client may get a success.
func expectNoOddAnswers(t *testing.T, forms []headForm) {
	for way, serveBy := range map[string]func(t *testing.T) *deployment{
		"directly": serve,
		"through a peer": func(t *testing.T) *deployment {
			sender, _ := serveCarried(t, oneRegion)
			return sender
		},
	} {
		t.Run(way, func(t *testing.T) {
			d := serveBy(t)
			var answers atomic.Int64
			for number, form := range forms {
				for route, framing := range map[string]string{"safe": "length", "unsafe": "chunks", "kept": "events in chunks", "resumed": "events with a length"} {
					d.handleAll("", answerInForm(t, framing, form, &answers))
					id := fmt.Sprintf("odd-%d-%s", number, route)
					if got := d.upload(route, id, 1); got.status == http.StatusOK && !got.cut {
						t.Errorf("%s, %s: the client got %v, %q", form.name, route, got.header, got.body)
					} else if got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
						t.Errorf("%s, %s: got %d, which says that the request has not run", form.name, route, got.status)
					}
					if next := d.turn("/kept/", "program-"+id, "next-"+id, id, "x"); route == "kept" && next.status == http.StatusOK {
						t.Errorf("%s: the turn was recorded", form.name)
					}
				}
			}
			if answers.Load() < int64(4*len(forms)) {
				t.Errorf("only %d answers were sent", answers.Load())
			}
		})
	}
}

// TestAnswerWithStatusBelow200IsNotPassedOn guards against reading the body of an answer as the head of another one.
func TestAnswerWithStatusBelow200IsNotPassedOn(t *testing.T) {
	expectNoOddAnswers(t, []headForm{statusForm("000"), statusForm("001"), statusForm("099"), statusForm("+20"), statusForm("101"), statusForm("102")})
}

// TestAnswerWithAnInvalidHeaderNameIsNotPassedOn guards against ignoring a line of a head: the client would get a body that is not the engine's.
func TestAnswerWithAnInvalidHeaderNameIsNotPassedOn(t *testing.T) {
	expectNoOddAnswers(t, []headForm{
		lineForm("X-Other : 1"), lineForm("X Other: 1"), lineForm("X-Other\x00: 1"), lineForm("X-Other\x01: 1"), lineForm("X-Other\x7f: 1"),
		lineForm("X-Request-Id : other"), lineForm("Content-Length : 2"), lineForm("Content Length: 2"), lineForm("Transfer-Encoding : chunked"),
		framingForm("Content-Length ", "Transfer-Encoding "), framingForm("Content Length", "Transfer Encoding"),
	})
}

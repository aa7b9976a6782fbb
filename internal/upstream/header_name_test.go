package upstream_test

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/upstream"
)

// TestInvalidHeaderNameIsNoAnswer guards against ignoring a line of a head: a body whose length or encoding is ignored is not the peer's.
func TestInvalidHeaderNameIsNoAnswer(t *testing.T) {
	const chunked = "2\r\nok\r\n0\r\n\r\n"
	for name, line := range map[string]string{
		"length, blank at the end":        "Content-Length : 2",
		"length, blank within":            "Content Length: 2",
		"length, two blanks at the end":   "Content-Length  : 2",
		"own field, blank at the end":     "X-Own : 1",
		"own field, blank within":         "X Own: 1",
		"NUL":                             "X-\x00Own: 1",
		"control byte":                    "X-Own\x01: 1",
		"vertical tab":                    "X-Own\x0b: 1",
		"carriage return":                 "X-Own\r: 1",
		"DEL":                             "X-Own\x7f: 1",
		"tab at the end":                  "X-Own\t: 1",
		"tab within":                      "X\tOwn: 1",
		"separator":                       "X(Own: 1",
		"quote":                           "X\"Own: 1",
		"byte over 127":                   "X-\xe9: 1",
		"no name":                         ": 1",
		"no colon":                        "X-Own",
		"NUL in the value":                "X-Own: \x00",
		"DEL in the value":                "X-Own: \x7f",
		"folded name with a blank before": "Content-Length\r\n : 2",
	} {
		t.Run(name, func(t *testing.T) {
			expectNoAnswer(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\nok")
			expectNoAnswer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+line+"\r\n\r\nok")
			expectNoAnswer(t, "HTTP/1.1 102 Processing\r\n"+line+"\r\n\r\n"+plainAnswer)
		})
	}
	for _, line := range []string{"Transfer-Encoding : chunked", "Transfer Encoding: chunked"} {
		t.Run(line, func(t *testing.T) { expectNoAnswer(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n"+chunked) })
	}
	t.Run("folded value", func(t *testing.T) {
		answer, content, err := exchange(t, sendAnswer(t, "HTTP/1.1 200 OK\r\nX-Own: 1,\r\n 2\r\nContent-Length: 2\r\n\r\nok"))
		if err != nil || content != "ok" || answer.Header.Get("X-Own") != "1, 2" {
			t.Errorf("got %q, %v", content, err)
		}
	})
}

// TestAnswerToAnotherRequestMustBeProper checks that an answer that is skipped is held to the same rules: where it ends would be unknown otherwise.
func TestAnswerToAnotherRequestMustBeProper(t *testing.T) {
	address := sendAnswer(t, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 0\r\n\r\n"+"HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 2\r\n\r\nok")
	pool := newPool()
	defer pool.Close()
	request := post("x")
	request.Accept = func(header http.Header) bool { return header.Get("X-Own") != "" }
	_, _, err := send(t.Context(), t, pool, address, request)
	if !errors.Is(err, upstream.ErrNoAnswer) {
		t.Errorf("got %v, want ErrNoAnswer", err)
	}
}

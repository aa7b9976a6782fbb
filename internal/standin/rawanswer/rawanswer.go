// Package rawanswer serves answers as they are, byte for byte, also those that are not valid.
package rawanswer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// jsonHead is the head of a JSON answer, without what frames its body.
const jsonHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// Proper returns a proper answer with a JSON body.
func Proper(content string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", jsonHead, len(content), content)
}

// WithInvalidHeads returns answers with an invalid status or header name, by what is invalid. Each holds the bytes of a proper answer.
func WithInvalidHeads(content string) map[string]string {
	answers := make(map[string]string)
	for _, status := range []string{"000", "001", "099", "+20", "101", "102"} {
		answers["status "+status] = fmt.Sprintf("HTTP/1.1 %s Trouble\r\nContent-Length: %d\r\n\r\n%s", status, len(Proper(content)), Proper(content))
	}
	for _, line := range []string{"X-Own : 1", "X Own: 1", "X-Own\x01: 1", "Content-Length : 2", "Transfer-Encoding : chunked"} {
		answers["line "+line] = jsonHead + line + "\r\n\r\n" + content
	}
	return answers
}

// Serve returns the base URL of a server that reads each request, sends the answer, and closes the connection. It ends with the test.
func Serve(t testing.TB, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection, answer)
		}
	}()
	return "http://" + listener.Addr().String()
}

// serve answers one request.
func serve(connection net.Conn, answer string) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return // the client has left
	}
	_, _ = io.Copy(io.Discard, request.Body)  // fails if the client has left
	_, _ = io.WriteString(connection, answer) // likewise
}

// CheckClient has a client read a proper answer, which must be taken, and those with invalid heads, which must not. read sends a request to a base
// URL and returns an error if there is no result.
func CheckClient(t *testing.T, content string, read func(url string) error) {
	t.Helper()
	if err := read(Serve(t, Proper(content))); err != nil {
		t.Errorf("a proper answer: %v", err)
	}
	for name, answer := range WithInvalidHeads(content) {
		if read(Serve(t, answer)) == nil {
			t.Errorf("%s: the answer was taken", name)
		}
	}
}

package serving_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// Delays of messages behind a late link.
const (
	// lateLinkDelay is how late each message to a peer is: less than a report of ended engines may take.
	lateLinkDelay = 60 * time.Millisecond
	// lateReplyDelay makes no reply arrive within the time that a report of ended engines may take.
	lateReplyDelay = 150 * time.Millisecond
)

// TestFurtherTryAfterALateWithdrawalIsServed has two engines end under a request whose third engine answers or rejects it. The end
// of the third one is presumed and reported before the send. The withdrawal of that reaches the other process late. The client's
// next try, sent there as soon as the client has its answer, must not be refused as if three engines had ended. That holds as well
// if the other process gets the report and its withdrawal, and neither confirmation arrives in time.
func TestFurtherTryAfterALateWithdrawalIsServed(t *testing.T) {
	const largeAnswer = 64 << 10 // more than a server buffers before it sends
	serverError := func(writer http.ResponseWriter, request *http.Request) bool {
		parsed, _ := operators.ParseRequest(request)
		operators.WriteAnswerHeader(writer, parsed.ID, "seal-of-third", http.StatusInternalServerError, false)
		return true
	}
	large := func(writer http.ResponseWriter, request *http.Request) bool {
		parsed, _ := operators.ParseRequest(request)
		operators.WriteAnswerHeader(writer, parsed.ID, "seal-of-third", http.StatusOK, false)
		_, err := writer.Write(bytes.Repeat([]byte("x"), largeAnswer))
		return err == nil
	}
	shedByAll := operators.Shed
	served := func(http.ResponseWriter, *http.Request) bool { return false }
	for name, test := range map[string]struct {
		path   string
		third  func(http.ResponseWriter, *http.Request) bool // handles the request at its third engine, and at all others if all
		all    bool
		reply  time.Duration // how late each message from the other process is, from the report of the third end on
		status int           // of the try that reaches the third engine
	}{
		"stream answered":                                 {path: "/stream1/", third: served, status: http.StatusOK},
		"stream rejected once":                            {path: "/stream1/", third: operators.Shed, status: http.StatusOK},
		"stream server error":                             {path: "/stream1/", third: serverError, status: http.StatusInternalServerError},
		"stream rejected by all":                          {path: "/stream1/", third: shedByAll, all: true, status: http.StatusServiceUnavailable},
		"stream answered, no confirmation in time":        {path: "/stream1/", third: served, reply: lateReplyDelay, status: http.StatusOK},
		"stream rejected by all, no confirmation in time": {path: "/stream1/", third: shedByAll, all: true, reply: lateReplyDelay, status: http.StatusServiceUnavailable},
		"one body answered, no confirmation in time":      {path: "/plain1/", third: served, reply: lateReplyDelay, status: http.StatusOK},
		"one body answered":                               {path: "/plain1/", third: served, status: http.StatusOK},
		"one body large":                                  {path: "/plain1/", third: large, status: http.StatusOK},
		"one body rejected once":                          {path: "/plain1/", third: operators.Shed, status: http.StatusOK},
		"one body server error":                           {path: "/plain1/", third: serverError, status: http.StatusInternalServerError},
		"one body rejected by all":                        {path: "/plain1/", third: shedByAll, all: true, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var request, reply atomic.Int64
			request.Store(int64(lateLinkDelay))
			first, second, ended := serveFatalBehindLateLink(t, 8, &request, &reply)
			var reached atomic.Int64
			var recovered atomic.Bool // the engines that are left answer
			for id, engine := range first.engines {
				if !strings.HasPrefix(id, "f") {
					continue
				}
				engine.SetHandler(func(writer http.ResponseWriter, request *http.Request) bool {
					number := reached.Add(1)
					switch {
					case number <= 2:
						ended.record(fatalBody, id)
						engine.End()
						panic(http.ErrAbortHandler)
					case !recovered.Load() && (number == 3 || test.all):
						return test.third(writer, request)
					}
					return false
				})
			}
			first.try(test.path, "try-0", fatalBody)
			second.try(test.path, "try-1", fatalBody)
			reply.Store(int64(test.reply))
			if got := first.try(test.path, "try-2", fatalBody); got.status != test.status || got.cut {
				t.Fatalf("the try that reaches the third engine: got status %d and %q, want %d", got.status, got.body, test.status)
			}
			recovered.Store(true)
			if got := second.try(test.path, "try-3", fatalBody); got.status != http.StatusOK || got.cut {
				t.Errorf("the next try: got status %d and %q, want 200; logs:\n%s\n%s", got.status, got.body, first.log, second.log)
			}
		})
	}
}

// serveFatalBehindLateLink is like serveFatal, for engines that refuse connections, with a late link from the first process to the
// second: requests and replies there are late by delays in ns.
func serveFatalBehindLateLink(t *testing.T, engines int, request, reply *atomic.Int64) (first, second *deployment, ended *endedEngines) {
	t.Helper()
	first = prepare(t)
	ended = first.addFatalEngines(engines, ending{})
	first.store.Put("op", "", "config", configuration(7, fatalRoutes()...))
	first.run("node-1", anyPort)
	second = &deployment{t: t, store: first.store, engines: first.engines, peerListenAddress: ownLoopbackAddress()}
	second.run("node-2", lateLink(t, second.peerListenAddress, request, reply))
	for _, d := range []*deployment{first, second} {
		d.eventually("ready, with the peer found", func() bool {
			return d.process.Ready() && strings.Contains(d.log.String(), `"msg":"peers found","count":1`)
		})
	}
	return first, second, ended
}

// loopbackAddresses counts the addresses that ownLoopbackAddress has returned.
var loopbackAddresses atomic.Int64

// ownLoopbackAddress returns an address of loopback that no other test, nor another process of tests, listens at.
func ownLoopbackAddress() string {
	const firstPort = 20000
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 128+process>>16&63, process>>8&255, process&255, firstPort+loopbackAddresses.Add(1))
}

// lateLink returns an address at which connections are forwarded to the target. What is sent there arrives late, by the delay of
// requests, and so does what the target sends, by that of replies, in ns.
func lateLink(t *testing.T, target string, request, reply *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp4", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp4", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			go forwardLate(client, server, func() time.Duration { return time.Duration(request.Load()) })
			go forwardLate(server, client, func() time.Duration { return time.Duration(reply.Load()) })
		}
	}()
	return listener.Addr().String()
}

// lateBytes is what has been read from a connection.
type lateBytes struct {
	content []byte
	due     time.Time // when it is to be written
}

// forwardLate copies from one connection to another what arrives, each part after the delay, until either ends.
func forwardLate(from, to net.Conn, delay func() time.Duration) {
	const maxWaiting = 1024 // parts that were read and are not due yet
	waiting := make(chan lateBytes, maxWaiting)
	go func() {
		defer from.Close()
		defer to.Close()
		for part := range waiting {
			<-time.After(time.Until(part.due))
			if _, err := to.Write(part.content); err != nil {
				return
			}
		}
	}()
	defer close(waiting)
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		waiting <- lateBytes{content: bytes.Clone(buffer[:count]), due: time.Now().Add(delay())}
	}
}

package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Bounds of waiting. They only end a test that hangs; no test passes or
// fails by how long something takes within them.
const (
	waitLimit    = 60 * time.Second
	pollInterval = 10 * time.Millisecond
)

// logBuffer collects a child's output; safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *logBuffer) Write(text []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(text)
}

func (l *logBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// process is one child of the test. It is killed at the test's end if it
// still runs, and its log is shown if the test failed.
type process struct {
	t       testing.TB
	name    string
	command *exec.Cmd
	log     *logBuffer
	exited  chan struct{} // closed once exitError is set
	exit    error
}

// startProcess starts a binary under test.
func startProcess(t testing.TB, name, binary string, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, log: &logBuffer{}, exited: make(chan struct{})}
	p.command = exec.Command(binary, arguments...)
	p.command.Stdout = p.log
	p.command.Stderr = p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no child outlives the tests
	if err := p.command.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.exit = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.cleanUp)
	return p
}

func (p *process) cleanUp() {
	p.kill()
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, p.log)
	}
}

// signal sends a signal to this child, if it still runs.
func (p *process) signal(signal syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(signal) // it may just have ended
	}
}

// freeze pauses the child as a stalled machine would; thaw lets it go on.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// kill ends the child at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop asks for a planned stop and demands exit code 0.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.waitExit()
}

// waitExit waits for the child's end and demands exit code 0.
func (p *process) waitExit() {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitLimit):
		p.t.Fatalf("%s did not end after the signal", p.name)
	}
	if p.exit != nil {
		p.t.Fatalf("%s ended with %v", p.name, p.exit)
	}
}

// runCommand runs a verb to its end, demands exit code 0 and returns what it
// printed on standard output.
func runCommand(t testing.TB, binary string, arguments ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	var out, messages bytes.Buffer
	verb := exec.CommandContext(ctx, binary, arguments...)
	verb.Stdout = &out
	verb.Stderr = &messages
	if err := verb.Run(); err != nil {
		t.Fatalf("%s %v: %v\n%s%s", filepath.Base(binary), arguments, err, out.String(), messages.String())
	}
	return out.String()
}

// waitUntil polls the condition until it holds.
func waitUntil(t testing.TB, what string, condition func(ctx context.Context) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	for !condition(ctx) {
		select {
		case <-ctx.Done():
			t.Fatalf("waited in vain until %s", what)
		case <-time.After(pollInterval):
		}
	}
}

// answers reports whether a GET is answered with status 200.
func answers(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// fetch gets a JSON document from a stand-in.
func fetch[T any](t testing.TB, url string) T {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var document T
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil {
		t.Fatalf("GET %s: %v", url, err)
	}
	return document
}

// setFaults sets all fault switches of a stand-in.
func setFaults(t testing.TB, baseURL string, faults any) {
	t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(baseURL+"/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		t.Fatalf("POST %s/faults: %s", baseURL, response.Status)
	}
}

// subnet is a range of loopback addresses that belongs to one deployment for
// as long as the listener on its last address is open.
type subnet struct {
	prefix string // three numbers of four
}

// Numbers of subnets tried, and the address that marks one as taken.
const (
	firstSubnet = 16
	lastSubnet  = 120
	subnetMark  = "254:7099"
)

// claimSubnet finds a range that no other test process uses.
func claimSubnet(t testing.TB) subnet {
	t.Helper()
	for high := firstSubnet; high <= lastSubnet; high++ {
		for low := range 250 {
			claimed := subnet{prefix: fmt.Sprintf("127.%d.%d.", high, low)}
			mark, err := net.Listen("tcp", claimed.prefix+subnetMark)
			if err != nil {
				continue
			}
			if claimed.isUsed() {
				_ = mark.Close()
				continue
			}
			t.Cleanup(func() { _ = mark.Close() })
			return claimed
		}
	}
	t.Fatal("every range of loopback addresses is taken")
	return subnet{}
}

// isUsed reports whether a platform listens in the range, as one does that
// was left behind by a test process which ended without its cleanups.
func (s subnet) isUsed() bool {
	probe, err := net.Listen("tcp", s.address(platformHost, standInPort))
	if err != nil {
		return true
	}
	_ = probe.Close()
	return false
}

// address returns IP:port of a host number from 1 to 250.
func (s subnet) address(host, port int) string {
	return fmt.Sprintf("%s%d:%d", s.prefix, host, port)
}

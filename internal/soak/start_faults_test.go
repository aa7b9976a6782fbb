package soak

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// scriptProcess returns a process whose program is a shell script. It is killed when the test ends.
func scriptProcess(t *testing.T, d *deployment, script string) *process {
	t.Helper()
	p := exitingProcess(t, d)
	program := filepath.Join(t.TempDir(), "program")
	// A process that another test starts meanwhile would hold the file open for writing, so that it could not be run.
	syscall.ForkLock.RLock()
	err := os.WriteFile(program, []byte("#!/bin/sh\n"+script+"\n"), 0o700)
	syscall.ForkLock.RUnlock()
	if err != nil {
		t.Fatal(err)
	}
	p.programs = [2]string{program, program}
	p.endpoint = d.store.NewEndpoint()
	t.Cleanup(p.endpoint.Server.Close)
	d.processes = append(d.processes, p)
	return p
}

// A process that a signal of its start ends would pass as one that was killed.
//
// TestProcessThatASignalEndsAtItsStartIsFound sends signals to a program that ends by them.
func TestProcessThatASignalEndsAtItsStartIsFound(t *testing.T) {
	t.Parallel()
	d, end := storeDeployment(t, 0)
	p := scriptProcess(t, d, "trap 'exit 1' HUP; while :; do sleep .01; done")
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	defer p.kill()
	d.inject(Fault{Kind: StartSignals})
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.watchExits()
	}()
	eventually(t, "the exit is found", func() bool { return exitsFound(d) > 0 })
	end()
	<-done
}

// Without signals, or with a settings file that is always whole, the fault would test nothing.
//
// TestSignalsAndChangesReachAStart starts a program that counts signals and incomplete settings files.
func TestSignalsAndChangesReachAStart(t *testing.T) {
	t.Parallel()
	d, end := storeDeployment(t, 0)
	defer end()
	p := scriptProcess(t, d, `trap 'echo signal' HUP
while :; do case "$(cat "$3")" in *}) ;; *) echo incomplete ;; esac; done`)
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	fault := signalsOfStart(Fault{})
	eventually(t, "signals and incomplete settings reach the program", func() bool {
		fault.during(d, p)
		return strings.Contains(p.log.content(), "signal") && strings.Contains(p.log.content(), "incomplete")
	})
	content, err := os.ReadFile(p.settingsPath)
	if err != nil || !json.Valid(content) {
		t.Errorf("the settings file is incomplete in the end: %q, %v", content, err)
	}
}

// A signal that does not wait for the runtime, since the soak is over, would end a process that is well.
//
// TestNoSignalsAfterTheSoak disturbs a start after the end of the soak.
func TestNoSignalsAfterTheSoak(t *testing.T) {
	t.Parallel()
	d, end := storeDeployment(t, 0)
	end()
	p := scriptProcess(t, d, "exec sleep 600")
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	signalsOfStart(Fault{}).during(d, p)
	p.signal(syscall.SIGTERM)
	<-p.exited
	if p.exitErr == nil || p.exitErr.Error() != "signal: terminated" {
		t.Errorf("the process ended by %v, want by SIGTERM", p.exitErr)
	}
}

// closedConnection leaves the rest of a connection at the address of a listener that is closed.
func closedConnection(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	served, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = served.Close() // this end closes first, and its port stays in use by the connection
	return listener.Addr().String()
}

// A port that is not taken, or never free again, would show nothing of a start.
//
// TestTakenPortIsInUseUntilItIsReleased takes the port of a listener that has just been closed.
func TestTakenPortIsInUseUntilItIsReleased(t *testing.T) {
	address := closedConnection(t)
	release, err := takePort(address)
	if err != nil {
		t.Fatal(err)
	}
	if listener, err := net.Listen("tcp4", address); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("listened at a port that is taken: %v, %v", listener, err)
	}
	if _, err := net.Dial("tcp4", address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connected to a port that nobody listens at: %v", err)
	}
	release()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatalf("after the release: %v", err)
	}
	_ = listener.Close()
}

// TestPortIsTakenBeforeTheStart checks, for each port of a process, that it is in use when the program starts and free after the fault.
func TestPortIsTakenBeforeTheStart(t *testing.T) {
	for number := range uint64(3) {
		d, end := storeDeployment(t, 0)
		defer end()
		p := scriptProcess(t, d, "exit 0")
		p.settings.ClientAddress = closedAddress(t)
		addresses := []string{p.settings.ClientAddress, p.settings.ReadyAddress, p.forwarder.to}
		release := takenPort(Fault{Target: number << 33}).begin(d, p)
		for i, address := range addresses {
			listener, err := net.Listen("tcp4", address)
			if taken := errors.Is(err, syscall.EADDRINUSE); taken != (uint64(i) == number) {
				t.Errorf("fault %d: port %d is taken: %t", number, i, taken)
			}
			if err == nil {
				_ = listener.Close()
			}
		}
		release()
	}
}

// TestProcessThatFailsAtATakenPortIsFound starts a program that ends as its port is in use.
func TestProcessThatFailsAtATakenPortIsFound(t *testing.T) {
	t.Parallel()
	d, end := storeDeployment(t, 0)
	p := scriptProcess(t, d, "exit 1")
	p.settings.ClientAddress = closedAddress(t)
	d.restart(p, 0)
	d.inject(Fault{Kind: PortTaken})
	before := exitsFound(d) // the exit before the fault
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.watchExits()
	}()
	eventually(t, "the exit is found", func() bool { return exitsFound(d) > before })
	end()
	<-done
}

// Kinds that were added must leave what earlier seeds draw of others as it was.
//
// TestKindsOfTheirOwnStreamLeaveOthersAsTheyAre draws a plan with and without each of these kinds.
func TestKindsOfTheirOwnStreamLeaveOthersAsTheyAre(t *testing.T) {
	with := Plan(7, time.Hour, Kinds())
	for _, separate := range separateKinds {
		others := slices.DeleteFunc(slices.Clone(with), func(f Fault) bool { return f.Kind == separate.kind })
		kinds := slices.DeleteFunc(Kinds(), func(kind Kind) bool { return kind == separate.kind })
		if !reflect.DeepEqual(others, Plan(7, time.Hour, kinds)) {
			t.Errorf("without %s the others are drawn otherwise", separate.kind)
		}
	}
}

package stand

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is one process under test, across its restarts.
type Process struct {
	Node string

	bed          *Bed
	ip, zone     string
	settingsPath string
	command      *exec.Cmd
	exited       chan struct{} // closed when the command has exited
}

// Address returns where the process serves clients.
func (p *Process) Address() string { return net.JoinHostPort(p.ip, strconv.Itoa(portsForCallers)) }

func (p *Process) readyAddress() string { return net.JoinHostPort(p.ip, strconv.Itoa(portsForReady)) }

// WriteSettings replaces the process's settings file at once, as the platform lays it.
func (p *Process) WriteSettings(storeAddress string) error {
	content, err := p.bed.settings(p, storeAddress)
	if err != nil {
		return errors.Wrap(err, "encode the settings")
	}
	draft := p.settingsPath + ".draft"
	if err := os.WriteFile(draft, content, 0o600); err != nil {
		return errors.Wrap(err, "write the settings")
	}
	return errors.Wrap(os.Rename(draft, p.settingsPath), "lay the settings")
}

// Start starts the process with the command of the deploy file.
func (p *Process) Start() error {
	program, err := filepath.Abs(p.bed.Options.Program)
	if err != nil {
		return errors.Wrap(err, "find the program")
	}
	p.command = exec.Command(program, "serve", "--metrics-port", "9464", "--region-link", "60")
	p.command.Env = append(os.Environ(), "PEWTERMILL_CONFIG="+p.settingsPath)
	log, err := os.Create(p.settingsPath + ".log")
	if err != nil {
		return errors.Wrap(err, "create the log")
	}
	defer log.Close()
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the script
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Node)
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait() // its exit is all that matters
		close(exited)
	}(p.command, p.exited)
	p.bed.Log("%s: started", p.Node)
	return nil
}

// Stop stops the process as planned: SIGTERM, and SIGKILL after the grace period. It returns once the process has ended.
func (p *Process) Stop() {
	p.bed.Log("%s: SIGTERM", p.Node)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		p.bed.Log("%s: has ended", p.Node)
	case <-time.After(GracePeriod):
		p.bed.Log("%s: SIGKILL after the grace period", p.Node)
		p.Kill()
	}
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Kill() // it may have ended
	<-p.exited
}

// IsReady reports whether the process answers the platform's readiness check with 200.
func (p *Process) IsReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.readyAddress()+"/-/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until the process is ready.
func (p *Process) WaitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.IsReady(ctx) {
			p.bed.Log("%s: ready", p.Node)
			return nil
		}
	}
	return errors.Newf("%s was not ready within %s", p.Node, readyTimeout)
}

package stand

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
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
	ownEnds      int           // see Supervise
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

// memoryMB is the limit of a process's memory, as the settings state it.
const memoryMB = 304

// Times of the platform's supervision.
const (
	memoryCheckInterval = 50 * time.Millisecond
	restartDelay        = 500 * time.Millisecond
)

// Supervise does what the platform does with a process until ctx ends: it kills one that is over its memory, and starts one
// that has ended again after a short delay. It must not be used beside Stop and Kill.
func (p *Process) Supervise(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-p.exited:
			p.ownEnds++
			p.bed.Log("%s: has ended by itself, for the %d. time", p.Node, p.ownEnds)
			time.Sleep(restartDelay)
			if err := p.Start(); err != nil {
				p.bed.Log("%s: %v", p.Node, err)
				return
			}
		case <-time.After(memoryCheckInterval):
			if resident := p.residentMB(); resident > memoryMB {
				p.bed.Log("%s: %d MB of memory, over the limit of %d MB: SIGKILL", p.Node, resident, memoryMB)
				p.Kill()
			}
		case <-ctx.Done():
		}
	}
}

// OwnEnds returns how often the process ended by itself under Supervise. Memory over the limit counts.
func (p *Process) OwnEnds() int { return p.ownEnds }

// residentMB returns the process's memory in MB; 0 if it does not run.
func (p *Process) residentMB() int {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}

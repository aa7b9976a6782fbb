package soak

import (
	"fmt"
	"os"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// memoryLimit is what a process's machine gives it, in MB: the least that a machine of the operators' platform has.
const memoryLimit = 112

// memoryInterval is the time between two readings of the memory of all processes.
const memoryInterval = 50 * time.Millisecond

// watchMemory polls the resident memory of the processes, from outside.
func (d *deployment) watchMemory() {
	for backoff.Wait(d.context, memoryInterval) {
		for _, p := range d.processes {
			if running := p.running.Load(); running != nil {
				d.checkMemory(p, running)
			}
		}
	}
}

func (d *deployment) checkMemory(p *process, running *os.Process) {
	resident, err := residentMegabytes(int64(running.Pid))
	if err == nil { // otherwise the process has just exited
		d.enforceMemory(p, running, resident)
	}
}

// enforceMemory kills a process that has more memory than its machine, as the machine would.
func (d *deployment) enforceMemory(p *process, running *os.Process, resident int64) {
	if d.checker.Memory(d.now(), p.settings.Node, p.build(), resident) {
		return
	}
	p.overMemory.Store(true)
	_ = running.Kill() // it may just have exited
}

// residentMegabytes returns the resident memory of a process.
func residentMegabytes(id int64) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id))
	if err != nil {
		return 0, err
	}
	var total, resident int64
	if _, err := fmt.Sscan(string(content), &total, &resident); err != nil {
		return 0, err
	}
	return resident * int64(os.Getpagesize()) >> 20, nil
}

// Memory records the resident memory of a process, in MB. It returns whether the process keeps within its limit.
func (c *Checker) Memory(now time.Duration, process, build string, resident int64) (within bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	a := &attempt{Attempt: Attempt{Process: process, Build: build}}
	c.check(resident <= memoryLimit, WithinMemory, now, a, "", "has %d MB of memory, its machine gives it %d", resident, memoryLimit)
	return resident <= memoryLimit
}

// EndlessAnswerClosed records that an engine has stopped sending bytes without an end, since its caller closed the
// connection or the engine reached its own limit.
func (c *Checker) EndlessAnswerClosed(now time.Duration, id, engine, form string, sent, limit int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.check(sent < limit, EndlessAborted, now, c.attempts[id], engine, "got %d bytes of an answer without an end (%s), and still read on", sent, form)
}

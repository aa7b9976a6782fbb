package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// Bounds of the site file, as processes get them in their settings.
const contact = 3 * time.Second

// world is one small deployment: the store, engines and processes under test.
type world struct {
	host   string // the first part of the addresses of processes
	dir    string
	record *os.File
	begun  time.Time
	store  *operators.Store

	running     atomic.Int64 // requests that engines work on
	mostRunning atomic.Int64 // the most of them at once

	mutex   sync.Mutex
	runs    []run
	beats   map[string]chan struct{}
	nodes   []*node
	engines []*engine
	version int64
}

// run is one request as an engine began to work on it.
type run struct {
	engine, service, id, target, body, previous string
	at                                          time.Time
}

func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "probe")
	if err != nil {
		return nil, err
	}
	host, err := freeHost()
	if err != nil {
		return nil, err
	}
	return &world{host: host, dir: dir, record: record, begun: time.Now(), store: operators.NewStore(), beats: make(map[string]chan struct{})}, nil
}

// logf writes one line of the record.
func (w *world) logf(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, arguments...))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = w.record.WriteString(line)
}

// addRun records that an engine began to work on a request.
func (w *world) addRun(r run) {
	w.mutex.Lock()
	w.runs = append(w.runs, r)
	w.mutex.Unlock()
	w.logf("run     %s at %s (%s) %s", r.id, r.engine, r.service, r.target)
}

// beginRun counts a request that an engine works on.
func (w *world) beginRun() {
	now := w.running.Add(1)
	for most := w.mostRunning.Load(); now > most && !w.mostRunning.CompareAndSwap(most, now); most = w.mostRunning.Load() {
		continue
	}
}

// runsOf returns the runs of a request.
func (w *world) runsOf(id string) []run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var found []run
	for _, r := range w.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}

// close ends all processes.
func (w *world) close() {
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.ended
	}
	w.store.Server.CloseClientConnections()
	_ = os.RemoveAll(w.dir)
}

// node is a process under test, on an address of its own.
type node struct {
	world   *world
	name    string
	zone    string
	ip      string
	proxy   *proxy // between it and the store
	command *exec.Cmd
	ended   chan struct{}
	path    string
	port    int
}

// ports are those of a process, beside that for clients.
var ports = []int{8149, 8141, 7380, 9464}

// maxNodes is the largest number of processes of a case.
const maxNodes = 8

// freeHost returns the first part of loopback addresses at which the ports of all processes are free.
func freeHost() (string, error) {
	for low := range 250 {
		host := fmt.Sprintf("127.%d.%d", 130+os.Getpid()%100, (os.Getpid()+low)%250+1)
		if isFree(host) {
			return host, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// isFree reports whether all ports of all processes are free.
func isFree(host string) bool {
	for number := range maxNodes {
		for _, port := range ports {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", host, firstHost+number, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// firstHost is the last part of the first process's address.
const firstHost = 10

// addNode starts a process.
func (w *world) addNode(name, zone string, zones map[string]string) (*node, error) {
	between, err := newProxy(w.store.Address(), 2*time.Millisecond)
	if err != nil {
		return nil, err
	}
	n := &node{world: w, name: name, zone: zone, ip: fmt.Sprintf("%s.%d", w.host, firstHost+len(w.nodes)), proxy: between, port: 8149}
	n.path = filepath.Join(w.dir, name+".json")
	settings := map[string]any{
		"node_name": name, "role": "server", "machine_class": "front", "serves": []string{"front"},
		"ip": n.ip, "zone": zone, "region": zones[zone], "zones": zones,
		"listen":     map[string]string{"front": n.address(), "ready": n.ip + ":8141"},
		"port_range": []int{7380, 7395}, "seeds": []string{}, "bootstrap": true, "count_loss": false,
		"limits":   map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 254, "max_fds": 8200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4.3, "drain_ms": 2000, "grace_s": 8, "lost_ms": 200,
			"config_ms": 2000, "back_ms": 250, "outer_ms": 5000, "recover_s": 12, "pass_ms": 120, "again_s": 0, "finish_s": 10, "settle_ms": 1000,
		},
		"provider": map[string]any{
			"address": between.address(), "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 3.0, "part_writes_per_s": 300,
			"row_bytes": 65536, "across": true, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_per_s": 80.0,
		},
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.path, content, 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, n.start()
}

// address is where clients reach the process.
func (n *node) address() string { return fmt.Sprintf("%s:%d", n.ip, n.port) }

// start starts the process by the command of the deploy file.
func (n *node) start() error {
	path := os.DevNull
	if logs := os.Getenv("PROBE_LOGS"); logs != "" {
		path = filepath.Join(logs, n.name+".log")
	}
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command("target/pewtermill", "serve", "--metrics-port", "9464", "--region-link", "60")
	n.command.Env = []string{"PEWTERMILL_CONFIG=" + n.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	command, ended := n.command, n.ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	n.world.logf("start   %s", n.name)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(signal syscall.Signal) {
	select {
	case <-n.ended:
	default:
		_ = n.command.Process.Signal(signal)
	}
}

// kill ends the process at once.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
	n.world.logf("killed  %s", n.name)
}

// proxy passes connections on, and can make the open ones go silent.
type proxy struct {
	listener net.Listener
	target   string
	delay    time.Duration

	mutex sync.Mutex
	open  map[*pair]struct{}
}

// pair is one connection that is passed on.
type pair struct {
	near, far net.Conn
	silent    chan struct{}
	once      sync.Once
}

func newProxy(target string, delay time.Duration) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, delay: delay, open: make(map[*pair]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &pair{near: near, far: far, silent: make(chan struct{})}
	p.mutex.Lock()
	p.open[c] = struct{}{}
	p.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.pass(c, near, far) })
	group.Go(func() { p.pass(c, far, near) })
	group.Wait()
	p.mutex.Lock()
	delete(p.open, c)
	p.mutex.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// pass copies bytes until one side ends or the connection has gone silent.
func (p *proxy) pass(c *pair, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		select {
		case <-c.silent:
			if from == c.near && err == nil {
				continue // what the caller sends arrives nowhere
			}
			if from == c.far && err == nil {
				continue
			}
			if from == c.near {
				_ = c.far.Close()
			}
			return
		default:
		}
		if count > 0 {
			time.Sleep(p.delay)
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = c.near.Close()
			_ = c.far.Close()
			return
		}
	}
}

// silence makes the open connections go silent for good. It returns how many there were.
func (p *proxy) silence() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.open {
		c.once.Do(func() { close(c.silent) })
	}
	return len(p.open)
}

// count returns how many connections are open.
func (p *proxy) count() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.open)
}

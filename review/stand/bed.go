// Package stand starts the project's processes for a script of the review: separate processes with the command of the
// deploy file, on loopback addresses, with stand-ins for the platform's store and the engines. What is sent, answered
// and run is written to a record.
package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// Exit codes of a script.
const (
	ExitHeld    = 0 // the rule held
	ExitBroken  = 1 // the rule was broken
	ExitInvalid = 2 // the case could not run
)

// Bounds of the deployment, as the annex of the small deployments states them.
const (
	GracePeriod     = 8 * time.Second
	ConfigBound     = 2 * time.Second
	ContactBound    = 3 * time.Second
	drainBound      = 2 * time.Second
	readyTimeout    = 20 * time.Second
	subnetAttempts  = 200
	firstHost       = 10
	processCount    = 3
	portsForCallers = 7100
	portsForReady   = 7101
	portsForPeers   = 7110
)

// Options describe the programs and files of a script.
type Options struct {
	Program string // path of the program under test
	Record  string // path of the record
	Trouble bool   // whether the disruption happens
}

// Bed is a small deployment: three processes in three zones, a store and engines.
type Bed struct {
	Options   Options
	Store     *operators.Store
	Processes []*Process

	storeAddress string
	directory    string
	subnet       string
	claim        net.Listener
	startedAt    time.Time

	mutex  sync.Mutex
	record io.WriteCloser
}

// Zones are the zones of the deployment, all in one region.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// New returns a deployment without processes. storeAddress is where its processes reach the store.
func New(options Options, store *operators.Store, storeAddress string) (*Bed, error) {
	record, err := os.Create(options.Record)
	if err != nil {
		return nil, errors.Wrap(err, "create the record")
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Wrap(err, "create the directory for settings")
	}
	b := &Bed{Options: options, Store: store, storeAddress: storeAddress, directory: directory, startedAt: time.Now(), record: record}
	if err := b.claimSubnet(); err != nil {
		b.Close()
		return nil, err
	}
	b.Log("trouble=%t", options.Trouble)
	return b, nil
}

// claimSubnet finds loopback addresses that no other script uses.
func (b *Bed) claimSubnet() error {
	for range subnetAttempts {
		prefix := fmt.Sprintf("127.%d.%d.", 160+rand.IntN(60), rand.IntN(250))
		if listener, err := net.Listen("tcp4", prefix+"1:6999"); err == nil {
			b.subnet, b.claim = prefix, listener
			return nil
		}
	}
	return errors.New("no range of loopback addresses is free")
}

// Log writes one line to the record.
func (b *Bed) Log(format string, arguments ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// StartProcesses starts all processes and waits until each is ready and has found the others.
func (b *Bed) StartProcesses(ctx context.Context) error {
	for number := range processCount {
		p := &Process{bed: b, Node: fmt.Sprintf("node-%d", number+1), zone: Zones[number], ip: fmt.Sprintf("%s%d", b.subnet, firstHost+number)}
		p.settingsPath = filepath.Join(b.directory, p.Node+".json")
		b.Processes = append(b.Processes, p)
		if err := p.WriteSettings(b.storeAddress); err != nil {
			return err
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range b.Processes {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	time.Sleep(joinTime)
	return nil
}

// joinTime is longer than the processes take to find each other.
const joinTime = 4 * time.Second

// Close ends all processes of the deployment and removes its files.
func (b *Bed) Close() {
	for _, p := range b.Processes {
		p.Kill()
	}
	if b.claim != nil {
		_ = b.claim.Close()
	}
	_ = os.RemoveAll(b.directory)
	_ = b.record.Close()
}

// settings returns the content of a process's settings file.
func (b *Bed) settings(p *Process, storeAddress string) ([]byte, error) {
	zones := make(map[string]string)
	for _, zone := range Zones {
		zones[zone] = "region"
	}
	return json.Marshal(map[string]any{
		"node_name": p.Node, "role": "server", "machine_class": "front", "serves": []string{"front"},
		"ip": p.ip, "zone": p.zone, "region": "region", "zones": zones,
		"listen":     map[string]any{"front": p.Address(), "ready": p.readyAddress()},
		"port_range": []int{portsForPeers, portsForPeers + 9},
		"seeds":      []string{}, "bootstrap": true, "count_loss": false,
		"limits":   map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": memoryMB, "max_fds": 8200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": ContactBound.Milliseconds(), "ack_ms": 4000, "catch_up_s": 4.4,
			"drain_ms": drainBound.Milliseconds(), "grace_s": GracePeriod.Seconds(), "lost_ms": 200, "config_ms": ConfigBound.Milliseconds(),
			"back_ms": 250, "outer_ms": 5000, "recover_s": 12, "pass_ms": 120, "again_s": 0, "finish_s": 10, "settle_ms": 1000},
		"provider": map[string]any{"address": storeAddress, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 3.0,
			"part_writes_per_s": 300, "row_bytes": 65536, "across": true, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_per_s": 80.0},
	})
}

package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// malformation is a way to turn a valid entry into one that names no engine.
type malformation struct {
	name  string
	apply func(valid map[string]any) []byte
}

// malformations are all of them: missing fields, fields of another type or with an unknown value, and unreadable
// content.
var malformations = func() []malformation {
	all := []malformation{
		altered("unknown state", "state", "resting"),
		altered("unknown service", "service", "nowhere"),
		raw("no bytes", ""),
		raw("no JSON", "{\"service\": \"portal\", "),
		raw("no text", "\xff\xfe\x00"),
		raw("null", "null"),
		raw("a list", "[]"),
	}
	for _, field := range []string{"service", "address", "zone", "slots", "state"} {
		all = append(all, without(field))
	}
	for field, value := range map[string]any{"service": 7, "address": []int{127}, "zone": true, "slots": "twelve", "state": map[string]int{}, "cold_left_ms": "long"} {
		all = append(all, altered("other type of "+field, field, value))
	}
	slices.SortFunc(all, func(a, b malformation) int { return strings.Compare(a.name, b.name) })
	return all
}()

func without(field string) malformation {
	return malformation{"no " + field, func(valid map[string]any) []byte {
		delete(valid, field)
		return encode(valid)
	}}
}

func altered(name, field string, value any) malformation {
	return malformation{name, func(valid map[string]any) []byte {
		valid[field] = value
		return encode(valid)
	}}
}

func raw(name, text string) malformation {
	return malformation{name, func(map[string]any) []byte { return []byte(text) }}
}

func encode(entry map[string]any) []byte {
	content, err := json.Marshal(entry)
	if err != nil {
		panic(err) // cannot happen with the entries above
	}
	return content
}

// decoy listens at an address where no engine is, and keeps the first data that it receives.
type decoy struct {
	listener net.Listener

	mutex sync.Mutex
	count int
	first string
}

// maxDecoyBytes limits the data that is kept, and decoyTimeout the wait for it.
const (
	maxDecoyBytes = 200
	decoyTimeout  = time.Second
)

func newDecoy() (*decoy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the decoy")
	}
	d := &decoy{listener: listener}
	go d.acceptAll()
	return d, nil
}

func (d *decoy) acceptAll() {
	for {
		connection, err := d.listener.Accept()
		if err != nil {
			return // closed
		}
		go d.record(connection)
	}
}

// record reads from a connection and closes it.
func (d *decoy) record(connection net.Conn) {
	defer connection.Close()
	d.mutex.Lock()
	d.count++
	d.mutex.Unlock()
	_ = connection.SetReadDeadline(time.Now().Add(decoyTimeout)) // if this fails, nothing is read
	text, _ := io.ReadAll(io.LimitReader(connection, maxDecoyBytes))
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.first == "" {
		d.first = string(text)
	}
}

// received returns the number of connections, and the first data that one of them sent.
func (d *decoy) received() (int, string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.count, d.first
}

// foreignEntryCount is the number of foreign entries with keys of their own, in addition to the one that overwrites an
// engine's.
const foreignEntryCount = 4

// injectForeignEntries writes entries that name no engine for the fault's duration: some with keys of their own, and
// one in place of an engine's, which the engine overwrites at the end.
func (d *deployment) injectForeignEntries(fault Fault) bool {
	s := d.slots[fault.Target%uint64(len(d.slots))]
	if !s.busy.TryLock() {
		return false
	}
	defer s.busy.Unlock()
	decoy, err := newDecoy()
	if err != nil {
		return false
	}
	defer decoy.listener.Close()
	startedAt := d.now()
	before := d.checker.RequestsServed()
	written := d.writeForeignEntries(decoy, s, fault.Target)
	if backoff.Wait(d.context, fault.Duration) {
		d.checker.CheckOthersServed(d.now(), startedAt, s.current.name, before)
		d.removeForeignEntries(s, written)
	}
	count, first := decoy.received() // even if the soak has ended by then
	d.checker.CheckForeignTraffic(d.now(), count, fmt.Sprintf("%q, of %v", first, written))
	return true
}

// removeForeignEntries removes the entries and restores the entry of the slot's engine.
func (d *deployment) removeForeignEntries(s *slot, written map[string]string) {
	d.checker.EngineReturned(s.current.name)
	d.putEntry(s, "ready", 0)
	for key := range written {
		if key != s.current.ID {
			d.store.RemoveEngine(key)
		}
	}
}

// writeForeignEntries writes the entries and returns the names of their malformations by key.
func (d *deployment) writeForeignEntries(decoy *decoy, s *slot, target uint64) map[string]string {
	written := make(map[string]string)
	for number := range uint64(foreignEntryCount + 1) {
		entry := s.current.StoreEntry(s.service, "ready")
		entry["zone"], entry["address"] = s.zone, decoy.listener.Addr().String()
		malformed := malformations[(target>>8+number*3)%uint64(len(malformations))]
		key := fmt.Sprintf("stranger-%d", d.ids.Add(1))
		if number == 0 {
			key = s.current.ID
		}
		written[key] = malformed.name
		d.store.PutBytes("servers", "", key, malformed.apply(entry))
	}
	d.checker.EngineLeaving(d.now(), s.current.name)
	return written
}

// RequestsServed returns the number of requests that each engine has received.
func (c *Checker) RequestsServed() map[string]int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.servedByEngine)
}

// alwaysRequested are the services that get requests all the time.
var alwaysRequested = []string{serviceModels, servicePortal}

// CheckOthersServed checks that the other engines of each service in alwaysRequested have served while foreign entries
// were present. It must be called just before the entries are removed.
func (c *Checker) CheckOthersServed(now, startedAt time.Duration, overwritten string, before map[string]int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.bounds.allUndisturbedSince(startedAt - recoveryTime) {
		return
	}
	for _, service := range alwaysRequested {
		count := int64(0)
		for engine, state := range c.bounds.engines {
			if state.service == service && engine != overwritten {
				count += c.servedByEngine[engine] - before[engine]
			}
		}
		c.check(count > 0, KeepsServing, now, nil, overwritten, "no other engine of %s got a request while strangers' entries were there", service)
	}
}

// EngineReturned records that an engine's entry is about to be restored.
func (c *Checker) EngineReturned(engine string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state := c.bounds.engines[engine]; state != nil {
		state.leaving = false
	}
}

// CheckForeignTraffic checks the number of connections to the address in the foreign entries.
func (c *Checker) CheckForeignTraffic(now time.Duration, count int, what string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.check(count == 0, ForeignIgnored, now, nil, "", "%d connections to what a stranger's entry named: %s", count, what)
}

// CheckRestartedEngine checks that an engine that restarted at startedAt has received a request since.
func (c *Checker) CheckRestartedEngine(now, startedAt time.Duration, engine string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.bounds.engines[engine]
	if state == nil || state.leaving || !slices.Contains(alwaysRequested, state.service) || len(c.bounds.evacuations) > 0 || !c.bounds.allUndisturbedSince(startedAt-recoveryTime) {
		return
	}
	c.check(c.servedByEngine[engine] > 0, KeepsServing, now, nil, engine, "got no request in %.2f s since it started again under its id", (now - startedAt).Seconds())
}

package fleet

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Behaviour of the engine stand-ins.
const (
	loadChangePeriod = 500 * time.Millisecond // how often the reported load changes
	meanRunning      = 20
	runningSpread    = 6
	maxRunning       = 32
	cacheTokens      = 2_000_000
	blockTokens      = 64
	cachedBlocks     = cacheTokens / blockTokens
	eventsPerPage    = 1000
)

// engineTransport answers the engines' load and cache events inside the
// process, in place of HTTP connections to engines. It is stateless: load and
// events follow from the engine's name and the time. Safe for concurrent use.
type engineTransport struct {
	started      time.Time
	eventsPerSec float64
	models       int

	loads, events, others atomic.Uint64
}

func newEngineTransport(options Options) *engineTransport {
	return &engineTransport{started: time.Now(), eventsPerSec: options.CacheEvents, models: options.Models}
}

// RoundTrip implements http.RoundTripper.
func (t *engineTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	name, _, _ := strings.Cut(request.URL.Host, ".")
	var body []byte
	switch request.URL.Path {
	case "/load":
		t.loads.Add(1)
		body = t.load(name)
	case "/cache/events":
		t.events.Add(1)
		after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64) // 0 asks for a snapshot
		body = t.eventPage(name, after)
	default:
		t.others.Add(1)
		body = []byte("[]")
	}
	return &http.Response{
		Status:        "200 OK",
		StatusCode:    http.StatusOK,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": []string{"application/json"}},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Request:       request,
	}, nil
}

// load reports a load that moves around its mean.
func (t *engineTransport) load(name string) []byte {
	period := int64(time.Since(t.started) / loadChangePeriod)
	hash := xxhash.Sum64String(name + strconv.FormatInt(period, 10))
	running := meanRunning - runningSpread/2 + int(hash%runningSpread)
	waiting := int(hash>>8%8) / 6
	used := cacheTokens - int64(hash>>16%10_000)
	body := make([]byte, 0, 384)
	body = append(body, `{"engine":"`...)
	body = append(body, name...)
	body = append(body, `","running":`...)
	body = strconv.AppendInt(body, int64(running), 10)
	body = append(body, `,"waiting":`...)
	body = strconv.AppendInt(body, int64(waiting), 10)
	body = append(body, `,"max_running":`...)
	body = strconv.AppendInt(body, maxRunning, 10)
	body = append(body, `,"cache_used_tokens":`...)
	body = strconv.AppendInt(body, used, 10)
	body = append(body, `,"cache_capacity_tokens":`...)
	body = strconv.AppendInt(body, cacheTokens, 10)
	body = append(body, `,"prefill_tokens_per_second":8000,"decode_tokens_per_second":50,"models":["`...)
	body = append(body, modelName(int(xxhash.Sum64String(name)%uint64(t.models)))...)
	return append(body, `"],"role":"both","leaving":false}`...)
}

// eventPage returns the events after a sequence number. The cache is full:
// every stored block (even numbers) is followed by the loss of the oldest
// (odd numbers).
func (t *engineTransport) eventPage(name string, after uint64) []byte {
	newest := uint64(math.Round(time.Since(t.started).Seconds() * t.eventsPerSec))
	seed := xxhash.Sum64String(name)
	if after == 0 {
		return snapshotPage(seed, newest)
	}
	newest = min(newest, after+eventsPerPage)
	page := append(make([]byte, 0, 64*(newest-min(newest, after))+64), `{"events":[`...)
	for sequence := after + 1; sequence <= newest; sequence++ {
		if sequence > after+1 {
			page = append(page, ',')
		}
		page = append(page, `{"sequence":`...)
		page = strconv.AppendUint(page, sequence, 10)
		page = append(page, `,"block":"`...)
		stored := sequence%2 == 0
		number := sequence / 2
		if !stored {
			number -= cachedBlocks
		}
		page = strconv.AppendUint(page, blockHash(seed, number), 10)
		page = append(page, `","stored":`...)
		page = strconv.AppendBool(page, stored)
		page = append(page, '}')
	}
	page = append(page, `],"snapshot":false,"sequence":`...)
	page = strconv.AppendUint(page, max(newest, after), 10)
	return append(page, '}')
}

func snapshotPage(seed, newest uint64) []byte {
	page := append(make([]byte, 0, 24*cachedBlocks), `{"snapshot":true,"blocks":[`...)
	for index := range uint64(cachedBlocks) {
		if index > 0 {
			page = append(page, ',')
		}
		page = append(page, '"')
		page = strconv.AppendUint(page, blockHash(seed, newest/2-index), 10)
		page = append(page, '"')
	}
	page = append(page, `],"sequence":`...)
	page = strconv.AppendUint(page, newest, 10)
	return append(page, '}')
}

// blockHash spreads block numbers; a multiplication by an odd number is a
// bijection, so no two blocks of one engine are alike.
func blockHash(seed, number uint64) uint64 {
	mixed := (number + seed) * 0x9e3779b97f4a7c15
	return mixed ^ mixed>>32
}

// requests returns the numbers of load, event and other requests so far.
func (t *engineTransport) requests() engineRequests {
	return engineRequests{Loads: t.loads.Load(), Events: t.events.Load(), Others: t.others.Load()}
}

// engineRequests counts requests to engines.
type engineRequests struct{ Loads, Events, Others uint64 }

func (r engineRequests) since(before engineRequests) engineRequests {
	return engineRequests{Loads: r.Loads - before.Loads, Events: r.Events - before.Events, Others: r.Others - before.Others}
}

// calibrationRequests is how many requests cost measures.
const calibrationRequests = 2000

// cost measures the processor time of one load and one event request inside
// the stand-in. Events are asked as far back as an observer usually does.
func (t *engineTransport) cost(pollPeriod time.Duration) (load, events time.Duration) {
	probe := &engineTransport{started: t.started, eventsPerSec: t.eventsPerSec, models: t.models}
	load = timeEach(calibrationRequests, func() { probe.load("engine-0-0") })
	now := uint64(time.Since(t.started).Seconds() * t.eventsPerSec)
	back := uint64(pollPeriod.Seconds() * t.eventsPerSec)
	after := max(1, now-min(now, back))
	events = timeEach(calibrationRequests, func() { probe.eventPage("engine-0-0", after) })
	return load, events
}

func timeEach(count int, run func()) time.Duration {
	started := time.Now()
	for range count {
		run()
	}
	return time.Since(started) / time.Duration(count)
}

package serving_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// TestStreamOfAVersionThatAProcessMissedKeepsItsVersion guards against streams that begin at engines of a new software version, break
// off, and go on at an engine of the old one, since the client takes them up at a process that is out of step: it is cut off from
// the store and from its peer while the new engines join, and lists the old version alone.
func TestStreamOfAVersionThatAProcessMissedKeepsItsVersion(t *testing.T) {
	const streams = 12
	for name, test := range map[string]struct {
		wait time.Duration // from the first stream to the first that is taken up
		heal bool          // the process is connected again just before that
		vary bool          // the old engines leave
	}{
		"at once":                            {},
		"after .5 s":                         {wait: 500 * time.Millisecond},
		"after 2 s":                          {wait: 2 * time.Second},
		"just connected again":               {wait: time.Second, heal: true},
		"connected at once":                  {heal: true},
		"just connected, old engines leave":  {wait: time.Second, heal: true, vary: true},
		"still cut off, old engines leave":   {wait: time.Second, vary: true},
		"cut off at once, old engines leave": {vary: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second, endpoint, late, runs := serveBesideCutLinks(t)
			late.Store(int64(time.Minute))
			endpoint.SetFault(operators.Hang)
			for number := range 3 {
				first.addVersionedEngine(fmt.Sprint("v2-", number), "v2", runs)
			}
			first.eventually("informed of the new version", func() bool { return strings.Contains(first.metricsText(), `version="v2"`) })
			if test.vary {
				for _, id := range []string{"v1-0", "v1-1"} {
					first.store.Put("servers", "", id, first.engines[id].StoreEntry("models", "draining"))
				}
			}
			begun := time.Now()
			for number := range streams {
				first.stream("/once/", fmt.Sprint("a", number), "")
			}
			<-time.After(time.Until(begun.Add(test.wait)))
			if test.heal {
				endpoint.SetFault(operators.Healthy)
				late.Store(0)
			}
			onNew, mixed := 0, 0
			for number := range streams {
				begins, resumes := fmt.Sprint("a", number), fmt.Sprint("b", number)
				if !runs.versions(begins)["v2"] {
					continue
				}
				onNew++
				if got := second.stream("/once/", resumes, begins); got.status == http.StatusOK && len(runs.versions(begins, resumes)) > 1 {
					mixed++
				}
			}
			if onNew == 0 {
				t.Fatal("no stream began at the new version")
			}
			if mixed > 0 {
				t.Errorf("%d of %d streams of the new version went on at the old one; log:\n%s", mixed, onNew, second.log)
			}
		})
	}
}

// serveBesideCutLinks starts two processes with engines of version v1. The second one reaches the store through an endpoint. What
// the processes send each other is late by a delay in ns.
func serveBesideCutLinks(t *testing.T) (first, second *deployment, endpoint *operators.Endpoint, late *atomic.Int64, runs *versionedRuns) {
	t.Helper()
	first, late, runs = prepare(t), new(atomic.Int64), &versionedRuns{byID: make(map[string][]string)}
	for _, id := range []string{"m1", "m2"} {
		first.store.Remove("servers", "", id)
		delete(first.engines, id)
	}
	for number := range 2 {
		first.addVersionedEngine(fmt.Sprint("v1-", number), "v1", runs)
	}
	config := standard()
	config["routes"] = append(config["routes"].([]map[string]any), onceRoute())
	first.store.Put("op", "", "config", config)
	endpoint = first.store.NewEndpoint()
	t.Cleanup(endpoint.Server.Close)
	first.peerListenAddress = ownLoopbackAddress()
	first.run("node-1", lateLink(t, first.peerListenAddress, late, late))
	second = &deployment{t: t, store: first.store, engines: first.engines, storeAddress: endpoint.Address(), peerListenAddress: ownLoopbackAddress()}
	second.run("node-2", lateLink(t, second.peerListenAddress, late, late))
	for _, d := range []*deployment{first, second} {
		d.eventually("ready, with the peer found", func() bool {
			return d.process.Ready() && strings.Contains(d.log.String(), `"msg":"peers found","count":1`)
		})
	}
	return first, second, endpoint, late, runs
}

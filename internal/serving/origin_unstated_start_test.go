package serving_test

import (
	"testing"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// TestStreamOfAnUnstatedLaterStartIsRefusedAfterAKillOfAll has an engine, whose entry does not say when it started, restart with another
// version under its name. It begins streams before the new entry is listed, and leaves the list later. Their rows name the version
// that was listed. After a kill of all, the streams must not go on at that version.
func TestStreamOfAnUnstatedLaterStartIsRefusedAfterAKillOfAll(t *testing.T) {
	const count = 3
	for name, publish := range map[string]func(d *deployment, m1 *operators.Engine){
		"it is listed later": func(d *deployment, m1 *operators.Engine) {
			d.store.Put("servers", "", "m1", m1.StoreEntry("models", "ready"))
		},
		"it is listed later and has left the list": func(d *deployment, m1 *operators.Engine) {
			d.store.Put("servers", "", "m1", m1.StoreEntry("models", "ready"))
			d.eventually("informed of the later start", func() bool {
				return d.hasMetric(`pewtermill_serve_engines_by_version{service="models",version="v3"}`, "1")
			})
			d.store.Remove("servers", "", "m1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			first := prepare(t)
			streams := &interruptedStreams{started: make(map[string][]string)}
			m3 := first.newEngine("m3")
			m3.SetVersion("v2")
			for id, engine := range map[string]*operators.Engine{"m1": first.engines["m1"], "m2": first.engines["m2"], "m3": m3} {
				engine.SetHandler(streams.handler(engine))
				first.store.Put("servers", "", id, engine.StoreEntry("models", "ready"))
			}
			config := standard()
			config["routes"] = append(config["routes"].([]map[string]any), onceRoute())
			first.store.Put("op", "", "config", config)
			first.run("node-1", anyPort)
			second := first.runAnother("node-2", anyPort)
			for _, d := range []*deployment{first, second} {
				d.eventually("ready", d.process.Ready)
			}
			m1 := first.engines["m1"]
			m1.Restart(0)
			m1.SetVersion("v3")
			answers := first.startStreams("/once/", streams, "m1", count)
			first.eventually("all streams in rows of the store", func() bool { return first.recordedStreams() == len(answers) })
			publish(first, m1)
			third, _ := replaceAll(first, second)
			for _, id := range streams.startedBy("m1") {
				if got, _ := third.resumeStream("b"+id, id); versionsIn(answers[id], got) > 1 {
					t.Errorf("stream %s has events of two versions: %+v and %+v", id, answers[id], got)
				}
			}
		})
	}
}

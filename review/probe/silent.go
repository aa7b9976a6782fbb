package main

import (
	"sync"
	"time"
)

// configBound is config_ms of the settings.
const configBound = 2 * time.Second

// askers is how many turns, all at once, name a turn that does not exist, so that the processes search the store for it.
const askers = 12

// silent lets the open connections to the store go silent for good, and changes the configuration.
func silent(w *world, trouble bool) (int, error) {
	for _, e := range [][3]string{{"e-old-1", "old", "zone-a"}, {"e-old-2", "old", "zone-b"}, {"e-new-1", "new", "zone-a"}, {"e-new-2", "new", "zone-b"}} {
		if _, err := w.addEngine(e[0], e[1], e[2]); err != nil {
			return notPlayed, err
		}
	}
	if err := fleet(w); err != nil {
		return notPlayed, err
	}
	w.configure(route("move", "/move/", "unsafe", "old", nil), keptRoute("talk", "/talk/", "llm"))
	c := newClient(w)
	for range 4 {
		w.together(12, func(i int) {
			first := c.do(w.nodes[i%3], turn("/talk/1", newID(), "", "one", 36, 2000))
			if first.status == 200 && first.whole {
				c.do(w.nodes[(i+1)%3], turn("/talk/1", newID(), first.id, "two", 36, 2000))
			}
		})
	}
	w.together(askers, func(i int) { c.do(w.nodes[i%3], turn("/talk/1", newID(), newID(), "three", 36, 2000)) })
	time.Sleep(time.Second)
	silencedAt := time.Now()
	for _, n := range w.nodes {
		w.logf("open    %d connections of %s to the store", n.proxy.count(), n.name)
		if trouble {
			w.logf("silent  %d connections of %s to the store", n.proxy.silence(), n.name)
		}
	}
	time.Sleep(300 * time.Millisecond)
	changedAt := w.configure(route("move", "/move/", "unsafe", "new", nil), keptRoute("talk", "/talk/", "llm"))
	due := changedAt.Add(configBound)
	if inTouch := silencedAt.Add(contact); inTouch.After(due) {
		due = inTouch
	}
	time.Sleep(time.Until(due.Add(100 * time.Millisecond)))
	wrong := 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, n := range w.nodes {
			got := c.do(n, call{method: "POST", path: "/move/1", body: "x", deadline: 3 * time.Second})
			for _, r := range w.runsOf(got.id) {
				if r.service == "old" {
					wrong++
					w.logf("broken  %s sent to %s %.3f s after the acknowledgement, %.3f s after the silence, ran at %s", got.id, n.name,
						got.sentAt.Sub(changedAt).Seconds(), got.sentAt.Sub(silencedAt).Seconds(), r.engine)
				}
			}
		}
	}
	w.logf("count   %d requests run as only the older version allows", wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// together runs a number of tasks at once, and waits for them.
func (w *world) together(count int, task func(number int)) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { task(i) })
	}
	group.Wait()
}

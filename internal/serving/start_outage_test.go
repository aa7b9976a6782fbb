package serving_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// TestZoneThatStartsDuringAnOutageHasOneWatcher starts all processes of a zone again, as after a loss of power, while the store
// refuses all calls, and while it answers none. How often the configuration was read depends on the time that the
// processes get, so that it is logged only; the bound is that of the tests of package zonefeed, in virtual time.
func TestZoneThatStartsDuringAnOutageHasOneWatcher(t *testing.T) {
	for name, fault := range map[string]operators.Fault{"refusing": operators.Unavailable, "silent": operators.Hang} {
		t.Run(name, func(t *testing.T) {
			d := prepare(t)
			d.store.Put("op", "", "config", standard())
			d.run("node-1", anyPort)
			all := []*deployment{d, d.runAnother("node-2", anyPort), d.runAnother("node-3", anyPort), d.runAnother("node-4", anyPort)}
			for _, one := range all {
				one.eventually("joined", func() bool { return strings.Contains(one.log.String(), `"msg":"peers found"`) })
			}
			d.store.SetFault(func(string, string) operators.Fault { return fault })
			for i, one := range all {
				one.process.Close()
				one.run("node-"+strconv.Itoa(i+1), one.peers)
			}
			for _, one := range all {
				one.eventually("failing to join", func() bool { return strings.Contains(one.log.String(), `"msg":"peers not joined"`) })
			}
			before := d.store.ListCount("op")
			d.store.SetFault(nil)
			for _, one := range all {
				one.eventually("ready", one.process.Ready)
			}
			t.Logf("%d processes read the configuration %d times until they were ready", len(all), d.store.ListCount("op")-before)
			d.eventually("one watcher, whom the others follow", func() bool {
				watchers, followers := 0, 0
				for _, one := range all {
					switch {
					case one.hasRole("1"):
						watchers++
					case one.hasRole("2"):
						followers++
					}
				}
				return watchers == 1 && followers == len(all)-1
			})
		})
	}
}

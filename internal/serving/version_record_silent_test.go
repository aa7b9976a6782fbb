package serving_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// TestProcessThatStartsWithoutTheRecordServesStreams guards against a process whose new streams are refused for a whole fault of the store: two
// versions serve, it gets engines and configuration from the watcher of its zone, and rows cannot be read. Its peer has read the row of versions.
func TestProcessThatStartsWithoutTheRecordServesStreams(t *testing.T) {
	for name, fault := range map[string]operators.Fault{"rejected": operators.Unavailable, "silent": operators.Hang} {
		t.Run(name, func(t *testing.T) {
			first, second, _ := serveTwoVersions(t)
			first.eventually("with both versions in the record", func() bool {
				rows := first.store.Rows("stream-versions")
				return len(rows) == 1 && strings.Contains(string(rows[0].Value), `"v1"`) && strings.Contains(string(rows[0].Value), `"v2"`)
			})
			follower, node := second, "node-2"
			first.eventually("with roles", func() bool { return first.hasRole("2") || second.hasRole("2") })
			if first.hasRole("2") {
				follower, node = first, "node-1"
			}
			first.store.SetFault(func(path, part string) operators.Fault {
				if path == "/-/rows-get" && part == "" {
					return fault
				}
				return operators.Healthy
			})
			follower.process.Close()
			follower.run(node, follower.peers)
			follower.eventually("ready", follower.process.Ready)
			streams := 0
			start := func() answer {
				streams++
				return follower.stream("/resumed/", fmt.Sprintf("a%d", streams), "")
			}
			follower.eventually("starting streams", func() bool { return start().status == http.StatusOK })
			for range 8 {
				if got := start(); got.status != http.StatusOK {
					t.Errorf("a stream that starts: got %+v", got)
				}
			}
		})
	}
}

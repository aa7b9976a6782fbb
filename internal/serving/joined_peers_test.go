package serving_test

import (
	"strings"
	"testing"
)

// TestProcessThatJoinsLateIsListed guards against a process that its peers do not list for a minute, since it joined after they had
// read the directory for the second time: a process that was replaced, or one whose store answered late while all started.
func TestProcessThatJoinsLateIsListed(t *testing.T) {
	d := prepare(t)
	d.store.Put("op", "", "config", standard())
	d.run("node-1", anyPort)
	d.eventually("alone, having read the directory twice", func() bool {
		return strings.Count(d.log.String(), `"msg":"peers found","count":0`) == 2
	})
	late := d.runAnother("node-2", anyPort)
	late.eventually("listing the first", func() bool { return strings.Contains(late.log.String(), `"msg":"peers found","count":1`) })
	d.eventually("listing the late one", func() bool { return strings.Contains(d.log.String(), `"msg":"peers found","count":1`) })
}

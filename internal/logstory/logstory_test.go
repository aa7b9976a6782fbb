package logstory_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/logstory"
)

const log = `   4.1 node-1 {"time":"2026-04-02T11:38:30.0Z","level":"WARN","msg":"store lost","node":"node-1","collection":"engines","error":"connection timed out"}
some other program's line
{"time":"2026-04-02T11:38:31.0Z","level":"WARN","msg":"request ended","node":"node-1","request":"r1","program":"p","route":"a","service":"s","status":503,"code":305,"configuration":7,"took_ms":0.2,"ledger_ms":0.2,"reason":"program p: not asked, since a call failed 12 ms ago: connection timed out","retry_after_ms":260}
{"time":"2026-04-02T11:38:32.0Z","level":"WARN","msg":"request ended","node":"node-2","request":"r2","program":"p","route":"a","service":"s","status":502,"code":402,"configuration":7,"took_ms":120,"reason":"the engine did not answer","engines":{"i-2":{"outcome":"failed","at_ms":60,"took_ms":60,"why":"lowest weighted delay","detail":"unexpected EOF"},"i-1":{"outcome":"shed","at_ms":1,"took_ms":2,"why":"lowest weighted delay","detail":"turned away with status 503"}}}
{"time":"2026-04-02T11:38:33.0Z","level":"INFO","msg":"view changed","node":"node-2","collection":"engines","engines":20,"engines_ready":19}
`

// tell returns the story of an id.
func tell(t *testing.T, id string) string {
	t.Helper()
	lines, err := logstory.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var story strings.Builder
	if err := logstory.Tell(&story, lines, id); err != nil {
		t.Fatal(err)
	}
	return story.String()
}

// TestStoryEndsWithTheCause shows the last lines for two kinds of failure.
func TestStoryEndsWithTheCause(t *testing.T) {
	for id, cause := range map[string]string{
		"r1": "cause: the store did not answer this node: program p: not asked, since a call failed 12 ms ago: connection timed out\n",
		"r2": "cause: the engine did not answer [i-1 shed: turned away with status 503; i-2 failed: unexpected EOF]\n",
	} {
		if story := tell(t, id); !strings.HasSuffix(story, cause) {
			t.Errorf("the story of %s is\n%s\nand should end with\n%s", id, story, cause)
		}
	}
}

// TestStoryOfAProgram shows all its requests, with what their nodes believed.
func TestStoryOfAProgram(t *testing.T) {
	story := tell(t, "p")
	lost := strings.Index(story, "node-1 had lost the store (engines): connection timed out")
	first := strings.Index(story, "node-1 got request r1")
	second := strings.Index(story, "node-2 got request r2")
	if lost < 0 || first < lost || second < first {
		t.Errorf("the story is\n%s", story)
	}
}

// TestUnknownRequest shows an error for an id that no line names.
func TestUnknownRequest(t *testing.T) {
	if err := logstory.Tell(&strings.Builder{}, nil, "r9"); !errors.Is(err, logstory.ErrNoLine) {
		t.Errorf("got %v", err)
	}
}

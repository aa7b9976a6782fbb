package program

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/api"
)

// Rows as 9e4325d wrote them, with every field that it knew. Nodes of two builds share them while machines are replaced,
// and a build that is rolled back finds those of the other.
const (
	landedID     = "cell-a-00000000000000ff.2"
	landedHeader = `{"id":"cell-a-00000000000000ff.2","tenant":"tenant-a","class":"batch","parent":"cell-a-00000000000000ff","depth":1,` +
		`"status":"running","epoch":3,"owner":"node-1","owner_start":9,"budget":1000,"spent":40,"reserved":60,"next_sequence":5,` +
		`"intent":{"sequence":5,"request_digest":"8d1f","idempotency_key":"cell-a-00000000000000ff.2/5","target":"tools/mail","epoch":3},` +
		`"calls":4,"tokens":320,"history_tokens":210,"children":["cell-a-00000000000000ff.2.1"],"holds":["engine-7"],` +
		`"created_at":"2026-01-02T03:04:05.006Z","deadline_at":"2026-01-02T03:05:05.006Z","expires_at":"2026-01-02T04:04:05.006Z",` +
		`"ended_at":"2026-01-02T03:06:05.006Z","end_reason":304,"free_calls":true}`
	landedCall = `{"program":"cell-a-00000000000000ff.2","tenant":"tenant-a","sequence":4,"request_digest":"77aa",` +
		`"segment":{"messages":[{"role":"user","content":"next"},{"role":"assistant","content":"one \u003ctwo\u003e"}],` +
		`"result":{"program":"cell-a-00000000000000ff.2","sequence":4,"code":200,"execution":"done","output":"one \u003ctwo\u003e","detail":"d",` +
		`"usage":{"prompt_tokens":0,"cached_tokens":0,"completion_tokens":0},"cost":7,"backend":"engine-7","digest":"0123456789abcdef"}},` +
		`"attempted":true,"tool_result":"eyAic2VudCIgOiB0cnVlIH0="}`
)

// TestLandedHeaderIsReadAndWrittenBack holds the encoding of headers: no field is lost or means anything else.
func TestLandedHeaderIsReadAndWrittenBack(t *testing.T) {
	header, err := DecodeHeader([]byte(landedHeader))
	if err != nil {
		t.Fatal(err)
	}
	if written := string(EncodeHeader(header)); written != landedHeader {
		t.Errorf("written back as %s", written)
	}
	created := time.Date(2026, 1, 2, 3, 4, 5, 6_000_000, time.UTC)
	if header.ID != landedID || header.Epoch != 3 || header.OwnerStart != 9 || header.NextSequence != 5 ||
		header.Budget-header.Spent-header.Reserved != 900 || header.Intent.Target != "tools/mail" || !header.FreeCalls ||
		!header.CreatedAt.Equal(created) || header.EndReason != api.Code(304) {
		t.Errorf("read %+v", header)
	}
	if header.AttemptedSequence != 0 {
		t.Errorf("call %d counts as attempted, of which the row says nothing", header.AttemptedSequence)
	}
}

// TestLandedCallIsReadAndWrittenBack holds the encoding of final calls, whose answers are replayed to the byte.
func TestLandedCallIsReadAndWrittenBack(t *testing.T) {
	call, err := DecodeCall([]byte(landedCall))
	if err != nil {
		t.Fatal(err)
	}
	if written := string(EncodeCall(call)); written != landedCall {
		t.Errorf("written back as %s", written)
	}
	if call.Sequence != 4 || !call.Attempted || call.Segment.Result.Output != "one <two>" || string(call.Segment.Result.Result) != `{ "sent" : true }` {
		t.Errorf("read %+v", call)
	}
}

// TestDamagedRowsAreErrors cuts rows off at each byte.
func TestDamagedRowsAreErrors(t *testing.T) {
	for length := range len(landedHeader) {
		if header, err := DecodeHeader([]byte(landedHeader[:length])); err == nil {
			t.Errorf("%d bytes of a header were read as %+v", length, header)
		}
	}
	for length := range len(landedCall) {
		if call, err := DecodeCall([]byte(landedCall[:length])); err == nil {
			t.Errorf("%d bytes of a call were read as %+v", length, call)
		}
	}
}

// TestLandedProgramKeys holds where rows stand: under another key they would be lost to the other build.
func TestLandedProgramKeys(t *testing.T) {
	const header, call = "program/0022/cell-a-00000000000000ff.2", "call/0022/cell-a-00000000000000ff.2/0000000004"
	if key := HeaderKey(landedID); key != header {
		t.Errorf("header at %s, was at %s", key, header)
	}
	if key := CallKey(landedID, 4); key != call {
		t.Errorf("call at %s, was at %s", key, call)
	}
}

package relay

import (
	"encoding/json"
	"testing"
)

// TestLandedMemberIsReadAndWrittenBack holds the encoding of the directory as the builds since e7987ba write it: processes of
// two builds find each other by it.
func TestLandedMemberIsReadAndWrittenBack(t *testing.T) {
	const landed = `{"address":"10.1.0.38:7380","processors":0.8}`
	var found member
	if err := json.Unmarshal([]byte(landed), &found); err != nil {
		t.Fatal(err)
	}
	if found != (member{Address: "10.1.0.38:7380", Processors: 0.8}) {
		t.Errorf("read %+v", found)
	}
	written, err := json.Marshal(found)
	if err != nil || string(written) != landed {
		t.Errorf("written back as %s (%v)", written, err)
	}
	if key := memberKey("zone-a", "node-1"); key != "relay-members/zone-a/node-1" {
		t.Errorf("the entry is at %s", key)
	}
	if secretKey != "relay-secret//current" {
		t.Errorf("the secret is at %s", secretKey)
	}
}

package serving

import (
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// TestMessageOfALaterBuildIsDeclined has a peer send a message that this build does not know. It is declined by a
// code of its own, as not run: it was answered as if a call to the table had been made.
func TestMessageOfALaterBuildIsDeclined(t *testing.T) {
	const laterBody = 999 // number of a field that no build has
	encoded, err := proto.Marshal(&wirepb.Request{From: "node-of-a-later-build"})
	if err != nil {
		t.Fatal(err)
	}
	encoded = protowire.AppendTag(encoded, laterBody, protowire.BytesType)
	encoded = protowire.AppendBytes(encoded, []byte("later"))
	request := &wirepb.Request{}
	if err := proto.Unmarshal(encoded, request); err != nil {
		t.Fatal(err)
	}
	var told []string
	handler := peerHandler{unknown: func(peer string) { told = append(told, peer) }}
	reply := handler.ServePeer(t.Context(), request, func(int64, []byte) { t.Error("a piece of an answer was sent") })
	if api.Code(reply.GetCode()) != api.UnknownMessage || api.Execution(reply.GetExecution()) != api.NotRun || len(reply.GetBody()) > 0 {
		t.Errorf("answered %v", reply)
	}
	if len(told) != 1 || told[0] != "node-of-a-later-build" {
		t.Errorf("told of %q", told)
	}
}

package origins

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// BenchmarkReplicateAndStore measures what one stream costs while several versions serve: the bytes of the messages that
// replicate its origin and of their replies, without frames, and the time to rank the peers and to store the origins.
func BenchmarkReplicateAndStore(b *testing.B) {
	var peers []Peer
	for number := range maxReplicaPeers {
		peers = append(peers, Peer{Zone: fmt.Sprintf("zone-%d", number%5), Address: fmt.Sprintf("10.0.0.%d:7240", number)})
	}
	memory := NewMemory()
	server := NewServer(memory, func(string) []string { return []string{"v1.1", "v1.2"} }, func(string) time.Duration { return time.Hour })
	bytes := 0
	for number := 0; b.Loop(); number++ {
		stored := origin(fmt.Sprintf("%016x", number), "v1.2", 1)
		stored.Engine = "i-0fbebab473"
		rankedAddresses(peers, stored.Stream)
		message := &wirepb.TellOrigins{Origins: []*wirepb.StreamOrigin{stored.toMessage(time.Now())}}
		request := &wirepb.Request{From: "front-wrecsam-4", Body: &wirepb.Request_TellOrigins{TellOrigins: message}}
		for range replicaCount {
			bytes += proto.Size(request) + proto.Size(server.Store(message))
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/stream")
}

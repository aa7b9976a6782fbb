package wire

import "testing"

// BenchmarkRoundTrip measures a small request and its reply over loopback,
// with many in flight on one connection.
func BenchmarkRoundTrip(b *testing.B) {
	server := startServer(b, testOptions("b"), echo)
	client := startClient(b, testOptions("a"))
	ctx := testContext(b)
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		request := callRequest(make([]byte, 256), false)
		for loop.Next() {
			if _, err := client.Do(ctx, server.Address(), request, nil); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

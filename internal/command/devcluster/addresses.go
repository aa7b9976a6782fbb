package devcluster

import (
	"net"

	"github.com/cockroachdb/errors"
)

// loopbackAnyPort asks for a free port.
const loopbackAnyPort = "127.0.0.1:0"

// freeAddresses returns count loopback addresses that nobody listens on. All
// are held together before they are given up, so no two are the same.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", loopbackAnyPort)
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

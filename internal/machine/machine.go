// Package machine divides the memory and the file descriptors of the machine of a process among what its callers may hold.
package machine

import (
	"github.com/pewtermill/pewtermill/internal/callers"
	"github.com/pewtermill/pewtermill/internal/requestmemory"
)

// Shares of the memory of a process's machine.
const (
	// requestMemoryShare is the share that requests may hold. The collector lets memory grow to twice what is in use.
	requestMemoryShare = 0.25
	// connectionMemoryShare is the share that connections of callers may take.
	connectionMemoryShare = 0.25
	// headMemoryShare is the share that the heads of requests may take beyond the small ones.
	headMemoryShare = 0.125
	// collectedMemoryShare is the share from which on memory is collected more often.
	collectedMemoryShare = 0.75
)

// defaultMemoryBytes is the memory for connections and heads where that of the machine is unknown.
const defaultMemoryBytes = 256 << 20

// Shares of the descriptors of a process.
const (
	// fileDescriptors is how many are set aside for files, if that leaves most of them.
	fileDescriptors = 200
	// callerDescriptorDivisor is the fraction of the others, as its inverse, for callers. A request takes one of its caller and one to an
	// engine or peer.
	callerDescriptorDivisor = 2
	// minCallerDescriptorDivisor is the same for the least that callers get, of all descriptors.
	minCallerDescriptorDivisor = 4
)

// operatorDivisor is the fraction of what callers may hold, as its inverse, that the clients of each port for operators may hold beside them.
const operatorDivisor = 8

// minOperatorConnections is the least number of connections of such a port: several load balancers check at the same time.
const minOperatorConnections = 8

// Machine is what a process may use of its machine.
type Machine struct {
	MemoryBytes int64 // 0 if unknown
	Descriptors int   // that the process may open; 0 for as many as the system allows
}

// CallerCapacity returns what callers may hold together. descriptors is how many the system lets the process open; 0 if unknown.
func (m Machine) CallerCapacity(descriptors int) callers.Capacity {
	memory := float64(m.MemoryBytes)
	if m.MemoryBytes <= 0 {
		memory = defaultMemoryBytes
	}
	connections := int(connectionMemoryShare * memory / callers.ConnectionBytes)
	if m.Descriptors > 0 && (descriptors <= 0 || m.Descriptors < descriptors) {
		descriptors = m.Descriptors
	}
	if descriptors > 0 {
		forCallers := max((descriptors-fileDescriptors)/callerDescriptorDivisor, descriptors/minCallerDescriptorDivisor)
		connections = min(connections, forCallers)
	}
	return callers.Capacity{Connections: max(1, connections), HeadBytes: int64(headMemoryShare * memory)}
}

// OperatorCapacity returns what the clients of one port for operators may hold together. descriptors is how many the system lets the process
// open; 0 if unknown.
func (m Machine) OperatorCapacity(descriptors int) callers.Capacity {
	all := m.CallerCapacity(descriptors)
	return callers.Capacity{Connections: max(minOperatorConnections, all.Connections/operatorDivisor), HeadBytes: all.HeadBytes / operatorDivisor}
}

// NewRequestMemory returns the memory that the bodies of requests may hold together.
func (m Machine) NewRequestMemory() *requestmemory.Memory {
	if m.MemoryBytes <= 0 {
		return requestmemory.NewMemory(requestmemory.DefaultLimit)
	}
	return requestmemory.NewMemory(int64(requestMemoryShare * float64(m.MemoryBytes)))
}

// CollectedMemoryBytes returns from how many bytes of memory on the runtime should collect more often; 0 if the memory of the machine is
// unknown.
func (m Machine) CollectedMemoryBytes() int64 {
	return int64(collectedMemoryShare * float64(max(0, m.MemoryBytes)))
}

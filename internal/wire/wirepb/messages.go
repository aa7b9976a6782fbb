package wirepb

// RequestNames returns the names of the requests between nodes that this build supports, in the order of the protocol. It
// declines all others.
func RequestNames() []string {
	bodies := (&Request{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	names := make([]string, 0, bodies.Len())
	for i := range bodies.Len() {
		names = append(names, string(bodies.Get(i).Name()))
	}
	return names
}

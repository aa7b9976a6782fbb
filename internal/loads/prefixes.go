package loads

import "github.com/pewtermill/pewtermill/internal/wire/wirepb"

// prefixLog is a bounded list of distinct prefixes in the order in which they were reported. Not
// safe for concurrent use.
type prefixLog struct {
	present map[Prefix]struct{}
	list    []Prefix
	first   uint32 // number of the first prefix in the list; numbers start with 1
}

func newPrefixLog() *prefixLog {
	return &prefixLog{present: make(map[Prefix]struct{}), first: 1}
}

// add appends a prefix that is new. When the list is full, the older half is dropped; a dropped
// prefix counts as new when it is reported again.
func (p *prefixLog) add(prefix Prefix) {
	if _, found := p.present[prefix]; found {
		return
	}
	if len(p.list) >= maxPrefixes {
		dropped := len(p.list) / 2
		for _, old := range p.list[:dropped] {
			delete(p.present, old)
		}
		p.list = append([]Prefix(nil), p.list[dropped:]...)
		p.first += uint32(dropped)
	}
	p.present[prefix] = struct{}{}
	p.list = append(p.list, prefix)
}

// last returns the number of the latest prefix.
func (p *prefixLog) last() uint32 { return p.first + uint32(len(p.list)) - 1 }

// after returns the prefixes after a number.
func (p *prefixLog) after(number uint32) []Prefix {
	if number >= p.last() {
		return nil
	}
	return p.list[max(number+1, p.first)-p.first:]
}

// encodePrefixes returns the wire form of prefixes.
func encodePrefixes(prefixes []Prefix) []*wirepb.CachedPrefix {
	messages := make([]*wirepb.CachedPrefix, 0, len(prefixes))
	for _, prefix := range prefixes {
		messages = append(messages, &wirepb.CachedPrefix{Engine: uint32(prefix.Engine), Prefix: prefix.Hash})
	}
	return messages
}

// decodePrefixes returns the prefixes in a message, up to maxPrefixes.
func decodePrefixes(messages []*wirepb.CachedPrefix) []Prefix {
	messages = messages[:min(len(messages), maxPrefixes)]
	prefixes := make([]Prefix, 0, len(messages))
	for _, prefix := range messages {
		prefixes = append(prefixes, Prefix{Engine: EngineKey(prefix.GetEngine()), Hash: prefix.GetPrefix()})
	}
	return prefixes
}

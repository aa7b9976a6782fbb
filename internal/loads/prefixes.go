package loads

import "github.com/pewtermill/pewtermill/internal/wire/wirepb"

// prefixLog is a bounded list of prefixes in the order in which they were reported,
// each once. Not safe for concurrent use.
type prefixLog struct {
	known map[Prefix]struct{}
	list  []Prefix
	first uint32 // number of the first in the list; the numbers begin with 1
}

func newPrefixLog() *prefixLog {
	return &prefixLog{known: make(map[Prefix]struct{}), first: 1}
}

// add appends a prefix that is new. The older half is forgotten when there are too
// many, and counts as new when it is reported again.
func (p *prefixLog) add(prefix Prefix) {
	if _, found := p.known[prefix]; found {
		return
	}
	if len(p.list) >= maxPrefixes {
		dropped := len(p.list) / 2
		for _, old := range p.list[:dropped] {
			delete(p.known, old)
		}
		p.list = append([]Prefix(nil), p.list[dropped:]...)
		p.first += uint32(dropped)
	}
	p.known[prefix] = struct{}{}
	p.list = append(p.list, prefix)
}

// last returns the number of the newest prefix.
func (p *prefixLog) last() uint32 { return p.first + uint32(len(p.list)) - 1 }

// after returns the prefixes behind a number.
func (p *prefixLog) after(number uint32) []Prefix {
	if number >= p.last() {
		return nil
	}
	return p.list[max(number+1, p.first)-p.first:]
}

// encodePrefixes returns prefixes as they are sent.
func encodePrefixes(prefixes []Prefix) []*wirepb.CachedPrefix {
	sent := make([]*wirepb.CachedPrefix, 0, len(prefixes))
	for _, prefix := range prefixes {
		sent = append(sent, &wirepb.CachedPrefix{Engine: uint32(prefix.Engine), Prefix: prefix.Hash})
	}
	return sent
}

// decodePrefixes returns what a peer sent, up to the bound.
func decodePrefixes(sent []*wirepb.CachedPrefix) []Prefix {
	sent = sent[:min(len(sent), maxPrefixes)]
	prefixes := make([]Prefix, 0, len(sent))
	for _, prefix := range sent {
		prefixes = append(prefixes, Prefix{Engine: EngineKey(prefix.GetEngine()), Hash: prefix.GetPrefix()})
	}
	return prefixes
}

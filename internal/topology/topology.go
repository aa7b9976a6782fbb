// Package topology maps zones to regions and returns how far zones are from each other and
// from a node. A Topology is immutable and safe for concurrent use.
package topology

import (
	"cmp"
	"maps"
	"slices"
)

// Distance is the distance class of two zones.
type Distance int

// Distances, the nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// String returns the name of the distance in logs and metrics.
func (d Distance) String() string {
	return [...]string{"same-zone", "same-region", "other-region"}[d]
}

// Topology is a node's zone together with the regions of all zones of a deployment.
type Topology struct {
	zone    string
	regions map[string]string // by zone
}

// New returns the topology of a node in a zone. regions maps every zone to its region; a
// zone that is not in it belongs to the unnamed region, so a deployment without configured
// regions has exactly one.
func New(zone string, regions map[string]string) Topology {
	return Topology{zone: zone, regions: maps.Clone(regions)}
}

// Zone returns the node's own zone.
func (t Topology) Zone() string { return t.zone }

// Region returns the node's own region.
func (t Topology) Region() string { return t.regions[t.zone] }

// RegionOf returns a zone's region; empty if it is not known.
func (t Topology) RegionOf(zone string) string { return t.regions[zone] }

// Between returns the distance between two zones.
func (t Topology) Between(a, b string) Distance {
	switch {
	case a == b:
		return SameZone
	case t.regions[a] == t.regions[b]:
		return SameRegion
	}
	return OtherRegion
}

// DistanceTo returns the distance from the node's own zone to another one.
func (t Topology) DistanceTo(zone string) Distance { return t.Between(t.zone, zone) }

// InOwnRegion reports whether a zone is in the node's own region.
func (t Topology) InOwnRegion(zone string) bool { return t.DistanceTo(zone) != OtherRegion }

// Zones returns all known zones: the node's own first, then the others of its region,
// then those of other regions.
func (t Topology) Zones() []string {
	zones := slices.Sorted(maps.Keys(t.regions))
	if !slices.Contains(zones, t.zone) {
		zones = append(zones, t.zone)
	}
	slices.SortStableFunc(zones, func(a, b string) int {
		return cmp.Compare(t.DistanceTo(a), t.DistanceTo(b))
	})
	return zones
}

// HasRegion reports whether any zone is in a region.
func (t Topology) HasRegion(region string) bool {
	for _, other := range t.regions {
		if other == region {
			return true
		}
	}
	return false
}

// HasZone reports whether the topology contains a zone.
func (t Topology) HasZone(zone string) bool {
	_, found := t.regions[zone]
	return found || zone == t.zone
}

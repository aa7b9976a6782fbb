package discovery

import "maps"

// Evacuation is the newest state of an operator's order to send no more requests to a
// zone's engines.
type Evacuation struct {
	Version uint64 // of the record, or of the list that lacked it
	Active  bool   // false: the order was cancelled
}

// evacuations are the newest orders, by zone. A zone keeps its entry when its order is
// cancelled, so that an older record cannot activate the order again.
type evacuations map[string]Evacuation

// Evacuated reports whether no more requests are to be sent to a zone's engines.
func (v *View) Evacuated(zone string) bool { return v.Evacuations[zone].Active }

// AnyEvacuated reports whether any zone is evacuated.
func (v *View) AnyEvacuated() bool {
	for _, order := range v.Evacuations {
		if order.Active {
			return true
		}
	}
	return false
}

// update applies a record's order, unless a newer one has been applied.
func (e evacuations) update(record Record) {
	zone := record.Evacuates
	if record.Version < e[zone].Version {
		return
	}
	e[zone] = Evacuation{Version: record.Version, Active: !record.Deleted}
}

// withList returns the orders after a whole list of a version: active orders that it lacks are cancelled.
func (e evacuations) withList(records []Record, version uint64) evacuations {
	listed := make(map[string]bool)
	next := maps.Clone(e)
	for _, record := range records {
		if record.Evacuates != "" {
			listed[record.Evacuates] = true
			next.update(record)
		}
	}
	for zone, order := range next {
		if order.Active && !listed[zone] && order.Version <= version {
			next[zone] = Evacuation{Version: version}
		}
	}
	return next
}

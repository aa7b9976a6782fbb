package bundle

import (
	"encoding/json"
	"reflect"
	"strings"
)

// ChangeKind is the kind of change of a field or item.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two bundles. Path is a field, such as sign_offs or
// tenants[acme].weight, or an added or removed item, such as engines[e7]. Old and New are canonical JSON,
// null if there is no value.
type Change struct {
	Path string          `json:"path"`
	Kind ChangeKind      `json:"kind"`
	Old  json.RawMessage `json:"old"`
	New  json.RawMessage `json:"new"`
}

// Diff returns every difference, in the order of the schema and by name within a list; none for bundles
// with the same digest.
func Diff(old, next *Bundle) []Change {
	canonicalOld, canonicalNext := Canonical(old), Canonical(next)
	var d differ
	d.compareFields("", reflect.ValueOf(*canonicalOld.header()), reflect.ValueOf(*canonicalNext.header()))
	compareLists(&d, "operators", canonicalOld.Operators, canonicalNext.Operators, operatorName)
	compareLists(&d, "reviewers", canonicalOld.Reviewers, canonicalNext.Reviewers, reviewerName)
	compareLists(&d, "zones", canonicalOld.Zones, canonicalNext.Zones, zoneName)
	compareLists(&d, "cells", canonicalOld.Cells, canonicalNext.Cells, cellName)
	compareLists(&d, "tenants", canonicalOld.Tenants, canonicalNext.Tenants, tenantName)
	compareLists(&d, "classes", canonicalOld.Classes, canonicalNext.Classes, className)
	compareLists(&d, "models", canonicalOld.Models, canonicalNext.Models, modelName)
	compareLists(&d, "tools", canonicalOld.Tools, canonicalNext.Tools, toolName)
	compareLists(&d, "engines", canonicalOld.Engines, canonicalNext.Engines, engineName)
	return d.changes
}

// differ collects changes.
type differ struct{ changes []Change }

// compareFields compares two structs of one type, field by field.
func (d *differ) compareFields(path string, old, next reflect.Value) {
	for index := range old.NumField() {
		field := old.Type().Field(index)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fieldPath := path + name
		if field.Type.Kind() == reflect.Struct {
			d.compareFields(fieldPath+".", old.Field(index), next.Field(index))
			continue
		}
		before, after := old.Field(index).Interface(), next.Field(index).Interface()
		if !reflect.DeepEqual(before, after) {
			d.add(fieldPath, Changed, before, after)
		}
	}
}

// compareLists merges two lists that are sorted by name.
func compareLists[T any](d *differ, list string, old, next []T, name func(*T) string) {
	for len(old) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || (len(old) > 0 && name(&old[0]) < name(&next[0])):
			d.add(list+"["+name(&old[0])+"]", Removed, old[0], nil)
			old = old[1:]
		case len(old) == 0 || name(&next[0]) < name(&old[0]):
			d.add(list+"["+name(&next[0])+"]", Added, nil, next[0])
			next = next[1:]
		default:
			path := list + "[" + name(&old[0]) + "]."
			d.compareFields(path, reflect.ValueOf(old[0]), reflect.ValueOf(next[0]))
			old, next = old[1:], next[1:]
		}
	}
}

func (d *differ) add(path string, kind ChangeKind, old, next any) {
	d.changes = append(d.changes, Change{Path: path, Kind: kind, Old: encodeValue(old), New: encodeValue(next)})
}

// encodeValue encodes a value as JSON. Encoding fails only on numbers that are not finite, which Decode
// never returns; they are shown as null.
func encodeValue(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		return json.RawMessage("null")
	}
	return encoded
}

package bundle

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Canonical returns a copy in canonical form: the named lists sorted by name and empty lists nil.
// Equivalent bundles have equal canonical forms. The copy shares inner lists with b; neither may be
// modified afterwards.
func Canonical(b *Bundle) *Bundle {
	canonical := *b
	canonical.Operators = sortedByName(b.Operators, operatorName)
	canonical.Reviewers = sortedByName(b.Reviewers, reviewerName)
	canonical.Zones = sortedByName(b.Zones, zoneName)
	canonical.Cells = sortedByName(b.Cells, cellName)
	canonical.Tenants = sortedByName(b.Tenants, tenantName)
	canonical.Classes = sortedByName(b.Classes, className)
	canonical.Models = sortedByName(b.Models, modelName)
	canonical.Tools = sortedByName(b.Tools, toolName)
	canonical.Engines = sortedByName(b.Engines, engineName)
	for index := range canonical.Zones {
		zone := &canonical.Zones[index]
		zone.Distances = emptyToNil(zone.Distances)
	}
	for index := range canonical.Cells {
		cell := &canonical.Cells[index]
		cell.Seeds = emptyToNil(cell.Seeds)
	}
	for index := range canonical.Tenants {
		tenant := &canonical.Tenants[index]
		tenant.KeyDigests = emptyToNil(tenant.KeyDigests)
		tenant.Models = emptyToNil(tenant.Models)
		tenant.Tools = emptyToNil(tenant.Tools)
	}
	for index := range canonical.Models {
		model := &canonical.Models[index]
		model.Adapters = emptyToNil(model.Adapters)
	}
	for index := range canonical.Engines {
		engine := &canonical.Engines[index]
		engine.Models = emptyToNil(engine.Models)
	}
	return &canonical
}

// CanonicalSource returns the bundle as canonical JSON, which Decode reads. It fails only on numbers
// that are not finite, which Decode never returns.
func CanonicalSource(b *Bundle) ([]byte, error) {
	return json.Marshal(Canonical(b))
}

// Digest returns the hexadecimal SHA-256 of the canonical JSON. It does not depend on formatting,
// comments, the order of keys or the order of named lists. It is empty for a bundle that has no
// canonical JSON.
func Digest(b *Bundle) string {
	source, err := CanonicalSource(b)
	if err != nil {
		return ""
	}
	return digestOfSource(source)
}

// digestOfSource returns the digest of canonical JSON.
func digestOfSource(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:])
}

// header returns the bundle without its named lists.
func (b *Bundle) header() *Bundle { return withListsOf(b, &Bundle{}) }

// withListsOf returns a copy of header with the named lists of lists.
func withListsOf(header, lists *Bundle) *Bundle {
	combined := *header
	combined.Operators = lists.Operators
	combined.Reviewers = lists.Reviewers
	combined.Zones = lists.Zones
	combined.Cells = lists.Cells
	combined.Tenants = lists.Tenants
	combined.Classes = lists.Classes
	combined.Models = lists.Models
	combined.Tools = lists.Tools
	combined.Engines = lists.Engines
	return &combined
}

func sortedByName[T any](items []T, name func(*T) string) []T {
	if len(items) == 0 {
		return nil
	}
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(&a), name(&b)) })
	return sorted
}

func emptyToNil[T any](items []T) []T {
	if len(items) == 0 {
		return nil
	}
	return items
}

func operatorName(operator *Operator) string { return operator.Name }
func reviewerName(reviewer *Reviewer) string { return reviewer.Name }
func zoneName(zone *Zone) string             { return zone.Name }
func cellName(cell *Cell) string             { return cell.Name }
func tenantName(tenant *Tenant) string       { return tenant.Name }
func className(class *Class) string          { return class.Name }
func modelName(model *Model) string          { return model.Name }
func toolName(tool *Tool) string             { return tool.Name }
func engineName(engine *Engine) string       { return engine.Name }

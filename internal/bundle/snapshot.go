package bundle

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"github.com/pewtermill/pewtermill/api"
)

// Snapshot is one compiled bundle with its indexes. It is immutable after Compile and therefore safe for
// concurrent use without locks; callers must not modify what its methods return.
type Snapshot struct {
	Bundle   *Bundle // with defaults filled in
	Declared *Bundle // as declared, without defaults; Digest covers this
	Digest   string
	Signed   Signed

	tenants       map[string]*Tenant
	classes       map[string]*Class
	models        map[string]*Model
	tools         map[string]*Tool
	engines       map[string]*Engine
	cells         map[string]*Cell
	tenantKeys    []indexedKey[Tenant]
	operatorKeys  []indexedKey[Operator]
	zoneDistances map[zonePair]float64
}

// indexedKey is the digest of a key and the owner of the key.
type indexedKey[T any] struct {
	digest [sha256.Size]byte
	owner  *T
}

// Compile decodes, checks and indexes a bundle. It does not verify the sign-offs. The error is Decode's, or
// a *ValidationError.
func Compile(signed Signed) (*Snapshot, error) {
	declared, err := Decode(signed.Source)
	if err != nil {
		return nil, err
	}
	if violations := Check(declared); len(violations) > 0 {
		return nil, &ValidationError{Violations: violations}
	}
	return compileDecoded(declared, Digest(declared), signed), nil
}

// compileDecoded indexes a bundle that has passed Check.
func compileDecoded(declared *Bundle, digest string, signed Signed) *Snapshot {
	filled := withDefaults(declared)
	return &Snapshot{
		Bundle:        filled,
		Declared:      declared,
		Digest:        digest,
		Signed:        signed,
		tenants:       indexByName(filled.Tenants, tenantName),
		classes:       indexByName(filled.Classes, className),
		models:        indexByName(filled.Models, modelName),
		tools:         indexByName(filled.Tools, toolName),
		engines:       indexByName(filled.Engines, engineName),
		cells:         indexByName(filled.Cells, cellName),
		tenantKeys:    indexTenantKeys(filled.Tenants),
		operatorKeys:  indexOperatorKeys(filled.Operators),
		zoneDistances: indexDistances(filled.Zones),
	}
}

func indexByName[T any](items []T, name func(*T) string) map[string]*T {
	index := make(map[string]*T, len(items))
	for position := range items {
		index[name(&items[position])] = &items[position]
	}
	return index
}

func indexTenantKeys(tenants []Tenant) []indexedKey[Tenant] {
	var keys []indexedKey[Tenant]
	for position := range tenants {
		for _, digest := range tenants[position].KeyDigests {
			keys = append(keys, newIndexedKey(digest, &tenants[position]))
		}
	}
	return keys
}

func indexOperatorKeys(operators []Operator) []indexedKey[Operator] {
	var keys []indexedKey[Operator]
	for position := range operators {
		keys = append(keys, newIndexedKey(operators[position].KeyDigest, &operators[position]))
	}
	return keys
}

// newIndexedKey returns the indexed key for a digest that has passed Check.
func newIndexedKey[T any](digest string, owner *T) indexedKey[T] {
	key := indexedKey[T]{owner: owner}
	raw, _ := hex.DecodeString(digest)
	copy(key.digest[:], raw)
	return key
}

func indexDistances(zones []Zone) map[zonePair]float64 {
	distances := map[zonePair]float64{}
	for _, zone := range zones {
		for _, distance := range zone.Distances {
			distances[pairOf(zone.Name, distance.To)] = distance.Millis
		}
	}
	return distances
}

// Version returns the bundle's version; 0 for a nil snapshot.
func (s *Snapshot) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.Bundle.Version
}

// KeyDigest returns the digest of a key, as in Tenant.KeyDigests.
func KeyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// findKey compares with every key, so that its duration reveals nothing about the keys.
func findKey[T any](keys []indexedKey[T], key string) (*T, bool) {
	digest := sha256.Sum256([]byte(key))
	var found *T
	for index := range keys {
		if subtle.ConstantTimeCompare(keys[index].digest[:], digest[:]) == 1 {
			found = keys[index].owner
		}
	}
	return found, found != nil
}

// TenantByKey returns the tenant that has this key.
func (s *Snapshot) TenantByKey(key string) (*Tenant, bool) { return findKey(s.tenantKeys, key) }

// OperatorByKey returns the operator that has this key.
func (s *Snapshot) OperatorByKey(key string) (*Operator, bool) { return findKey(s.operatorKeys, key) }

// Tenant returns the tenant of this name.
func (s *Snapshot) Tenant(name string) (*Tenant, bool) { return lookUp(s.tenants, name) }

// Class returns the class of this name.
func (s *Snapshot) Class(name string) (*Class, bool) { return lookUp(s.classes, name) }

// Model returns the model of this name.
func (s *Snapshot) Model(name string) (*Model, bool) { return lookUp(s.models, name) }

// Tool returns the tool of this name.
func (s *Snapshot) Tool(name string) (*Tool, bool) { return lookUp(s.tools, name) }

// Engine returns the engine of this name.
func (s *Snapshot) Engine(name string) (*Engine, bool) { return lookUp(s.engines, name) }

// Cell returns the cell of this name.
func (s *Snapshot) Cell(name string) (*Cell, bool) { return lookUp(s.cells, name) }

func lookUp[T any](index map[string]*T, name string) (*T, bool) {
	item, ok := index[name]
	return item, ok
}

// UnknownDistanceMillis is used for the distance to a zone that the bundle does not name: large, so that no
// requests are placed there by mistake.
const UnknownDistanceMillis = 100.0

// DistanceMillis returns the one-way delay between two zones; 0 within one.
func (s *Snapshot) DistanceMillis(a, b string) float64 {
	if a == b {
		return 0
	}
	if millis, ok := s.zoneDistances[pairOf(a, b)]; ok {
		return millis
	}
	return UnknownDistanceMillis
}

// MayUse reports whether the tenant may call the model or tool named target.
func (t *Tenant) MayUse(kind api.Kind, target string) bool {
	allowed := t.Models
	if kind == api.KindTool {
		allowed = t.Tools
	}
	return len(allowed) == 0 || slices.Contains(allowed, target)
}

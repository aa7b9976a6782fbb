package bundle

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// bucketsPerKind is the number of buckets over which the items of one kind are distributed. More buckets
// make the update for a small change smaller, and manifests longer.
const bucketsPerKind = 256

// sectionDigestBytes is the length of a section's digest. A short one suffices because ApplyUpdate checks
// the digest of the whole bundle.
const sectionDigestBytes = 8

// SectionKind names one list of the bundle, or the header: all fields outside the lists.
type SectionKind string

// Kinds of section.
const (
	SectionHeader    SectionKind = "header"
	SectionOperators SectionKind = "operators"
	SectionReviewers SectionKind = "reviewers"
	SectionZones     SectionKind = "zones"
	SectionCells     SectionKind = "cells"
	SectionTenants   SectionKind = "tenants"
	SectionClasses   SectionKind = "classes"
	SectionModels    SectionKind = "models"
	SectionTools     SectionKind = "tools"
	SectionEngines   SectionKind = "engines"
)

// SectionID identifies a section within a bundle.
type SectionID struct {
	Kind   SectionKind `json:"kind"`
	Bucket int         `json:"bucket"` // hash of the item's name modulo bucketsPerKind; 0 for the header
}

// Section is the canonical JSON of the items of one kind whose names hash to one bucket. Content null means
// that the bucket is empty.
type Section struct {
	SectionID
	Content json.RawMessage `json:"content"`
}

// SectionDigest identifies a section and its content.
type SectionDigest struct {
	SectionID
	Digest string `json:"digest"` // hexadecimal
}

// Update changes one bundle into another: it holds the sections that differ. The sign-offs cover the
// canonical digest, so that they are valid for the bundle that ApplyUpdate reconstructs.
type Update struct {
	FromDigest string    `json:"from_digest"` // of the bundle to which it applies
	Digest     string    `json:"digest"`      // of the resulting bundle
	Sections   []Section `json:"sections"`
	SignOffs   []SignOff `json:"sign_offs"`
}

// Errors of ApplyUpdate.
var (
	// ErrUpdateBaseMismatch: the update applies to another bundle; request the whole bundle.
	ErrUpdateBaseMismatch = errors.New("update is for another bundle")
	// ErrUpdateCorrupt: the sections do not result in the bundle with the update's digest.
	ErrUpdateCorrupt = errors.New("update does not result in the bundle that it names")
)

// Manifest returns the digests of the bundle's sections that are not empty,
// in a fixed order.
func Manifest(b *Bundle) []SectionDigest {
	sections := split(b)
	manifest := make([]SectionDigest, 0, len(sections))
	for _, section := range sections {
		manifest = append(manifest, SectionDigest{SectionID: section.SectionID, Digest: section.digest()})
	}
	return manifest
}

// Delta returns the sections of next that differ from those that the manifest lists, and an empty section
// for each that next does not have any more.
func Delta(old []SectionDigest, next *Bundle) []Section {
	digests := make(map[SectionID]string, len(old))
	for _, entry := range old {
		digests[entry.SectionID] = entry.Digest
	}
	var delta []Section
	for _, section := range split(next) {
		if digests[section.SectionID] != section.digest() {
			delta = append(delta, section)
		}
		delete(digests, section.SectionID)
	}
	for _, id := range slices.SortedFunc(maps.Keys(digests), compareSectionIDs) {
		delta = append(delta, Section{SectionID: id, Content: json.RawMessage("null")})
	}
	return delta
}

// ApplyUpdate applies an update to the bundle that it changes. The result's source is canonical JSON.
// Errors: ErrUpdateBaseMismatch, ErrUpdateCorrupt.
func ApplyUpdate(old *Snapshot, update Update) (Signed, error) {
	_, signed, err := assemble(old, update)
	return signed, err
}

// assemble also returns the decoded bundle.
func assemble(old *Snapshot, update Update) (*Bundle, Signed, error) {
	if old == nil || old.Digest != update.FromDigest {
		return nil, Signed{}, ErrUpdateBaseMismatch
	}
	next, err := replaceSections(old.Declared, update.Sections)
	if err != nil {
		return nil, Signed{}, errors.Mark(err, ErrUpdateCorrupt)
	}
	source, err := CanonicalSource(next)
	if err != nil || digestOfSource(source) != update.Digest {
		return nil, Signed{}, ErrUpdateCorrupt
	}
	return next, Signed{Source: source, SignOffs: update.SignOffs}, nil
}

// split returns the bundle's sections that are not empty.
func split(b *Bundle) []Section {
	canonical := Canonical(b)
	sections := []Section{headerSection(canonical)}
	sections = append(sections, listSections(SectionOperators, canonical.Operators, operatorName)...)
	sections = append(sections, listSections(SectionReviewers, canonical.Reviewers, reviewerName)...)
	sections = append(sections, listSections(SectionZones, canonical.Zones, zoneName)...)
	sections = append(sections, listSections(SectionCells, canonical.Cells, cellName)...)
	sections = append(sections, listSections(SectionTenants, canonical.Tenants, tenantName)...)
	sections = append(sections, listSections(SectionClasses, canonical.Classes, className)...)
	sections = append(sections, listSections(SectionModels, canonical.Models, modelName)...)
	sections = append(sections, listSections(SectionTools, canonical.Tools, toolName)...)
	return append(sections, listSections(SectionEngines, canonical.Engines, engineName)...)
}

// headerSection holds the bundle without its lists, so that a field that is added to Bundle outside the
// lists is included without a change here.
func headerSection(b *Bundle) Section {
	return newSection(SectionID{Kind: SectionHeader}, b.header())
}

func listSections[T any](kind SectionKind, items []T, name func(*T) string) []Section {
	buckets := map[int][]T{}
	for index := range items {
		bucket := bucketOf(name(&items[index]))
		buckets[bucket] = append(buckets[bucket], items[index])
	}
	sections := make([]Section, 0, len(buckets))
	for _, bucket := range slices.Sorted(maps.Keys(buckets)) {
		sections = append(sections, newSection(SectionID{Kind: kind, Bucket: bucket}, buckets[bucket]))
	}
	return sections
}

// newSection encodes content. Encoding fails only on numbers that are not finite; such a bundle has no
// digest either, so that ApplyUpdate rejects it.
func newSection(id SectionID, content any) Section {
	encoded, err := json.Marshal(content)
	if err != nil {
		encoded = json.RawMessage("null")
	}
	return Section{SectionID: id, Content: encoded}
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketsPerKind) }

func (s *Section) digest() string {
	sum := sha256.Sum256(s.Content)
	return hex.EncodeToString(sum[:sectionDigestBytes])
}

func compareSectionIDs(a, b SectionID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Bucket, b.Bucket))
}

// replacements holds the new content of buckets, by kind and bucket.
type replacements map[SectionKind]map[int]json.RawMessage

func replaceSections(old *Bundle, sections []Section) (*Bundle, error) {
	changed := replacements{}
	for _, section := range sections {
		if changed[section.Kind] == nil {
			changed[section.Kind] = map[int]json.RawMessage{}
		}
		changed[section.Kind][section.Bucket] = section.Content
	}
	header := old
	if content, ok := changed[SectionHeader][0]; ok {
		header = &Bundle{}
		if err := json.Unmarshal(content, header); err != nil {
			return nil, errors.Wrap(err, "header section")
		}
	}
	next := withListsOf(header, old)
	err := errors.Join(
		replaceBuckets(&next.Operators, changed[SectionOperators], operatorName),
		replaceBuckets(&next.Reviewers, changed[SectionReviewers], reviewerName),
		replaceBuckets(&next.Zones, changed[SectionZones], zoneName),
		replaceBuckets(&next.Cells, changed[SectionCells], cellName),
		replaceBuckets(&next.Tenants, changed[SectionTenants], tenantName),
		replaceBuckets(&next.Classes, changed[SectionClasses], className),
		replaceBuckets(&next.Models, changed[SectionModels], modelName),
		replaceBuckets(&next.Tools, changed[SectionTools], toolName),
		replaceBuckets(&next.Engines, changed[SectionEngines], engineName),
	)
	return next, err
}

// replaceBuckets drops the items of every changed bucket and appends its new items. It does not write to the
// list that *items shares with the old bundle.
func replaceBuckets[T any](items *[]T, changed map[int]json.RawMessage, name func(*T) string) error {
	if len(changed) == 0 {
		return nil
	}
	var next []T
	for index := range *items {
		item := &(*items)[index]
		if _, replaced := changed[bucketOf(name(item))]; !replaced {
			next = append(next, *item)
		}
	}
	for _, bucket := range slices.Sorted(maps.Keys(changed)) {
		var added []T
		if err := json.Unmarshal(changed[bucket], &added); err != nil {
			return errors.Wrapf(err, "section bucket %d", bucket)
		}
		next = append(next, added...)
	}
	*items = next
	return nil
}

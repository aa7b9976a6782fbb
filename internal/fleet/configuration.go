package fleet

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"math"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Shape of the configuration.
const (
	regions        = 2
	zonesPerRegion = 5
	reviewerName   = "reviewer"
	operatorName   = "operator"
	// nearMillis and farMillis are delays inside and between regions.
	nearMillis = 0.5
	farMillis  = 30
)

// configuration makes the bundles of one run, each signed and one version
// above the last.
type configuration struct {
	options        Options
	cells          int // that run
	enginesPerCell int
	key            ed25519.PrivateKey
	current        bundle.Bundle
}

// newConfiguration returns the first version for that many cells.
func newConfiguration(options Options, nodesPerCell, cells int) *configuration {
	seed := sha256.Sum256([]byte(reviewerName))
	c := &configuration{
		options:        options,
		cells:          cells,
		enginesPerCell: max(1, int(math.Round(options.EnginesPerNode*float64(nodesPerCell)))),
		key:            ed25519.NewKeyFromSeed(seed[:]),
	}
	public := c.key.Public().(ed25519.PublicKey)
	operatorDigest := sha256.Sum256([]byte(operatorName))
	c.current = bundle.Bundle{
		Version:    1,
		Deployment: "fleet",
		Operators:  []bundle.Operator{{Name: operatorName, KeyDigest: hex.EncodeToString(operatorDigest[:])}},
		Reviewers:  []bundle.Reviewer{{Name: reviewerName, PublicKey: base64.StdEncoding.EncodeToString(public)}},
		SignOffs:   1,
		Zones:      zones(),
		Classes:    []bundle.Class{{Name: "interactive", Worth: 1, MaxBudget: 1_000_000, MaxCalls: 130, MaxTokens: 170_000}},
		Tenants:    tenants(options.Tenants),
		Models:     models(options.Models),
	}
	for cell := range c.allCells() {
		c.current.Cells = append(c.current.Cells, bundle.Cell{Name: cellName(cell), Region: regionName(cell % regions)})
	}
	c.current.Engines = c.engines()
	return c
}

// allCells is the number of cells in the bundle, those that do not run too.
func (c *configuration) allCells() int {
	return max(c.cells, (c.options.Engines+c.enginesPerCell/2)/c.enginesPerCell)
}

// next changes one tenant and raises the version.
func (c *configuration) next() {
	changed := slices.Clone(c.current.Tenants)
	c.current.BaseVersion = c.current.Version
	c.current.Version++
	changed[c.current.Version%uint64(len(changed))].Weight = float64(c.current.Version)
	c.current.Tenants = changed
}

// signed returns the current version with its sign-off.
func (c *configuration) signed() (bundle.Signed, error) {
	source, err := bundle.CanonicalSource(&c.current)
	if err != nil {
		return bundle.Signed{}, errors.Wrap(err, "encode bundle")
	}
	signOff := bundle.Sign(&c.current, reviewerName, c.key)
	return bundle.Signed{Source: source, SignOffs: []bundle.SignOff{signOff}}, nil
}

// engines places every cell's share of engines in the zones of its region.
func (c *configuration) engines() []bundle.Engine {
	perCell := c.enginesPerCell
	list := make([]bundle.Engine, 0, perCell*c.allCells())
	for cell := range c.allCells() {
		for number := range perCell {
			name := engineName(cell, number)
			list = append(list, bundle.Engine{
				Name:   name,
				URL:    "http://" + name + ".engines.invalid",
				Zone:   zoneName(cell%regions, number%zonesPerRegion),
				Cell:   cellName(cell),
				Models: []string{modelName(number % c.options.Models)},
			})
		}
	}
	return list
}

func zones() []bundle.Zone {
	list := make([]bundle.Zone, 0, regions*zonesPerRegion)
	for index := range regions * zonesPerRegion {
		zone := bundle.Zone{Name: zoneName(index/zonesPerRegion, index%zonesPerRegion), Region: regionName(index / zonesPerRegion)}
		for other := range index {
			millis := float64(farMillis)
			if other/zonesPerRegion == index/zonesPerRegion {
				millis = nearMillis
			}
			zone.Distances = append(zone.Distances, bundle.Distance{To: list[other].Name, Millis: millis})
		}
		list = append(list, zone)
	}
	return list
}

func tenants(count int) []bundle.Tenant {
	list := make([]bundle.Tenant, 0, count)
	for index := range count {
		name := fmt.Sprintf("tenant-%d", index)
		digest := sha256.Sum256([]byte(name))
		list = append(list, bundle.Tenant{Name: name, KeyDigests: []string{hex.EncodeToString(digest[:])}, Weight: 1})
	}
	return list
}

func models(count int) []bundle.Model {
	list := make([]bundle.Model, 0, count)
	for index := range count {
		list = append(list, bundle.Model{
			Name:             modelName(index),
			ContextTokens:    170_000,
			DefaultMaxTokens: 512,
			PromptPrice:      1000,
			CachedPrice:      250,
			CompletionPrice:  4000,
		})
	}
	return list
}

func regionName(region int) string       { return fmt.Sprintf("region-%d", region) }
func zoneName(region, zone int) string   { return fmt.Sprintf("r%d-zone-%d", region, zone) }
func cellName(cell int) string           { return fmt.Sprintf("cell-%d", cell) }
func modelName(model int) string         { return fmt.Sprintf("model-%d", model) }
func engineName(cell, number int) string { return fmt.Sprintf("engine-%d-%d", cell, number) }

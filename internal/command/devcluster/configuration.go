package devcluster

import (
	"crypto/ed25519"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"sigs.k8s.io/yaml"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Keys of examples/dev-bundle.yaml. They are public, so use them only for
// deployments that nobody else can reach.
const (
	TenantKey    = "dev-key"
	OperatorKey  = "dev-operator"
	ReviewerName = "dev-reviewer"
)

// ReviewerKey returns the private key of a reviewer of the example bundles.
// It is public as well: its seed is the SHA-256 of the reviewer's name.
func ReviewerKey(reviewer string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(reviewer))
	return ed25519.NewKeyFromSeed(seed[:])
}

// Addresses are the actual addresses of the parts of a deployment.
type Addresses struct {
	Seeds   []string          // peer addresses of nodes
	Engines map[string]string // base URL by the engine's name in the bundle
	Tools   map[string]string // base URL by the tool's name in the bundle
}

// Relocate replaces the addresses in a bundle.
func Relocate(b *bundle.Bundle, addresses Addresses) {
	for i := range b.Cells {
		b.Cells[i].Seeds = addresses.Seeds
	}
	for i := range b.Engines {
		b.Engines[i].URL = addresses.Engines[b.Engines[i].Name]
	}
	for i := range b.Tools {
		b.Tools[i].URL = addresses.Tools[b.Tools[i].Name]
	}
}

// Sign signs a bundle as ReviewerName.
func Sign(b *bundle.Bundle) (bundle.Signed, error) {
	source, err := yaml.Marshal(b)
	if err != nil {
		return bundle.Signed{}, errors.Wrap(err, "encode bundle")
	}
	signOff := bundle.Sign(b, ReviewerName, ReviewerKey(ReviewerName))
	return bundle.Signed{Source: source, SignOffs: []bundle.SignOff{signOff}}, nil
}

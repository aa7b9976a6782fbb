package devcluster

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"sigs.k8s.io/yaml"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// reviewerName is the reviewer that signs an adapted bundle.
const reviewerName = "dev-reviewer"

// OperatorKey is the operator's key of every adapted bundle. It is public,
// and so fit only for deployments that nobody else can reach.
const OperatorKey = "dev-operator-key"

// operatorName is the operator that OperatorKey belongs to.
const operatorName = "dev-operator"

// TenantKey returns the key of a tenant in an adapted bundle. It is as
// public as OperatorKey.
func TenantKey(tenant string) string { return "dev-key-" + tenant }

// URLs are where the stand-ins of a bundle's back ends listen, by name.
type URLs struct {
	Engines map[string]string
	Tools   map[string]string
}

// Adapt returns a copy of a bundle, as the first version, for use with
// stand-ins: back ends have the given URLs, cells no seeds but the given
// ones, and the keys are OperatorKey and TenantKey.
func Adapt(original *bundle.Bundle, urls URLs, seeds []string) (*bundle.Bundle, error) {
	adapted, err := copyBundle(original)
	if err != nil {
		return nil, err
	}
	adapted.Version = 1
	adapted.BaseVersion = 0
	adapted.SignOffs = 1
	adapted.Operators = []bundle.Operator{{Name: operatorName, KeyDigest: keyDigest(OperatorKey)}}
	for i := range adapted.Tenants {
		tenant := &adapted.Tenants[i]
		tenant.KeyDigests = []string{keyDigest(TenantKey(tenant.Name))}
	}
	for i := range adapted.Cells {
		adapted.Cells[i].Seeds = seeds
	}
	for i := range adapted.Engines {
		adapted.Engines[i].URL = urls.Engines[adapted.Engines[i].Name]
	}
	for i := range adapted.Tools {
		adapted.Tools[i].URL = urls.Tools[adapted.Tools[i].Name]
	}
	return adapted, nil
}

// Sign makes a fresh reviewer the bundle's only one and signs it as that
// reviewer. The private key is forgotten.
func Sign(adapted *bundle.Bundle) (bundle.Signed, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return bundle.Signed{}, errors.Wrap(err, "generate reviewer key")
	}
	adapted.Reviewers = []bundle.Reviewer{{
		Name:      reviewerName,
		PublicKey: base64.StdEncoding.EncodeToString(public),
	}}
	source, err := yaml.Marshal(adapted)
	if err != nil {
		return bundle.Signed{}, errors.Wrap(err, "encode bundle")
	}
	return bundle.Signed{
		Source:   source,
		SignOffs: []bundle.SignOff{bundle.Sign(adapted, reviewerName, private)},
	}, nil
}

// copyBundle returns a copy that shares nothing with the original.
func copyBundle(original *bundle.Bundle) (*bundle.Bundle, error) {
	source, err := yaml.Marshal(original)
	if err != nil {
		return nil, errors.Wrap(err, "copy bundle")
	}
	copied, err := bundle.Decode(source)
	return copied, errors.Wrap(err, "copy bundle")
}

// keyDigest returns the SHA-256 of a key, hexadecimal.
func keyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

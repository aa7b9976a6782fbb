package bundle

import (
	"crypto/ed25519"
	"fmt"
	"strings"

	"github.com/pewtermill/pewtermill/api"
)

// signaturePrefix prevents a sign-off from being valid as a signature of any other content, and vice versa.
const signaturePrefix = "pewtermill bundle sign-off 1\n"

func signedMessage(digest string) []byte { return []byte(signaturePrefix + digest) }

// Sign returns the reviewer's sign-off of the bundle's canonical digest.
func Sign(b *Bundle, reviewer string, key ed25519.PrivateKey) SignOff {
	return SignOff{Reviewer: reviewer, Signature: ed25519.Sign(key, signedMessage(Digest(b)))}
}

// Verify checks whether next may replace inForce, which is nil before the first bundle: next decodes, its
// base version is the one in force, its version is the one after that, and enough distinct reviewers of the
// bundle in force have signed it. The first bundle is signed by its own reviewers. Errors: BundleInvalid,
// BundleStale, BundleUnsigned. It does not call Check.
func Verify(inForce *Snapshot, next Signed) *api.Error {
	decoded, err := Decode(next.Source)
	if err != nil {
		return api.Errorf(api.BundleInvalid, "%v", err)
	}
	return verifyDecoded(inForce, decoded, next.SignOffs)
}

func verifyDecoded(inForce *Snapshot, next *Bundle, signOffs []SignOff) *api.Error {
	if rejection := verifyVersion(inForce.Version(), next); rejection != nil {
		return rejection
	}
	authority := next
	if inForce != nil {
		authority = inForce.Declared
	}
	return verifySignOffs(authority, Digest(next), signOffs)
}

func verifyVersion(inForce uint64, next *Bundle) *api.Error {
	if next.BaseVersion != inForce {
		return api.Errorf(api.BundleStale, "base_version is %d, but version %d is in force", next.BaseVersion, inForce)
	}
	if next.Version != inForce+1 {
		return api.Errorf(api.BundleInvalid, "version is %d; the next after %d must be %d", next.Version, inForce, inForce+1)
	}
	return nil
}

func verifySignOffs(authority *Bundle, digest string, signOffs []SignOff) *api.Error {
	keys := make(map[string]ed25519.PublicKey, len(authority.Reviewers))
	for _, reviewer := range authority.Reviewers {
		if key, ok := decodePublicKey(reviewer.PublicKey); ok {
			keys[reviewer.Name] = key
		}
	}
	valid := map[string]bool{}
	var rejected []string
	for _, signOff := range signOffs {
		key, ok := keys[signOff.Reviewer]
		switch {
		case !ok:
			rejected = append(rejected, fmt.Sprintf("%q is not a reviewer", signOff.Reviewer))
		case !ed25519.Verify(key, signedMessage(digest), signOff.Signature):
			rejected = append(rejected, fmt.Sprintf("%s's signature does not match this bundle", signOff.Reviewer))
		default:
			valid[signOff.Reviewer] = true
		}
	}
	needed := max(1, authority.SignOffs)
	if len(valid) >= needed {
		return nil
	}
	detail := fmt.Sprintf("%d distinct valid sign-offs, %d needed", len(valid), needed)
	if len(rejected) > 0 {
		detail += ": " + strings.Join(rejected, "; ")
	}
	return api.Errorf(api.BundleUnsigned, "%s", detail)
}

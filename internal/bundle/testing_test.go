package bundle

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// memoryTable is a compare-and-set map in place of the table service. versions lists the versions of the
// bundles written, in order.
type memoryTable struct {
	mu       sync.Mutex
	row      tablestore.Row
	version  tablestore.Row // of VersionKey
	versions []uint64
	// commitErrors are returned by the next commits, in order.
	commitErrors []commitFailure
}

// commitFailure makes one commit return an error, with or without applying it.
type commitFailure struct {
	err     error
	applied bool
}

func (t *memoryTable) Commit(_ context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var failure commitFailure
	if len(t.commitErrors) > 0 {
		failure = t.commitErrors[0]
		t.commitErrors = t.commitErrors[1:]
	}
	if failure.err != nil && !failure.applied {
		return tablestore.Receipt{}, failure.err
	}
	if transaction.Conditions[0].Revision != t.row.Revision {
		return tablestore.Receipt{}, &tablestore.ConflictError{Current: t.row}
	}
	t.row = tablestore.Row{
		Key: CurrentKey, Value: transaction.Writes[0].Value,
		Revision: t.row.Revision + 1, WriteID: transaction.WriteID,
	}
	t.version = tablestore.Row{Key: VersionKey, Value: transaction.Writes[1].Value, Revision: t.row.Revision}
	t.versions = append(t.versions, mustSnapshot(t.row.Value).Version())
	return tablestore.Receipt{}, failure.err
}

func (t *memoryTable) Get(_ context.Context, key string) (tablestore.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if key == VersionKey {
		return t.version, nil
	}
	return t.row, nil
}

func (t *memoryTable) Range(context.Context, string, string, int) (tablestore.Page, error) {
	return tablestore.Page{}, tablestore.ErrUnavailable
}

func reviewerKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func exampleSource(tb testing.TB, name string) []byte {
	tb.Helper()
	source, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		tb.Fatal(err)
	}
	return source
}

func devBundle(tb testing.TB) *Bundle {
	tb.Helper()
	decoded, err := Decode(exampleSource(tb, "dev-bundle.yaml"))
	if err != nil {
		tb.Fatal(err)
	}
	return decoded
}

// successor returns a bundle that is a valid successor of base, made distinct by label.
func successor(base *Bundle, label string) *Bundle {
	next := *base
	next.Version, next.BaseVersion = base.Version+1, base.Version
	next.Tenants = slices.Clone(base.Tenants)
	next.Tenants[0].Name = "tenant-" + label
	return &next
}

func signedBy(b *Bundle, reviewers ...string) Signed {
	source, err := CanonicalSource(b)
	if err != nil {
		panic(fmt.Sprintf("canonical source: %v", err))
	}
	signed := Signed{Source: source}
	for _, reviewer := range reviewers {
		signed.SignOffs = append(signed.SignOffs, Sign(b, reviewer, reviewerKey(reviewer)))
	}
	return signed
}

const devReviewer = "dev-reviewer"

func mustSnapshot(rowValue []byte) *Snapshot {
	var signed Signed
	if err := json.Unmarshal(rowValue, &signed); err != nil {
		panic(err)
	}
	return mustCompile(signed)
}

func mustCompile(signed Signed) *Snapshot {
	snapshot, err := Compile(signed)
	if err != nil {
		panic(err)
	}
	return snapshot
}

func publicKeyText(reviewer string) string {
	public := reviewerKey(reviewer).Public().(ed25519.PublicKey)
	return base64.StdEncoding.EncodeToString(public)
}

package bundle

import (
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestDigestIsIndependentOfFormatting(t *testing.T) {
	checkProperty(t, "one digest for every layout", 100, func(random *rand.Rand) error {
		original := randomBundle(t, random)
		source := renderYAML(random, original)
		decoded, err := Decode(source)
		if err != nil {
			return errors.Wrapf(err, "%s", source)
		}
		if Digest(decoded) != Digest(original) {
			return errors.Newf("digest differs for\n%s\n%v", source, Diff(original, decoded))
		}
		canonical, err := CanonicalSource(decoded)
		if err != nil {
			return err
		}
		if again, err := Decode(canonical); err != nil || Digest(again) != Digest(original) {
			return errors.Newf("canonical source does not keep the digest: %v", err)
		}
		if changes := Diff(original, decoded); len(changes) != 0 {
			return errors.Newf("equal bundles differ: %v", changes)
		}
		return nil
	})
}

func TestDigestAndDiffSeeEveryEdit(t *testing.T) {
	checkProperty(t, "an edit changes digest and diff", 100, func(random *rand.Rand) error {
		original := randomBundle(t, random)
		edited := edit(random, original)
		if Digest(edited) == Digest(original) {
			return errors.New("same digest after an edit")
		}
		if len(Diff(original, edited)) < 3 { // version, base_version, the tenant
			return errors.Newf("diff lacks changes: %v", Diff(original, edited))
		}
		return nil
	})
}

func TestDiffNamesPaths(t *testing.T) {
	old := devBundle(t)
	next := successor(old, "x")
	next.Scheduling.MaxQueue = 7
	next.Engines = append([]Engine(nil), old.Engines[1:]...)
	next.Engines[0].Zone = "zone-c"
	want := []string{
		"version changed 1 2", "base_version changed 0 1", "scheduling.max_queue changed 0 7",
		"tenants[dev] removed", "tenants[tenant-x] added",
		"engines[engine-a] removed", `engines[engine-b].zone changed "zone-b" "zone-c"`,
	}
	changes := Diff(old, next)
	if len(changes) != len(want) {
		t.Fatalf("changes: %+v", changes)
	}
	for index, change := range changes {
		got := change.Path + " " + string(change.Kind)
		if change.Kind == Changed {
			got += " " + string(change.Old) + " " + string(change.New)
		}
		if got != want[index] {
			t.Errorf("change %d is %q, want %q", index, got, want[index])
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(exampleSource(f, "dev-bundle.yaml"))
	f.Add([]byte("version: 1\nzones: [{name: a, distances: [{to: b, millis: 1e3}]}]\n"))
	f.Add([]byte("a: &a [*a]\n---\n<<: {version: 2}\n"))
	f.Add([]byte(`{"version":18446744073709551615,"deployment":"\u2028\ud800"}`))
	f.Fuzz(func(t *testing.T, source []byte) {
		decoded, err := Decode(source)
		if err != nil {
			return
		}
		Check(decoded)
		canonical, err := CanonicalSource(decoded)
		if err != nil {
			t.Fatalf("decoded, but has no canonical source: %v", err)
		}
		if len(Check(decoded)) > 0 {
			return
		}
		again, err := Decode(canonical)
		if err != nil || Digest(again) != Digest(decoded) {
			t.Fatalf("canonical source does not keep the digest: %v", err)
		}
	})
}

package serving

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestStreamBegunWithTheRecordUnreadIsNotConcluded guards against streams joined from two versions: a process that could not read the
// record yet starts streams at a version that the record lacks, all are killed before anyone adds it, the version leaves, and the next
// processes conclude from the record that the other version began them.
func TestStreamBegunWithTheRecordUnreadIsNotConcluded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := calmFleet(t, 2*time.Minute)
		f.records.setDown(true)
		f.table.put("next", "v2")
		f.killAll()
		started := f.start("a")
		time.Sleep(time.Second)
		ctx, cancel := f.timeout(250 * time.Millisecond)
		defer cancel()
		refused := started.versionRecord.Await(ctx, "models", "v2")
		f.killAll()
		f.table.remove("next")
		f.records.setDown(false)
		if finding := f.restart().find(); refused == nil && finding.Basis != origins.Unknown {
			t.Errorf("a stream might start at v2, and is taken for one of %s, by %s", finding.Origin.Version, finding.Basis)
		}
		f.killAll()
	})
}

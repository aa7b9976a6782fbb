package origins

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestNodeThatMissedAChangeConcludesNothing looks a stream up that no node knows, while all list one version: at a node that has, or may
// have, missed that another one joined.
func TestNodeThatMissedAChangeConcludesNothing(t *testing.T) {
	errAway := errors.New("the store is away")
	for name, test := range map[string]struct {
		nodes  int
		others state
		unread bool
		err    error
		joins  bool // the node learns of another version while it asks the store
		want   Basis
	}{
		"nothing missed":                      {nodes: 3, want: ByOnlyVersion},
		"a change missed":                     {nodes: 3, unread: true, want: Unknown},
		"a change read meanwhile":             {nodes: 3, joins: true, want: Unknown},
		"no answer of store and peers":        {nodes: 3, others: unresponsive, err: errAway, want: Unknown},
		"no answer of peers":                  {nodes: 3, others: unresponsive, want: ByOnlyVersion},
		"no answer of the store":              {nodes: 3, err: errAway, want: ByOnlyVersion},
		"no answer of the store and no peers": {nodes: 1, err: errAway, want: ByOnlyVersion},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(test.nodes)
				f.setVersions("v1")
				for number := 1; number < test.nodes; number++ {
					f.node(number).state = test.others
				}
				asked := f.node(0)
				asked.options.HasUnreadChange = func(context.Context, string, string) (bool, error) {
					if test.joins {
						asked.versions = []string{"v1", "v2"}
					}
					return test.unread, test.err
				}
				finding := asked.Find(t.Context(), Query{Stream: "x", Service: "s", ResumeWindow: time.Second})
				if finding.Basis != test.want {
					t.Errorf("got %+v, want %s", finding, test.want)
				}
			})
		})
	}
}

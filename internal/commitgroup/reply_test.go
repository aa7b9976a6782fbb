package commitgroup

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// TestReplyThatMayHaveRunIsUnknownOutcome: the writer's end of the connection reports that it could not pass on
// the reply, which does not show whether the transaction ran, while the service rejects what the node sends itself.
func TestReplyThatMayHaveRunIsUnknownOutcome(t *testing.T) {
	for _, test := range []struct {
		execution api.Execution
		want      error
	}{
		{api.Unknown, tablestore.ErrUnknownOutcome},
		{"", tablestore.ErrUnknownOutcome},
		{api.NotRun, tablestore.ErrUnavailable},
	} {
		virtualtime.Test(t, func(t *testing.T) {
			unavailable := errors.Mark(errors.New("503"), tablestore.ErrUnavailable)
			service := &scriptedService{faultyTable: newFaultyTable(1, 0), answer: func(int, tablestore.Transaction) error { return unavailable }}
			table := withWriter(t, service, func(*wirepb.Request) (*wirepb.Reply, error) {
				return &wirepb.Reply{Code: int32(api.Internal), Execution: string(test.execution)}, nil
			})
			if _, err := table.Commit(t.Context(), row(1, "a", 0)); !errors.Is(err, test.want) {
				t.Errorf("execution %q: got %v, want %v", test.execution, err, test.want)
			}
		})
	}
}

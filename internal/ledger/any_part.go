package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// errSilence is the cause of a second write of a turn while the first is in flight.
var errSilence = errors.Mark(errors.New("nothing is answered"), tablestore.ErrUnknownOutcome)

// recordInAnyPart makes a turn durable in its program's part, by ownPart, or in another part if that fails. If ownPart
// calls onSilence, nothing shows whether its write is lost or late. The turn is then recorded in another part as well,
// and recordInAnyPart returns once either write is answered: a complete answer waits for it.
func (l *Ledger) recordInAnyPart(ctx context.Context, e *entry, turn *Turn, ownPart func(ctx context.Context, onSilence func()) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := make(chan struct{}, 1)
	own, other := make(chan error, 1), make(chan error, 1)
	go func() {
		own <- ownPart(ctx, func() {
			select {
			case silence <- struct{}{}:
			default:
			}
		})
	}()
	select {
	case err := <-own:
		if err != nil {
			return l.recordInOtherPart(ctx, e, turn, err)
		}
		return nil
	case <-silence:
	}
	go func() { other <- l.recordInOtherPart(ctx, e, turn, errSilence) }()
	select {
	case err := <-own:
		if err != nil {
			return <-other
		}
	case err := <-other:
		if err != nil {
			return <-own
		}
	}
	return nil
}

// recordInOwnPart writes a turn, without the account, into its program's part.
func (l *Ledger) recordInOwnPart(ctx context.Context, e *entry, turn *Turn, onSilence func()) error {
	part := partOf(e.program)
	for {
		if err := l.health.admit(writing, part, l.options.Now()); err != nil {
			return err
		}
		if err := l.storeBefore(ctx, e, part, turn); err != nil {
			return err
		}
		began := l.options.Now()
		err := l.putTurn(ctx, part, e, turn, l.reportSilence(ctx, part, began, onSilence))
		if errors.Is(err, errInputRemoved) && ctx.Err() == nil {
			continue // it is stored again
		}
		l.callEnded(ctx, writing, part, err, began)
		return err
	}
}

// reportSilence returns onSilence, preceded by recording that a write of a part was not answered; nil if it is nil.
func (l *Ledger) reportSilence(ctx context.Context, part int, began time.Time, onSilence func()) func() {
	if onSilence == nil {
		return nil
	}
	return func() {
		l.callEnded(ctx, writing, part, errSilence, began)
		onSilence()
	}
}

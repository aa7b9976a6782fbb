package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// bundleReply is the body of the reply to FetchBundle, as JSON: the update
// from the version that the peer has, else the whole bundle.
type bundleReply struct {
	Update *bundle.Update `json:"update,omitempty"`
	Whole  *bundle.Signed `json:"whole,omitempty"`
}

// serveBundle serves a peer's request for a newer bundle than it has.
func (n *Node) serveBundle(request *wirepb.FetchBundle) *wirepb.Reply {
	snapshot := n.keeper.InForce()
	if snapshot == nil || snapshot.Version() <= request.GetHaveVersion() {
		return &wirepb.Reply{}
	}
	if update, ok := n.keeper.UpdateSince(request.GetHaveVersion()); ok {
		return replyWith(bundleReply{Update: &update}, nil)
	}
	return replyWith(bundleReply{Whole: &snapshot.Signed}, nil)
}

// fetchBundle requests a newer bundle from a peer and passes it to the keeper. If an
// update does not apply to the active bundle, it requests the whole bundle.
func (n *Node) fetchBundle(ctx context.Context, address string) error {
	current := uint64(0)
	if snapshot := n.keeper.InForce(); snapshot != nil {
		current = snapshot.Version()
	}
	answer, err := n.requestBundle(ctx, address, current)
	if err != nil {
		return err
	}
	if answer.Update != nil {
		err := n.keeper.ReceiveUpdate(*answer.Update)
		if !errors.IsAny(err, bundle.ErrUpdateBaseMismatch, bundle.ErrUpdateCorrupt) {
			return err
		}
		if answer, err = n.requestBundle(ctx, address, 0); err != nil {
			return err
		}
	}
	if answer.Whole == nil {
		return nil
	}
	return n.keeper.Receive(*answer.Whole)
}

// requestBundle returns an empty reply if the peer has no newer bundle.
func (n *Node) requestBundle(ctx context.Context, address string, current uint64) (bundleReply, error) {
	reply, err := n.peers.Do(ctx, address, &wirepb.Request{
		From: n.settings.Name,
		Body: &wirepb.Request_FetchBundle{FetchBundle: &wirepb.FetchBundle{HaveVersion: current}},
	}, nil)
	if err != nil {
		return bundleReply{}, err
	}
	if len(reply.GetBody()) == 0 {
		return bundleReply{}, errorOf(reply)
	}
	return decodeReply[bundleReply](reply)
}

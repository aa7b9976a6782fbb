package node

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/callers"
)

// maxRebindDelay is the longest delay between two attempts to bind addresses of which one is in use.
const maxRebindDelay = 200 * time.Millisecond

// listen binds all addresses of the settings, and returns the listener for peers. While one of them is in use it holds none of the others.
// It returns an error if ctx ends first, or an address can never be bound.
func (n *Node) listen(ctx context.Context) (peers net.Listener, err error) {
	err = callers.RetryBind(ctx, maxRebindDelay, func() error {
		peers, err = n.bindAll()
		return err
	}, func(err error) { n.logger.Warn("address not available yet", "error", err.Error()) })
	return peers, err
}

// bindAll binds all addresses of the settings, or none.
func (n *Node) bindAll() (peers net.Listener, err error) {
	var bound []net.Listener
	for _, binding := range []struct {
		listener         *net.Listener
		address, purpose string
	}{
		{&peers, n.settings.PeerAddress, "peer address"},
		{&n.callerListener, n.settings.CallerAddress, "caller address"},
		{&n.operatorListener, n.settings.OperatorAddress, "operator address"},
	} {
		listener, err := callers.Bind("tcp", binding.address)
		if err != nil {
			for _, other := range bound {
				_ = other.Close()
			}
			return nil, errors.Wrap(err, binding.purpose)
		}
		*binding.listener = listener
		bound = append(bound, listener)
	}
	return peers, nil
}

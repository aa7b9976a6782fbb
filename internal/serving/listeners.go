package serving

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/callers"
)

// listeners are the sockets at which a process accepts connections. They are bound before anything else starts, so
// that port 0 in the settings selects any free port.
type listeners struct {
	ingress net.Listener
	ready   net.Listener
	peers   net.Listener // nil if the settings have no address for peers
}

// Longest delays between two attempts to bind an address that is in use.
const (
	maxRebindDelay        = 200 * time.Millisecond
	maxRebindMetricsDelay = 5 * time.Second
)

// listen binds all addresses of the settings. While one of them is in use it holds none of the others, so that no
// caller waits at one that nothing serves. It returns an error if ctx ends first, or an address can never be bound.
func (p *Process) listen(ctx context.Context) error {
	return callers.RetryBind(ctx, maxRebindDelay, p.bindAll, p.logUnavailable)
}

// logUnavailable logs why an address is not bound yet.
func (p *Process) logUnavailable(err error) {
	p.logger.Warn("address not available yet", "error", err.Error())
}

// bindAll binds all addresses of the settings, or none.
func (p *Process) bindAll() error {
	for _, binding := range []struct {
		listener *net.Listener
		address  string
		purpose  string
	}{
		{&p.listeners.ingress, p.settings.IngressAddress, "callers"},
		{&p.listeners.ready, p.settings.ReadyAddress, "readiness checks"},
		{&p.listeners.peers, p.settings.peerListenAddress(), "peers"},
	} {
		if binding.address == "" {
			continue
		}
		bound, err := callers.Bind("tcp4", binding.address)
		if err != nil {
			p.listeners.close()
			p.listeners = listeners{}
			return errors.Wrapf(err, "listen for %s", binding.purpose)
		}
		*binding.listener = bound
	}
	if p.listeners.peers != nil {
		p.leases.SetAddress(p.PeerAddress())
	}
	return nil
}

// close closes all bound listeners. Closing them twice is safe.
func (l *listeners) close() {
	for _, bound := range []net.Listener{l.ingress, l.ready, l.peers} {
		if bound != nil {
			_ = bound.Close()
		}
	}
}

// IngressAddress returns the address at which the started process serves callers.
func (p *Process) IngressAddress() string { return p.listeners.ingress.Addr().String() }

// ReadyAddress returns the address at which the started process answers readiness checks.
func (p *Process) ReadyAddress() string { return p.listeners.ready.Addr().String() }

// peerListenAddress returns the address at which the process listens for peers; empty if it does not.
func (s Settings) peerListenAddress() string {
	if s.PeerAddress == "" || s.PeerListenAddress == "" {
		return s.PeerAddress
	}
	return s.PeerListenAddress
}

// PeerAddress returns the address at which peers reach the started process; empty if they do not.
func (p *Process) PeerAddress() string {
	if p.listeners.peers == nil {
		return ""
	}
	if p.settings.PeerListenAddress != "" {
		return p.settings.PeerAddress
	}
	return p.listeners.peers.Addr().String()
}

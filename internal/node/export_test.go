package node

import (
	"net/http"

	"github.com/pewtermill/pewtermill/internal/gateway"
)

// CallerHandler returns the callers' endpoint without its listener.
func (n *Node) CallerHandler() http.Handler {
	return gateway.New(&router{n}, n.keeper.InForce, gateway.Options{Logger: n.logger})
}

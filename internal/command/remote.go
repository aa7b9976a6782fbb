package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pewtermill/pewtermill/internal/client"
)

// Streams are the outputs of a verb: results go to Out, messages and logs to Err.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Remote holds the flags that select a node; embed it in a verb.
type Remote struct {
	Node string `help:"Base URL of any node: its operator address, or its caller address for the program verbs." env:"PEWTERMILL_NODE" default:"http://127.0.0.1:7201" placeholder:"URL"`
	Key  string `help:"Operator's key, or tenant's key for the program verbs." env:"PEWTERMILL_KEY" placeholder:"KEY"`
}

// Client returns a client of the selected node.
func (r Remote) Client() *client.Client { return client.New(r.Node, r.Key) }

// SignalContext returns a context that ends with the first SIGINT or SIGTERM.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// requestTimeout is the time limit of a verb that makes a single request.
const requestTimeout = 30 * time.Second

// RequestContext returns the context of a verb that makes a single request. It ends with a signal or after
// requestTimeout.
func RequestContext() (context.Context, context.CancelFunc) {
	signalContext, stop := SignalContext()
	ctx, cancel := context.WithTimeout(signalContext, requestTimeout)
	return ctx, func() {
		cancel()
		stop()
	}
}

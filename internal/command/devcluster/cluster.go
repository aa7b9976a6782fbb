// Package devcluster runs a whole deployment in one process on loopback: the
// nodes, and stand-ins for the platform, the model engines and the tools of
// a bundle. It serves the dev verb, to try the system out.
package devcluster

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/client"
	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/node"
	"github.com/pewtermill/pewtermill/internal/settings"
	engine "github.com/pewtermill/pewtermill/internal/standin/engine"
	platform "github.com/pewtermill/pewtermill/internal/standin/platform"
	tool "github.com/pewtermill/pewtermill/internal/standin/tool"
)

// clusterKey is what the nodes of a development deployment share.
const clusterKey = "development cluster key"

// Options say what to start.
type Options struct {
	Bundle []byte // YAML; must have the keys of examples/dev-bundle.yaml
	Nodes  int    // at least 1; placed over the bundle's zones in turn
	Logger *slog.Logger
}

// Node is where one node of the cluster listens.
type Node struct {
	Name        string
	Zone        string
	CallerURL   string
	OperatorURL string
}

// Cluster is a running deployment. Its methods are not safe for concurrent
// use.
type Cluster struct {
	Nodes       []Node
	PlatformURL string

	options  Options
	bundle   *bundle.Bundle
	running  []*node.Node
	servers  []*command.Server
	engines  []*engine.Engine
	settings []settings.Settings
}

// Start starts everything and waits until each node serves callers, or ctx
// ends. After an error nothing is left running.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	decoded, err := bundle.Decode(options.Bundle)
	if err != nil {
		return nil, err
	}
	c := &Cluster{options: options, bundle: decoded}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startStandIns(); err != nil {
		return err
	}
	if err := c.startNodes(ctx); err != nil {
		return err
	}
	if err := c.submitBundle(ctx); err != nil {
		return err
	}
	return c.waitReady(ctx)
}

// startStandIns starts platform, engines and tools, and points the bundle
// at them.
func (c *Cluster) startStandIns() error {
	var err error
	c.PlatformURL, err = c.serve(platform.New(platform.Options{}).Handler())
	if err != nil {
		return err
	}
	addresses := Addresses{Engines: map[string]string{}, Tools: map[string]string{}}
	for _, described := range c.bundle.Engines {
		standIn := engine.New(engine.Options{Name: described.Name, Zone: described.Zone, Models: described.Models})
		c.engines = append(c.engines, standIn)
		addresses.Engines[described.Name], err = c.serve(standIn.Handler())
		if err != nil {
			return err
		}
	}
	toolURL, err := c.serve(tool.New(tool.Options{}).Handler())
	if err != nil {
		return err
	}
	for _, described := range c.bundle.Tools {
		addresses.Tools[described.Name] = toolURL
	}
	if err := c.chooseSettings(); err != nil {
		return err
	}
	addresses.Seeds = c.settings[0].Seeds
	Relocate(c.bundle, addresses)
	return nil
}

// serve serves a stand-in on loopback and returns its base URL.
func (c *Cluster) serve(handler http.Handler) (string, error) {
	server, err := command.Serve(loopbackAnyPort, handler)
	if err != nil {
		return "", err
	}
	c.servers = append(c.servers, server)
	return server.URL(), nil
}

// addressesPerNode are those for callers, operators and peers.
const addressesPerNode = 3

// chooseSettings places the nodes and gives each its addresses.
func (c *Cluster) chooseSettings() error {
	free, err := freeAddresses(c.options.Nodes * addressesPerNode)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range c.options.Nodes {
		own := free[i*addressesPerNode:]
		seeds = append(seeds, own[2])
		chosen := settings.Settings{
			Name:            fmt.Sprintf("node-%d", i+1),
			Cell:            c.bundle.Cells[0].Name,
			Zone:            c.bundle.Zones[i%len(c.bundle.Zones)].Name,
			CallerAddress:   own[0],
			OperatorAddress: own[1],
			PeerAddress:     own[2],
			PlatformURL:     c.PlatformURL,
			ClusterKey:      clusterKey,
		}
		c.settings = append(c.settings, chosen.WithDefaults())
		c.Nodes = append(c.Nodes, Node{
			Name:        chosen.Name,
			Zone:        chosen.Zone,
			CallerURL:   "http://" + own[0],
			OperatorURL: "http://" + own[1],
		})
	}
	for i := range c.settings {
		c.settings[i].Seeds = seeds
	}
	return nil
}

func (c *Cluster) startNodes(ctx context.Context) error {
	for _, chosen := range c.settings {
		logger := c.options.Logger.With("node", chosen.Name)
		created, err := node.New(chosen, node.Dependencies{Logger: logger})
		if err != nil {
			return errors.Wrapf(err, "create %s", chosen.Name)
		}
		c.running = append(c.running, created)
		// The node outlives the start's time limit; Close ends it.
		if err := created.Start(context.WithoutCancel(ctx)); err != nil {
			return errors.Wrapf(err, "start %s", chosen.Name)
		}
	}
	return nil
}

// submitBundle signs the bundle and submits it to the first node, which
// takes the first bundle without a key.
func (c *Cluster) submitBundle(ctx context.Context) error {
	signed, err := Sign(c.bundle)
	if err != nil {
		return err
	}
	_, err = client.New(c.Nodes[0].OperatorURL, "").SubmitBundle(ctx, signed)
	return errors.Wrap(err, "submit bundle")
}

// readyPollInterval is how often a node is asked whether it is ready.
const readyPollInterval = 20 * time.Millisecond

// waitReady waits until every node serves callers.
func (c *Cluster) waitReady(ctx context.Context) error {
	for _, started := range c.Nodes {
		for !isReady(ctx, started.OperatorURL) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "%s is not ready", started.Name)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, operatorURL string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, operatorURL+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Drain stops the nodes as planned, all at once, so that requests under way
// end. Close must follow.
func (c *Cluster) Drain(ctx context.Context) error {
	var group errgroup.Group
	for _, running := range c.running {
		group.Go(func() error { return running.Drain(ctx) })
	}
	return group.Wait()
}

// Close ends everything at once.
func (c *Cluster) Close() {
	for _, running := range c.running {
		running.Close()
	}
	for _, server := range c.servers {
		_ = server.Close() // its requests are cut; nothing is left to report
	}
	for _, standIn := range c.engines {
		standIn.Close()
	}
}

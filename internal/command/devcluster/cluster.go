// Package devcluster runs a whole deployment in one process on loopback: the
// nodes, and stand-ins for the platform, the model engines and the tools of
// a bundle. It serves the dev verb, to try the system out.
package devcluster

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/api"
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

// loopbackAnyPort is an address that asks for a free port.
const loopbackAnyPort = "127.0.0.1:0"

// Sizes and speeds of the stand-ins: small and quick enough to watch.
const (
	engineMaxRunning  = 8
	engineCacheTokens = 65_536
	enginePrefillRate = 8_000 // tokens per second
	engineDecodeRate  = 200   // tokens per second of one stream
	toolDelay         = 50 * time.Millisecond
)

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

	options   Options
	bundle    *bundle.Bundle
	addresses Addresses
	running   []*node.Node
	servers   []*command.Server
	engines   []*engine.Engine
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
	for range c.options.Nodes {
		if err := c.startNode(ctx); err != nil {
			return err
		}
	}
	if err := c.submitBundle(ctx); err != nil {
		return err
	}
	return c.waitReady(ctx)
}

// startStandIns starts a platform, each engine of the bundle, and one tool
// service for all its tools.
func (c *Cluster) startStandIns() error {
	var err error
	c.PlatformURL, err = c.serve(platform.New(platform.Options{}).Handler())
	if err != nil {
		return err
	}
	c.addresses.Engines = make(map[string]string)
	for _, described := range c.bundle.Engines {
		c.addresses.Engines[described.Name], err = c.startEngine(described)
		if err != nil {
			return err
		}
	}
	toolURL, err := c.serve(tool.New(tool.Options{Name: "tools", Delay: toolDelay}).Handler())
	if err != nil {
		return err
	}
	c.addresses.Tools = make(map[string]string)
	for _, described := range c.bundle.Tools {
		c.addresses.Tools[described.Name] = toolURL
	}
	return nil
}

func (c *Cluster) startEngine(described bundle.Engine) (string, error) {
	standIn := engine.New(engine.Options{
		Name:        described.Name,
		Zone:        described.Zone,
		Models:      described.Models,
		MaxModels:   described.MaxModels,
		MaxRunning:  engineMaxRunning,
		CacheTokens: engineCacheTokens,
		PrefillRate: enginePrefillRate,
		DecodeRate:  engineDecodeRate,
	})
	c.engines = append(c.engines, standIn)
	return c.serve(standIn.Handler())
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

// startNode starts the next node, which joins by those started before it.
func (c *Cluster) startNode(ctx context.Context) error {
	index := len(c.running)
	chosen := settings.Settings{
		Name:            fmt.Sprintf("node-%d", index+1),
		Cell:            c.bundle.Cells[0].Name,
		Zone:            c.bundle.Zones[index%len(c.bundle.Zones)].Name,
		CallerAddress:   loopbackAnyPort,
		OperatorAddress: loopbackAnyPort,
		PeerAddress:     loopbackAnyPort,
		Seeds:           slices.Clone(c.addresses.Seeds),
		PlatformURL:     c.PlatformURL,
		ClusterKey:      clusterKey,
	}
	created, err := node.New(chosen.WithDefaults(), node.Dependencies{Logger: c.options.Logger})
	if err != nil {
		return errors.Wrapf(err, "create %s", chosen.Name)
	}
	c.running = append(c.running, created)
	if err := created.Start(ctx); err != nil {
		return errors.Wrapf(err, "start %s", chosen.Name)
	}
	c.addresses.Seeds = append(c.addresses.Seeds, created.PeerAddress())
	c.Nodes = append(c.Nodes, Node{
		Name:        chosen.Name,
		Zone:        chosen.Zone,
		CallerURL:   created.CallerURL(),
		OperatorURL: created.OperatorURL(),
	})
	return nil
}

// submitBundle points the bundle at the cluster, signs it and submits it to
// the first node, which takes the first bundle without a key.
func (c *Cluster) submitBundle(ctx context.Context) error {
	Relocate(c.bundle, c.addresses)
	signed, err := Sign(c.bundle)
	if err != nil {
		return err
	}
	_, err = client.New(c.Nodes[0].OperatorURL, "").SubmitBundle(ctx, signed)
	return errors.Wrap(err, "submit bundle")
}

// engineReady is the state of an engine that takes calls.
const engineReady = "ready"

// readyPollInterval is how often a node is asked whether it is ready.
const readyPollInterval = 20 * time.Millisecond

// waitReady waits until every node serves callers and has heard of every
// engine, so that the first calls don't find a cluster still starting.
func (c *Cluster) waitReady(ctx context.Context) error {
	for _, started := range c.Nodes {
		for !isReady(ctx, started.OperatorURL) || !seesEngines(ctx, started.OperatorURL) {
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

// seesEngines reports whether the node would place calls on every engine.
func seesEngines(ctx context.Context, operatorURL string) bool {
	status, err := client.New(operatorURL, OperatorKey).Status(ctx)
	if err != nil {
		return false
	}
	return !slices.ContainsFunc(status.Engines, func(engine api.EngineStatus) bool { return engine.State != engineReady })
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

// Package devcluster runs a whole deployment in one process on loopback: the
// nodes, and stand-ins for the platform, the model engines and the tools of
// a bundle. The dev verb uses it.
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

// clusterKey is the secret that the nodes of a development deployment share.
const clusterKey = "development cluster key"

// loopbackAnyPort is a loopback address with a free port.
const loopbackAnyPort = "127.0.0.1:0"

// Sizes and speeds of the stand-ins: chosen small and fast enough for a demonstration.
const (
	engineMaxRunning  = 8
	engineCacheTokens = 65_536
	enginePrefillRate = 8_000 // tokens per second
	engineDecodeRate  = 200   // tokens per second of one stream
	toolDelay         = 50 * time.Millisecond
)

// Options sets up a Cluster.
type Options struct {
	Bundle []byte // YAML; must have the keys of examples/dev-bundle.yaml
	Nodes  int    // at least 1; distributed over the bundle's zones round-robin
	Logger *slog.Logger
}

// Node holds the addresses of one node of the cluster.
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

// Start starts a cluster and waits until each node serves callers, or ctx
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
	for _, engineConfig := range c.bundle.Engines {
		c.addresses.Engines[engineConfig.Name], err = c.startEngine(engineConfig)
		if err != nil {
			return err
		}
	}
	toolURL, err := c.serve(tool.New(tool.Options{Name: "tools", Delay: toolDelay}).Handler())
	if err != nil {
		return err
	}
	c.addresses.Tools = make(map[string]string)
	for _, toolConfig := range c.bundle.Tools {
		c.addresses.Tools[toolConfig.Name] = toolURL
	}
	return nil
}

func (c *Cluster) startEngine(engineConfig bundle.Engine) (string, error) {
	standIn := engine.New(engine.Options{
		Name:        engineConfig.Name,
		Zone:        engineConfig.Zone,
		Models:      engineConfig.Models,
		MaxModels:   engineConfig.MaxModels,
		MaxRunning:  engineMaxRunning,
		CacheTokens: engineCacheTokens,
		PrefillRate: enginePrefillRate,
		DecodeRate:  engineDecodeRate,
	})
	c.engines = append(c.engines, standIn)
	return c.serve(standIn.Handler())
}

// serve serves a stand-in's handler on loopback and returns its base URL.
func (c *Cluster) serve(handler http.Handler) (string, error) {
	server, err := command.Serve(loopbackAnyPort, handler)
	if err != nil {
		return "", err
	}
	c.servers = append(c.servers, server)
	return server.URL(), nil
}

// startNode starts the next node, with the nodes started before it as seeds.
func (c *Cluster) startNode(ctx context.Context) error {
	index := len(c.running)
	nodeSettings := settings.Settings{
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
	newNode, err := node.New(nodeSettings.WithDefaults(), node.Dependencies{Logger: c.options.Logger})
	if err != nil {
		return errors.Wrapf(err, "create %s", nodeSettings.Name)
	}
	c.running = append(c.running, newNode)
	if err := newNode.Start(ctx); err != nil {
		return errors.Wrapf(err, "start %s", nodeSettings.Name)
	}
	c.addresses.Seeds = append(c.addresses.Seeds, newNode.PeerAddress())
	c.Nodes = append(c.Nodes, Node{
		Name:        nodeSettings.Name,
		Zone:        nodeSettings.Zone,
		CallerURL:   newNode.CallerURL(),
		OperatorURL: newNode.OperatorURL(),
	})
	return nil
}

// submitBundle sets the cluster's addresses in the bundle, signs it and
// submits it to the first node, which accepts the first bundle without a key.
func (c *Cluster) submitBundle(ctx context.Context) error {
	Relocate(c.bundle, c.addresses)
	signed, err := Sign(c.bundle)
	if err != nil {
		return err
	}
	_, err = client.New(c.Nodes[0].OperatorURL, "").SubmitBundle(ctx, signed)
	return errors.Wrap(err, "submit bundle")
}

// engineReady is the state of an engine that accepts calls.
const engineReady = "ready"

// readyPollInterval is how often a node's readiness is polled.
const readyPollInterval = 20 * time.Millisecond

// waitReady waits until every node serves callers and lists every engine as
// ready, so that the first calls do not reach a cluster that is still starting.
func (c *Cluster) waitReady(ctx context.Context) error {
	for _, started := range c.Nodes {
		for !isReady(ctx, started.OperatorURL) || !allEnginesReady(ctx, started.OperatorURL) {
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

// allEnginesReady reports whether the node lists every engine as ready for calls.
func allEnginesReady(ctx context.Context, operatorURL string) bool {
	status, err := client.New(operatorURL, OperatorKey).Status(ctx)
	if err != nil {
		return false
	}
	return !slices.ContainsFunc(status.Engines, func(engine api.EngineStatus) bool { return engine.State != engineReady })
}

// Drain performs a planned stop of all nodes concurrently, so that requests in
// flight can end. The caller must call Close afterwards.
func (c *Cluster) Drain(ctx context.Context) error {
	var group errgroup.Group
	for _, running := range c.running {
		group.Go(func() error { return running.Drain(ctx) })
	}
	return group.Wait()
}

// Close stops everything immediately.
func (c *Cluster) Close() {
	for _, running := range c.running {
		running.Close()
	}
	for _, server := range c.servers {
		_ = server.Close() // its requests are aborted in any case
	}
	for _, standIn := range c.engines {
		standIn.Close()
	}
}

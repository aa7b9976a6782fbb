package tests

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sigs.k8s.io/yaml"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/examples"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/client"
	"github.com/pewtermill/pewtermill/internal/command/devcluster"
	"github.com/pewtermill/pewtermill/internal/settings"
)

// Host numbers and ports of a deployment's processes in its subnet.
const (
	platformHost = 1
	toolHost     = 2
	engineHost   = 11 // and the numbers after it
	nodeHost     = 51 // and the numbers after it

	standInPort  = 7000
	callerPort   = 7100
	operatorPort = 7200
	peerPort     = 7300
)

// size says how many processes of each kind a deployment has.
type size struct {
	engines, nodes int
	cells          int                    // nodes and engines are placed in them in turn; 0 means 1
	embedded       bool                   // nodes are values in the test's process, so that links can be cut
	change         func(b *bundle.Bundle) // of the first bundle; may be nil
}

// nodeProcess is one node: a process, or a value in the test's process.
type nodeProcess struct {
	*process
	*embeddedNode
	name        string
	cell        string
	callerURL   string
	operatorURL string
	peerAddress string
}

// deployment is a platform, engines, one tool service and nodes, each a
// process of its own, with a bundle in force.
type deployment struct {
	t           testing.TB
	subnet      subnet
	size        size
	bundle      *bundle.Bundle
	platform    *process
	platformURL string
	engines     []*process
	engineURLs  []string
	tool        *process
	toolURL     string

	mutex    sync.Mutex // guards nodes where callers run beside the test
	nodes    []*nodeProcess
	nextHost int // host number for the next node
}

// startDeployment starts everything, submits the bundle by the command line
// and waits until each node serves callers.
func startDeployment(t testing.TB, wanted size) *deployment {
	t.Helper()
	decoded, err := bundle.Decode(examples.DevBundle)
	if err != nil {
		t.Fatal(err)
	}
	decoded.Engines = decoded.Engines[:wanted.engines]
	d := &deployment{t: t, subnet: claimSubnet(t), size: wanted, bundle: decoded}
	d.makeCells()
	if wanted.change != nil {
		wanted.change(decoded)
	}
	d.startPlatform()
	for i := range decoded.Engines {
		d.startEngine(i)
	}
	d.startTool()
	for i := range wanted.nodes {
		d.nodes = append(d.nodes, d.startNode(i, wanted.nodes))
	}
	d.submitBundle()
	for _, node := range d.nodes {
		d.waitReady(node)
	}
	d.waitOwnersSettled()
	return d
}

// makeCells gives the bundle as many cells as are wanted, and places its
// engines in them in turn.
func (d *deployment) makeCells() {
	first := d.bundle.Cells[0]
	for len(d.bundle.Cells) < d.size.cells {
		next := first
		next.Name = fmt.Sprintf("%s-%d", first.Name, len(d.bundle.Cells)+1)
		d.bundle.Cells = append(d.bundle.Cells, next)
	}
	for index := range d.bundle.Engines {
		d.bundle.Engines[index].Cell = d.cellOf(index)
	}
}

// cellOf returns the cell of the node or engine of that index.
func (d *deployment) cellOf(index int) string {
	return d.bundle.Cells[index%len(d.bundle.Cells)].Name
}

// nodesIn returns the nodes of a cell.
func (d *deployment) nodesIn(cell string) []*nodeProcess {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var nodes []*nodeProcess
	for _, node := range d.nodes {
		if node.cell == cell {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// waitOwnersSettled waits until each node knows that all others of its cell
// take programs, so that owners don't change any more.
func (d *deployment) waitOwnersSettled() {
	d.t.Helper()
	for _, node := range d.nodes {
		waitUntil(d.t, node.name+" knows all nodes", func(ctx context.Context) bool {
			status, err := node.operator().Status(ctx)
			return err == nil && d.allServe(node.cell, status.Members)
		})
	}
}

// allServe reports whether each node of the cell is alive and has the bundle.
func (d *deployment) allServe(cell string, members []api.MemberStatus) bool {
	serving := 0
	for _, member := range members {
		if member.State == "alive" && member.BundleVersion == d.bundle.Version {
			serving++
		}
	}
	return serving == len(d.nodesIn(cell))
}

func (d *deployment) startPlatform() {
	address := d.subnet.address(platformHost, standInPort)
	d.platformURL = "http://" + address
	d.platform = startProcess(d.t, "platform", labBinary, "platform", "--listen", address)
	d.waitAnswers(d.platformURL + "/stats")
}

// startEngine starts the stand-in of the bundle's engine of that index.
func (d *deployment) startEngine(index int) {
	address := d.subnet.address(engineHost+index, standInPort)
	d.engines = append(d.engines, d.runEngine(index, address))
	d.engineURLs = append(d.engineURLs, "http://"+address)
	d.waitAnswers("http://" + address + "/load")
}

func (d *deployment) runEngine(index int, address string) *process {
	described := d.bundle.Engines[index]
	return startProcess(d.t, described.Name, labBinary, "engine",
		"--listen", address, "--platform", d.platformURL,
		"--name", described.Name, "--zone", described.Zone, "--model", strings.Join(described.Models, ","))
}

// restartEngine starts an engine that was killed once more.
func (d *deployment) restartEngine(index int) {
	address := strings.TrimPrefix(d.engineURLs[index], "http://")
	d.engines[index] = d.runEngine(index, address)
	d.waitAnswers(d.engineURLs[index] + "/load")
}

func (d *deployment) startTool() {
	address := d.subnet.address(toolHost, standInPort)
	d.toolURL = "http://" + address
	d.tool = startProcess(d.t, "tool", labBinary, "tool",
		"--listen", address, "--platform", d.platformURL, "--name", "tools", "--zone", d.bundle.Tools[0].Zone)
	d.waitAnswers(d.toolURL + "/log")
}

// startNode starts the node of that index; count is how many there are to be.
func (d *deployment) startNode(index, count int) *nodeProcess {
	d.nextHost = count
	return d.runNode(fmt.Sprintf("node-%d", index+1), index, nodeHost+index, d.firstSeeds(index, count))
}

// replaceNode starts a node on a fresh address in place of another, which the
// test has stopped or is to stop, and waits until it serves callers. It joins
// by the nodes that are there.
func (d *deployment) replaceNode(index int, name string) {
	d.t.Helper()
	fresh := d.runNode(name, index, nodeHost+d.nextHost, d.seeds(d.cellOf(index)))
	d.nextHost++
	d.waitReady(fresh)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nodes[index] = fresh
}

func (d *deployment) runNode(name string, index, host int, seeds []string) *nodeProcess {
	chosen := settings.Settings{
		Name:            name,
		Cell:            d.cellOf(index),
		Zone:            d.bundle.Zones[index%len(d.bundle.Zones)].Name,
		CallerAddress:   d.subnet.address(host, callerPort),
		OperatorAddress: d.subnet.address(host, operatorPort),
		PeerAddress:     d.subnet.address(host, peerPort),
		Seeds:           seeds,
		PlatformURL:     d.platformURL,
		ClusterKey:      "key of the test deployment",
		DrainTimeout:    30 * time.Second,
	}
	started := &nodeProcess{
		name:        name,
		cell:        chosen.Cell,
		callerURL:   "http://" + chosen.CallerAddress,
		operatorURL: "http://" + chosen.OperatorAddress,
		peerAddress: chosen.PeerAddress,
	}
	if d.size.embedded {
		started.embeddedNode = startEmbedded(d.t, chosen)
	} else {
		started.process = startProcess(d.t, name, pewtermillBinary, nodeArguments(chosen)...)
	}
	return started
}

func nodeArguments(chosen settings.Settings) []string {
	return []string{"node",
		"--name", chosen.Name,
		"--cell", chosen.Cell,
		"--zone", chosen.Zone,
		"--caller-address", chosen.CallerAddress,
		"--operator-address", chosen.OperatorAddress,
		"--peer-address", chosen.PeerAddress,
		"--seed", strings.Join(chosen.Seeds, ","),
		"--platform-url", chosen.PlatformURL,
		"--cluster-key", chosen.ClusterKey,
		"--drain-timeout", chosen.DrainTimeout.String(),
	}
}

// firstSeeds are the addresses that the first nodes of the index's cell are
// going to have.
func (d *deployment) firstSeeds(index, count int) []string {
	var seeds []string
	for i := range count {
		if d.cellOf(i) == d.cellOf(index) {
			seeds = append(seeds, d.subnet.address(nodeHost+i, peerPort))
		}
	}
	return seeds
}

// seeds are the peer addresses of a cell's nodes.
func (d *deployment) seeds(cell string) []string {
	var seeds []string
	for _, node := range d.nodesIn(cell) {
		seeds = append(seeds, node.peerAddress)
	}
	return seeds
}

// submitBundle points the bundle at the stand-ins, then signs and submits it
// as an operator does.
func (d *deployment) submitBundle() {
	addresses := devcluster.Addresses{
		Engines: map[string]string{},
		Tools:   map[string]string{},
	}
	for i, described := range d.bundle.Engines {
		addresses.Engines[described.Name] = d.engineURLs[i]
	}
	for _, described := range d.bundle.Tools {
		addresses.Tools[described.Name] = d.toolURL
	}
	devcluster.Relocate(d.bundle, addresses)
	for i := range d.bundle.Cells {
		d.bundle.Cells[i].Seeds = d.seeds(d.bundle.Cells[i].Name)
	}
	source, err := yaml.Marshal(d.bundle)
	if err != nil {
		d.t.Fatal(err)
	}
	d.waitAnswers(d.nodes[0].operatorURL + "/livez")
	bundleFile := writeTemporary(d.t, "bundle.yaml", source)
	key := runCommand(d.t, labBinary, "reviewer-key", devcluster.ReviewerName)
	keyFile := writeTemporary(d.t, "reviewer.pem", []byte(key))
	signOffFile := bundleFile + ".sig"
	runCommand(d.t, pewtermillBinary, "bundle", "sign", bundleFile,
		"--reviewer", devcluster.ReviewerName, "--key-file", keyFile, "--out", signOffFile)
	runCommand(d.t, pewtermillBinary, "bundle", "submit", bundleFile,
		"--sign-off", signOffFile, "--node", d.nodes[0].operatorURL)
}

func (d *deployment) waitAnswers(url string) {
	d.t.Helper()
	waitUntil(d.t, url+" answers", func(ctx context.Context) bool { return answers(ctx, url) })
}

func (d *deployment) waitReady(node *nodeProcess) { d.waitAnswers(node.operatorURL + "/readyz") }

// ownerAndOther returns the program's owner, and a node that is not.
func (d *deployment) ownerAndOther(program string) (owner, other *nodeProcess) {
	d.t.Helper()
	current, err := d.nodes[0].caller().Program(d.t.Context(), program)
	if err != nil {
		d.t.Fatal(err)
	}
	for _, node := range d.nodes {
		if node.name == current.Owner {
			return node, d.other(node.name)
		}
	}
	d.t.Fatalf("no node is named %q", current.Owner)
	return nil, nil
}

// other returns a node that is not the named one.
func (d *deployment) other(name string) *nodeProcess {
	d.t.Helper()
	for _, node := range d.nodes {
		if node.name != name {
			return node
		}
	}
	d.t.Fatalf("no node but %q", name)
	return nil
}

// neighbour returns another node of the named node's cell.
func (d *deployment) neighbour(name string) *nodeProcess {
	d.t.Helper()
	for _, cell := range d.bundle.Cells {
		nodes := d.nodesIn(cell.Name)
		named := slices.IndexFunc(nodes, func(node *nodeProcess) bool { return node.name == name })
		if named >= 0 && len(nodes) > 1 {
			return nodes[(named+1)%len(nodes)]
		}
	}
	d.t.Fatalf("%q has no neighbour", name)
	return nil
}

// caller returns a tenant's client of a node.
func (n *nodeProcess) caller() *client.Client { return client.New(n.callerURL, devcluster.TenantKey) }

// operator returns an operator's client of a node.
func (n *nodeProcess) operator() *client.Client {
	return client.New(n.operatorURL, devcluster.OperatorKey)
}

// stopAll stops everything as planned: nodes first, the platform last.
func (d *deployment) stopAll() {
	d.t.Helper()
	for _, node := range d.nodes {
		node.stop()
	}
	for _, engine := range d.engines {
		engine.stop()
	}
	d.tool.stop()
	d.platform.stop()
}

// writeTemporary writes a file that the test's end removes.
func writeTemporary(t testing.TB, name string, content []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

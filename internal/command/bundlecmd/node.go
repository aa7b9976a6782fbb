package bundlecmd

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
)

// Paths of the operators' HTTP API that the verbs use.
const (
	submitPath = "/v1/operator/bundle"
	statusPath = "/v1/operator/bundle/status"
)

// maxAnswerBytes limits how much of a node's response is read.
const maxAnswerBytes = 16 << 20

// Node holds the flags that select a node; embed it in a verb.
type Node struct {
	Node    string        `help:"Base URL of any node's operator address." env:"PEWTERMILL_NODE" default:"http://127.0.0.1:7201" placeholder:"URL"`
	Key     string        `help:"Operator's key; none is needed for the first bundle." env:"PEWTERMILL_KEY" placeholder:"KEY"`
	Timeout time.Duration `help:"How long to wait for the node." default:"30s"`
}

// do sends one request and decodes the JSON of a 2xx response into answer.
func (n *Node) do(method, path string, body []byte, answer any) error {
	target := strings.TrimSuffix(n.Node, "/") + path
	request, err := http.NewRequest(method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "node URL")
	}
	request.Header.Set("Content-Type", "application/json")
	if n.Key != "" {
		request.Header.Set("Authorization", "Bearer "+n.Key)
	}
	client := &http.Client{Timeout: n.Timeout}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "request to the node")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read the node's response")
	}
	if response.StatusCode/100 != 2 {
		return refusal(response.Status, content)
	}
	return errors.Wrap(json.Unmarshal(content, answer), "decode the node's response")
}

// refusal decodes RFC 9457 problem JSON into an *api.Error. For any other
// content it returns an error with the HTTP status.
func refusal(status string, content []byte) error {
	var problem api.Problem
	if err := json.Unmarshal(content, &problem); err != nil || problem.Code == api.OK {
		return errors.Newf("node answered %s", status)
	}
	refused := &api.Error{
		Code:       problem.Code,
		Detail:     problem.Detail,
		Execution:  problem.Execution,
		RetryAfter: time.Duration(problem.RetryAfterSeconds * float64(time.Second)),
	}
	if refused.Code == api.BundleInvalid {
		return &invalidError{refusal: refused}
	}
	return refused
}

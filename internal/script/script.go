// Package script describes an agent program as a fixed list of steps, and
// runs it against a node as an agent would: the calls run in order, with
// sub-agents, and each step can use the answers of earlier ones. Scripts
// serve demonstrations and tests.
package script

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"sigs.k8s.io/yaml"

	"github.com/pewtermill/pewtermill/api"
)

// Script is one agent program, decoded from YAML.
type Script struct {
	Name  string `json:"name"`
	Key   string `json:"key"` // the tenant's key
	Agent        // the root program
}

// Agent is one program: the root, or a sub-agent.
type Agent struct {
	Class  string      `json:"class"`
	Budget api.Credits `json:"budget"` // a sub-agent's is taken from its parent's
	Steps  []Step      `json:"steps"`
}

// Step is one step of an agent; exactly one of Model, Tool and SubAgent is
// set. Texts may contain {{answer N}}, the answer of the same agent's step N,
// counted from 1, and in a sub-agent {{parent answer N}}, the answer of its
// parent's step N. The answer of a sub-agent is that of its last step.
type Step struct {
	Name     string     `json:"name"`
	Model    *ModelCall `json:"model,omitempty"`
	Tool     *ToolCall  `json:"tool,omitempty"`
	SubAgent *Agent     `json:"sub_agent,omitempty"`
}

// ModelCall calls a model.
type ModelCall struct {
	Target    string        `json:"target"`
	MaxTokens int64         `json:"max_tokens,omitempty"`
	Messages  []api.Message `json:"messages"` // messages since the agent's last model call
}

// ToolCall calls a tool.
type ToolCall struct {
	Target     string          `json:"target"`
	Repeatable bool            `json:"repeatable,omitempty"`
	Input      json.RawMessage `json:"input"`
}

// answerPattern matches {{answer N}} and {{parent answer N}}.
var answerPattern = regexp.MustCompile(`\{\{\s*(parent )?answer (\d+)\s*\}\}`)

// Decode decodes a YAML script, rejects unknown fields, and checks that each
// step is of one kind and refers only to answers that exist when it runs.
func Decode(source []byte) (*Script, error) {
	var decoded Script
	if err := yaml.UnmarshalStrict(source, &decoded); err != nil {
		return nil, errors.Wrap(err, "decode script")
	}
	if decoded.Key == "" || decoded.Class == "" {
		return nil, errors.New("script needs key and class")
	}
	if err := checkAgent(&decoded.Agent, 0, "steps"); err != nil {
		return nil, err
	}
	return &decoded, nil
}

// checkAgent checks an agent whose parent has parentAnswers answers when the agent starts.
func checkAgent(agent *Agent, parentAnswers int, path string) error {
	if len(agent.Steps) == 0 {
		return errors.Newf("%s: agent needs at least one step", path)
	}
	for i, step := range agent.Steps {
		stepPath := fmt.Sprintf("%s[%d]", path, i)
		if err := checkStep(step, i, parentAnswers, stepPath); err != nil {
			return err
		}
	}
	return nil
}

func checkStep(step Step, answers, parentAnswers int, path string) error {
	kinds := 0
	var texts []string
	if step.Model != nil {
		kinds++
		for _, message := range step.Model.Messages {
			texts = append(texts, message.Content)
		}
	}
	if step.Tool != nil {
		kinds++
		texts = append(texts, string(step.Tool.Input))
	}
	if step.SubAgent != nil {
		kinds++
	}
	if kinds != 1 {
		return errors.Newf("%s: step needs exactly one of model, tool and sub_agent, has %d", path, kinds)
	}
	for _, text := range texts {
		if err := checkReferences(text, answers, parentAnswers, path); err != nil {
			return err
		}
	}
	if step.SubAgent != nil {
		return checkAgent(step.SubAgent, answers, path+".sub_agent.steps")
	}
	return nil
}

func checkReferences(text string, answers, parentAnswers int, path string) error {
	for _, match := range answerPattern.FindAllStringSubmatch(text, -1) {
		available := answers
		if match[1] != "" {
			available = parentAnswers
		}
		number, err := strconv.Atoi(match[2])
		if err != nil || number < 1 || number > available {
			return errors.Newf("%s: %s refers to an answer that does not exist when the step runs", path, match[0])
		}
	}
	return nil
}

// answers holds the answers that an agent's next step can use, by step.
type answers struct {
	own    []string
	parent []string
}

// substitute replaces each reference in text by its answer, encoded by encode.
// Decode has checked the references.
func (a answers) substitute(text string, encode func(string) string) string {
	return answerPattern.ReplaceAllStringFunc(text, func(reference string) string {
		match := answerPattern.FindStringSubmatch(reference)
		number, err := strconv.Atoi(match[2])
		if err != nil {
			return reference
		}
		if match[1] != "" {
			return encode(a.parent[number-1])
		}
		return encode(a.own[number-1])
	})
}

// verbatim returns the answer unchanged.
func verbatim(answer string) string { return answer }

// insideJSONString escapes an answer for use within a JSON string.
func insideJSONString(answer string) string {
	quoted, err := json.Marshal(answer)
	if err != nil {
		return ""
	}
	return strings.TrimSuffix(strings.TrimPrefix(string(quoted), `"`), `"`)
}

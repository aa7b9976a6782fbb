package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"unicode/utf8"
)

// Limits of a request's content, in addition to the bundle's limits.
const (
	MaxJSONDepth      = 32
	MaxNameBytes      = 128                           // class, target
	MaxProgramIDBytes = 256                           // deep sub-agents have long ids
	MaxMessages       = 4096                          // in one call
	MaxTokensPerCall  = int64(1) << 31                // prevents overflow of cost sums
	MaxDeadlineMillis = int64(366 * 24 * 3600 * 1000) // one year
	MaxBudget         = Credits(1) << 53              // exact in every JSON implementation
)

// maxDetailBytes limits a decoder's message in a problem.
const maxDetailBytes = 256

// Roles of messages.
const (
	RoleSystem    = "system"
	RoleUser      = "user"
	RoleAssistant = "assistant"
	RoleTool      = "tool"
)

// DecodeCallRequest decodes and validates the body of a call.
func DecodeCallRequest(body []byte) (CallRequest, *Error) {
	var request CallRequest
	if problem := DecodeStrict(body, &request); problem != nil {
		return CallRequest{}, problem
	}
	if problem := request.Validate(); problem != nil {
		return CallRequest{}, problem
	}
	return request, nil
}

// DecodeCreateProgramRequest decodes and validates the body of a request that creates a program.
func DecodeCreateProgramRequest(body []byte) (CreateProgramRequest, *Error) {
	var request CreateProgramRequest
	if problem := DecodeStrict(body, &request); problem != nil {
		return CreateProgramRequest{}, problem
	}
	if problem := request.Validate(); problem != nil {
		return CreateProgramRequest{}, problem
	}
	return request, nil
}

// DecodeStrict decodes exactly one JSON value of bounded depth and valid
// UTF-8 into target. An unknown field is an error that names it. Errors are
// MalformedRequest.
func DecodeStrict(body []byte, target any) *Error {
	if !utf8.Valid(body) {
		return Errorf(MalformedRequest, "the body is not valid UTF-8")
	}
	if jsonDepth(body) > MaxJSONDepth {
		return Errorf(MalformedRequest, "the body is nested deeper than %d levels", MaxJSONDepth)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return Errorf(MalformedRequest, "%s", decodeDetail(err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Errorf(MalformedRequest, "the body holds more than one JSON value")
	}
	return nil
}

// decodeDetail returns a decoder's message, truncated because it may quote the body.
func decodeDetail(err error) string {
	if errors.Is(err, io.EOF) {
		return "the body is empty"
	}
	detail := strings.TrimPrefix(err.Error(), "json: ")
	if len(detail) > maxDetailBytes {
		detail = strings.ToValidUTF8(detail[:maxDetailBytes], "") + "..."
	}
	return detail
}

// jsonDepth returns the deepest nesting of arrays and objects. For text that is not JSON it returns an arbitrary number;
// the decoder rejects the text afterwards.
func jsonDepth(body []byte) int {
	depth, deepest := 0, 0
	inString, escaped := false, false
	for _, character := range body {
		switch {
		case escaped:
			escaped = false
		case inString && character == '\\':
			escaped = true
		case character == '"':
			inString = !inString
		case inString:
		case character == '{' || character == '[':
			depth++
			deepest = max(deepest, depth)
		case character == '}' || character == ']':
			depth--
		}
	}
	return deepest
}

// Validate checks everything that can be checked without the configuration.
func (r *CreateProgramRequest) Validate() *Error {
	if problem := validateName("class", r.Class); problem != nil {
		return problem
	}
	if r.Budget < 0 || r.Budget > MaxBudget {
		return Errorf(MalformedRequest, "budget must be between 0 and %d", MaxBudget)
	}
	if r.Parent != "" && !ValidProgramID(r.Parent) {
		return Errorf(ProgramNotFound, "")
	}
	return validateDeadline(r.DeadlineMillis)
}

// Validate checks everything that can be checked without the configuration.
func (r *CallRequest) Validate() *Error {
	if problem := validateName("target", r.Target); problem != nil {
		return problem
	}
	if problem := validateDeadline(r.DeadlineMillis); problem != nil {
		return problem
	}
	switch r.Kind {
	case KindModel:
		return r.validateModel()
	case KindTool:
		return r.validateTool()
	}
	return Errorf(MalformedRequest, "kind must be %q or %q", KindModel, KindTool)
}

func (r *CallRequest) validateModel() *Error {
	if len(r.Input) > 0 {
		return Errorf(MalformedRequest, "input belongs to tool calls; a model call has messages")
	}
	if r.MaxTokens < 0 || r.MaxTokens > MaxTokensPerCall {
		return Errorf(MalformedRequest, "max_tokens must be between 0 and %d", MaxTokensPerCall)
	}
	if len(r.Messages) == 0 || len(r.Messages) > MaxMessages {
		return Errorf(MalformedRequest, "a model call has between 1 and %d messages", MaxMessages)
	}
	for index, message := range r.Messages {
		if !validRole(message.Role) {
			return Errorf(MalformedRequest, "messages[%d].role must be system, user, assistant or tool", index)
		}
		if message.Content == "" {
			return Errorf(MalformedRequest, "messages[%d].content is empty", index)
		}
	}
	return nil
}

func (r *CallRequest) validateTool() *Error {
	if len(r.Messages) > 0 {
		return Errorf(MalformedRequest, "messages belong to model calls; a tool call has input")
	}
	if r.MaxTokens != 0 {
		return Errorf(MalformedRequest, "max_tokens belongs to model calls")
	}
	return nil
}

func validRole(role string) bool {
	switch role {
	case RoleSystem, RoleUser, RoleAssistant, RoleTool:
		return true
	}
	return false
}

func validateName(field, name string) *Error {
	if name == "" || len(name) > MaxNameBytes {
		return Errorf(MalformedRequest, "%s must have between 1 and %d bytes", field, MaxNameBytes)
	}
	return nil
}

func validateDeadline(millis int64) *Error {
	if millis < 0 || millis > MaxDeadlineMillis {
		return Errorf(MalformedRequest, "deadline_ms must be between 0 and %d", MaxDeadlineMillis)
	}
	return nil
}

// ValidProgramID reports whether the text is a valid program id: of limited length, and only of letters, digits,
// hyphens, underscores and dots, so that it is safe as part of a table key.
func ValidProgramID(id string) bool {
	if id == "" || len(id) > MaxProgramIDBytes {
		return false
	}
	for _, character := range []byte(id) {
		if !validIDCharacter(character) {
			return false
		}
	}
	return true
}

func validIDCharacter(character byte) bool {
	switch {
	case character >= 'a' && character <= 'z', character >= 'A' && character <= 'Z':
		return true
	case character >= '0' && character <= '9':
		return true
	}
	return character == '-' || character == '_' || character == '.'
}

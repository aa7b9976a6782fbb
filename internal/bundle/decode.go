package bundle

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	yamlv2 "go.yaml.in/yaml/v2"
	"sigs.k8s.io/yaml"
)

// MaxSourceBytes is the maximum size of a source that Decode accepts.
const MaxSourceBytes = 16 << 20

// Errors of Decode that do not come from the YAML library.
var (
	ErrSourceTooLarge    = errors.Newf("bundle source is over %d bytes", MaxSourceBytes)
	ErrSourceEmpty       = errors.New("bundle source holds no document")
	ErrMultipleDocuments = errors.New("bundle source holds more than one document")
)

// Decode decodes one bundle from YAML, or from JSON, which is a subset of it. It is strict: an unknown or
// repeated field, a value of the wrong type, a fraction in place of an integer, and a second document are
// errors that name the line and the field. It applies no defaults and does not validate the content.
func Decode(source []byte) (*Bundle, error) {
	if len(source) > MaxSourceBytes {
		return nil, ErrSourceTooLarge
	}
	if decoded, ok := decodeCanonical(source); ok {
		return decoded, nil
	}
	decoded := &Bundle{}
	decoder := yamlv2.NewDecoder(bytes.NewReader(source))
	decoder.SetStrict(true)
	if err := decoder.Decode(decoded); err != nil {
		return nil, describeDecodeError(err)
	}
	if err := decoder.Decode(&struct{}{}); !errors.Is(err, io.EOF) {
		return nil, ErrMultipleDocuments
	}
	if err := checkNumbers(source); err != nil {
		return nil, err
	}
	return decoded, nil
}

// decodeCanonical decodes canonical JSON, which is what nodes send to each other, at a small fraction of
// the cost of YAML. It returns false for any other source: a source that does not encode to the same bytes
// again was not canonical, or not valid under strict decoding.
func decodeCanonical(source []byte) (*Bundle, bool) {
	if len(source) == 0 || source[0] != '{' {
		return nil, false
	}
	decoded := &Bundle{}
	if err := json.Unmarshal(source, decoded); err != nil {
		return nil, false
	}
	canonical, err := CanonicalSource(decoded)
	return decoded, err == nil && bytes.Equal(canonical, source)
}

// checkNumbers finds what the YAML decoder accepts without an error: it truncates fractions in integer
// fields, and reads infinities. JSON allows neither.
func checkNumbers(source []byte) error {
	var discarded Bundle
	err := yaml.UnmarshalStrict(source, &discarded)
	return errors.Wrap(err, "decode bundle")
}

// describeDecodeError rewords the library's error in terms of the schema.
func describeDecodeError(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrSourceEmpty
	}
	var typeError *yamlv2.TypeError
	if !errors.As(err, &typeError) {
		return errors.Wrap(err, "decode bundle")
	}
	lines := make([]string, 0, len(typeError.Errors))
	for _, line := range typeError.Errors {
		lines = append(lines, describeFieldError(line))
	}
	return errors.Newf("decode bundle: %s", strings.Join(lines, "; "))
}

// describeFieldError rewrites "line 3: field x not found in type bundle.T".
func describeFieldError(line string) string {
	position, unknown, found := strings.Cut(line, ": field ")
	if !found {
		return line
	}
	field, typeName, found := strings.Cut(unknown, " not found in type bundle.")
	if !found {
		return line
	}
	return position + ": unknown field \"" + field + "\" in " + strings.ToLower(typeName)
}

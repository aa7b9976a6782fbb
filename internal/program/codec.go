package program

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// storedCall is the stored form of a CallRow. A tool's result is stored
// separately as bytes, because JSON would reformat it inside the row, and a
// replayed result must equal the first one, and match its digest, byte for byte.
type storedCall struct {
	CallRow
	ToolResult []byte `json:"tool_result,omitempty"`
}

// EncodeHeader returns the header's stored form.
func EncodeHeader(h Header) []byte { return encode(h) }

// DecodeHeader decodes the output of EncodeHeader. It fails if content is not
// JSON or lacks an id, an epoch or a next sequence number.
func DecodeHeader(content []byte) (Header, error) {
	var h Header
	if err := json.Unmarshal(content, &h); err != nil {
		return Header{}, errors.Wrap(err, "decode program header")
	}
	if h.ID == "" || h.Epoch == 0 || h.NextSequence < 1 {
		return Header{}, errors.Newf("incomplete program header %q", h.ID)
	}
	return h, nil
}

// EncodeCall returns the row's stored form. The row is not changed.
func EncodeCall(row CallRow) []byte {
	stored := storedCall{CallRow: row}
	if row.Segment != nil {
		segment := *row.Segment
		stored.ToolResult = segment.Result.Result
		segment.Result.Result = nil
		stored.Segment = &segment
	}
	return encode(stored)
}

// DecodeCall decodes the output of EncodeCall. It fails if content is not
// JSON or lacks a program id or a sequence number.
func DecodeCall(content []byte) (CallRow, error) {
	var stored storedCall
	if err := json.Unmarshal(content, &stored); err != nil {
		return CallRow{}, errors.Wrap(err, "decode call row")
	}
	if stored.Program == "" || stored.Sequence < 1 {
		return CallRow{}, errors.Newf("incomplete call row %d of program %q", stored.Sequence, stored.Program)
	}
	if stored.Segment != nil {
		stored.Segment.Result.Result = stored.ToolResult
	}
	return stored.CallRow, nil
}

// encode marshals a value whose fields JSON can always represent.
func encode(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %T", value))
	}
	return content
}

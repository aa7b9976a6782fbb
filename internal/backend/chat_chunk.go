package backend

import (
	"bytes"
	"unicode/utf8"
)

// scanTextChunk reads an event of a chat stream that holds one chunk of text and nothing else, as
// almost every event does, at a fraction of the cost of encoding/json. Such an event has the fields
// id, object and offset and one choice with index and delta. It returns false for all other events,
// including those with numbers and strings in unusual forms.
func scanTextChunk(data []byte) (offset int64, text string, ok bool) {
	scanner := chunkScanner{rest: data}
	choices := 0
	for first := true; scanner.nextField(first); first = false {
		switch string(scanner.key) {
		case "id", "object":
			scanner.plainString()
		case "offset":
			offset = scanner.number()
		case "choices":
			text = scanner.choices()
			choices++
		default:
			scanner.failed = true
		}
	}
	return offset, text, !scanner.failed && choices == 1 && len(scanner.rest) == 0
}

// chunkScanner reads JSON without white space from the front of rest. After a failure it reads
// nothing more. Each method fails unless rest begins with what it reads, in the form that it supports.
type chunkScanner struct {
	rest   []byte
	key    []byte // key of the field that nextField found
	failed bool
}

// accept reads a literal.
func (s *chunkScanner) accept(literal string) {
	if s.failed || len(s.rest) < len(literal) || string(s.rest[:len(literal)]) != literal {
		s.failed = true
		return
	}
	s.rest = s.rest[len(literal):]
}

// nextField reads up to the value of an object's next field and returns true, or reads the end of the
// object and returns false.
func (s *chunkScanner) nextField(first bool) bool {
	if !first && !s.failed && len(s.rest) > 0 && s.rest[0] == '}' {
		s.rest = s.rest[1:]
		return false
	}
	if first {
		s.accept("{")
	} else {
		s.accept(",")
	}
	s.key = s.plainString()
	s.accept(":")
	return !s.failed
}

// choices reads an array of one choice and returns its text.
func (s *chunkScanner) choices() string {
	text := ""
	s.accept("[")
	for first := true; s.nextField(first); first = false {
		switch string(s.key) {
		case "index":
			s.number()
		case "delta":
			text = s.delta()
		default:
			s.failed = true
		}
	}
	s.accept("]")
	return text
}

// delta reads an object whose only field is the content.
func (s *chunkScanner) delta() string {
	s.accept(`{"content":`)
	content := s.text()
	s.accept("}")
	return content
}

// maxPlainDigits keeps numbers far from overflow.
const maxPlainDigits = 15

// number reads a decimal number without sign, fraction or leading zero.
func (s *chunkScanner) number() int64 {
	var value int64
	digits := 0
	for digits < len(s.rest) && s.rest[digits] >= '0' && s.rest[digits] <= '9' {
		value = value*10 + int64(s.rest[digits]-'0')
		digits++
		if digits > maxPlainDigits {
			break
		}
	}
	leadingZero := digits > 1 && s.rest[0] == '0'
	if s.failed || digits == 0 || digits > maxPlainDigits || leadingZero {
		s.failed = true
		return 0
	}
	s.rest = s.rest[digits:]
	return value
}

// plainString reads a string without escapes and returns it as a slice of the input.
func (s *chunkScanner) plainString() []byte {
	s.accept(`"`)
	end := bytes.IndexByte(s.rest, '"')
	if s.failed || end < 0 || !isPlain(s.rest[:end]) {
		s.failed = true
		return nil
	}
	plain := s.rest[:end]
	s.rest = s.rest[end+1:]
	return plain
}

// isPlain reports whether the text is UTF-8 without escapes or control
// characters.
func isPlain(text []byte) bool {
	for _, character := range text {
		if character < ' ' || character == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

// text reads a string, with the escapes that are common in text.
func (s *chunkScanner) text() string {
	if s.failed || len(s.rest) == 0 || s.rest[0] != '"' {
		s.failed = true
		return ""
	}
	end := bytes.IndexByte(s.rest[1:], '"') + 1
	if end > 0 && isPlain(s.rest[1:end]) {
		plain := string(s.rest[1:end])
		s.rest = s.rest[end+1:]
		return plain
	}
	return s.escapedText()
}

// escapedText reads a string that contains an escape.
func (s *chunkScanner) escapedText() string {
	var decoded []byte
	for at := 1; at < len(s.rest); at++ {
		character := s.rest[at]
		switch {
		case character == '"':
			s.rest = s.rest[at+1:]
			s.failed = s.failed || !utf8.Valid(decoded)
			return string(decoded)
		case character < ' ':
			s.failed = true
			return ""
		case character == '\\' && at+1 < len(s.rest):
			at++
			character = unescaped(s.rest[at])
			if character == 0 {
				s.failed = true
				return ""
			}
		}
		decoded = append(decoded, character)
	}
	s.failed = true
	return ""
}

// unescaped returns the character that a backslash and this character stand for, or 0 for the escapes
// that are left to encoding/json.
func unescaped(character byte) byte {
	switch character {
	case '"', '\\', '/':
		return character
	case 'n':
		return '\n'
	case 't':
		return '\t'
	case 'r':
		return '\r'
	}
	return 0
}

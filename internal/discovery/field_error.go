package discovery

import "fmt"

// Problem is what is wrong with a field of a record.
type Problem string

// Problems of fields.
const (
	Unreadable   Problem = "cannot be read"
	Missing      Problem = "is missing"
	WrongType    Problem = "is of another type"
	OutOfBounds  Problem = "is out of bounds"
	UnknownValue Problem = "is not a known value"
)

// FieldError reports which field of a record is invalid. Its text contains nothing that another
// writer wrote, so that it is short and safe to log.
type FieldError struct {
	Field   string // one of a fixed set
	Problem Problem
	Want    string // what it must be
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s %s: must be %s", e.Field, e.Problem, e.Want)
}

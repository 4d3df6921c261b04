package answers

import "errors"

// Reasons for refusing an answer.
const (
	Field  = "field"  // the name of a header or trailer is invalid
	Status = "status" // no answer has the status
	Unread = "unread" // the connection ended before the whole request was written
)

// Reasons returns all reasons for refusing an answer, for counters.
func Reasons() []string { return []string{Field, Status, Unread} }

// Reason returns why an answer was refused; empty for any other error.
func Reason(err error) string {
	switch {
	case errors.As(err, new(*FieldError)):
		return Field
	case errors.As(err, new(*StatusError)):
		return Status
	case errors.As(err, new(*UnreadError)):
		return Unread
	}
	return ""
}

package answers

import (
	"net/http"
	"strconv"
)

const (
	minStatus = http.StatusOK // those below announce an answer, or another protocol that nobody asked for
	maxStatus = 599           // RFC 9110, section 15
)

// StatusError is an answer with a status that no answer has.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return "answer with status " + strconv.Itoa(e.Status) + ", expected " + strconv.Itoa(minStatus) + " to " + strconv.Itoa(maxStatus)
}

// checkHead returns an error for an answer whose head is invalid.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}

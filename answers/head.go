package answers

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	minStatus = http.StatusOK // those below announce an answer, or another protocol that nobody asked for
	maxStatus = 599           // RFC 9110, section 15

	tokenMarks = "!#$%&'*+-.^_`|~" // of a token, besides digits and letters
)

// StatusError is an answer with a status that no answer has.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return "answer with status " + strconv.Itoa(e.Status) + ", expected " + strconv.Itoa(minStatus) + " to " + strconv.Itoa(maxStatus)
}

// FieldError is an answer with a field whose name is invalid, such as one with a blank.
type FieldError struct {
	Name    string
	Trailer bool
}

// Error implements error.
func (e *FieldError) Error() string {
	kind := "header"
	if e.Trailer {
		kind = "trailer"
	}
	return "answer with a " + kind + " named " + strconv.Quote(e.Name) + ", expected a token"
}

// checkHead returns an error for an answer whose head is invalid.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &StatusError{Status: resp.StatusCode}
	}
	return cmp.Or(checkNames(resp.Header, false), checkNames(resp.Trailer, true))
}

// checkNames returns an error for fields of which a name is invalid.
func checkNames(fields http.Header, trailer bool) error {
	for name := range fields {
		if !isToken(name) {
			return &FieldError{Name: name, Trailer: trailer}
		}
	}
	return nil
}

// isToken reports whether a name is a token (RFC 9110, section 5.6.2).
func isToken(name string) bool {
	return name != "" && strings.IndexFunc(name, func(c rune) bool {
		switch {
		case '0' <= c && c <= '9', 'A' <= c && c <= 'Z', 'a' <= c && c <= 'z':
			return false
		}
		return !strings.ContainsRune(tokenMarks, c)
	}) < 0
}

// trailerBody is the body of an answer whose trailers are checked at its end.
type trailerBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = cmp.Or(checkNames(b.resp.Trailer, true), err)
	}
	return n, err
}

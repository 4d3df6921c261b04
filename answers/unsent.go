package answers

import (
	"errors"
	"net/http/httptrace"
	"sync"
)

// UnsentError says that a call failed before any byte of its request was written, and that none will
// be.
type UnsentError struct {
	Connected bool // a connection had been opened
	Err       error
}

// Error implements error.
func (e *UnsentError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Unsent reports whether a call by a Transport failed before any byte of its request was written. The
// kind of any other error does not say so: a connection may have to open another one to go on.
func Unsent(err error) bool { return errors.As(err, new(*UnsentError)) }

// unsentWrite is implemented by errors of connections that tell whether a write sent anything.
type unsentWrite interface{ Unsent() bool }

// isUnsent reports whether the error of a write says that nothing was sent. Its causes are those of
// other calls.
func isUnsent(err error) bool {
	e, ok := err.(unsentWrite)
	return ok && e.Unsent()
}

// attempt is a request on a connection.
type attempt struct {
	conn    *Conn
	request int // its number on the connection
}

// attempts follows the connections on which a transport tries to send one request.
type attempts struct {
	mu     sync.Mutex
	conns  []attempt
	hidden bool // a connection is not known, as TLS wraps it
}

// trace returns hooks that record the connections.
func (a *attempts) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*Conn)
		a.mu.Lock()
		defer a.mu.Unlock()
		if !ok {
			a.hidden = true
			return
		}
		a.conns = append(a.conns, attempt{conn, conn.beginRequest()})
	}}
}

// failure returns the error of a call that failed.
func (a *attempts) failure(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	unsent := !a.hidden
	for _, tried := range a.conns {
		unsent = tried.conn.abandon(tried.request) && unsent
	}
	if !unsent {
		return err
	}
	return &UnsentError{Connected: len(a.conns) > 0, Err: err}
}

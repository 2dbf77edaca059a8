// Package fault builds errors that carry the step and the peer at which they
// arose.
package fault

import "github.com/rotisserie/eris"

// Error is an error with the place where it arose.
type Error struct {
	// Step is what was being done, for example "append".
	Step string
	// Peer is the address or name of the other side; empty when there is none.
	Peer string
	// Err is the cause; it is never nil.
	Err error
}

// Error returns "step (peer): cause".
func (e *Error) Error() string {
	if e.Peer == "" {
		return e.Step + ": " + e.Err.Error()
	}
	return e.Step + " (" + e.Peer + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// At wraps err with a step and a peer. It returns nil when err is nil.
func At(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// New makes an error with a step, a peer, a message and a stack trace.
func New(step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, Err: eris.Errorf(format, args...)}
}

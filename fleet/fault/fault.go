// Package fault creates errors that name the step that failed and the peer that was involved.
package fault

import "github.com/rotisserie/eris"

// Error is an error with the step and the peer at which it occurred.
type Error struct {
	// Step is the operation that failed, for example "append".
	Step string
	// Peer is the address or the name of the other side; empty if there is none.
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

// New returns an error with a step, a peer, a formatted message and a stack trace.
func New(step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, Err: eris.Errorf(format, args...)}
}

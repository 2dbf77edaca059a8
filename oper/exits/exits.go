// Package exits defines the exit codes of the command line.
package exits

import (
	"context"
	"errors"
	"net/http"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/record"
)

// The exit codes.
const (
	// OK means success.
	OK = 0
	// Failed means a failure without a code of its own.
	Failed = 1
	// Usage means invalid arguments, settings or input.
	Usage = 2
	// Refused means that an entry or the ledger refused a change or a question, that a request to a
	// target did not run, or that a watched wave was cancelled.
	Refused = 3
	// Unreachable means that no entry answered in time, that the entry could not reach the log, or
	// that the outcome of a request is unknown. A change may have taken effect.
	Unreachable = 4
	// NotPropagated means that a record was accepted but is not yet in force on every entry.
	NotPropagated = 5
	// CheckFailed means that the answer to a query with --check is no.
	CheckFailed = 6
)

// Error is an error with an exit code.
type Error struct {
	Code int
	Err  error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// With attaches an exit code to err. It returns nil if err is nil.
func With(code int, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: code, Err: err}
}

// Code returns the exit code for err: the attached code if there is one, otherwise a code chosen by
// the type of the error.
func Code(err error) int {
	var coded *Error
	var response *client.Error
	var problems record.Problems
	switch {
	case err == nil:
		return OK
	case errors.As(err, &coded):
		return coded.Code
	case errors.As(err, &response):
		if response.Status >= http.StatusInternalServerError {
			return Unreachable
		}
		if response.Status == http.StatusBadRequest {
			return Usage
		}
		return Refused
	case errors.As(err, &problems):
		return Usage
	case errors.Is(err, context.DeadlineExceeded):
		return Unreachable
	}
	return Failed
}

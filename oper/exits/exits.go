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
	// OK is success.
	OK = 0
	// Failed is any other failure.
	Failed = 1
	// Usage is a fault in the arguments or in the input.
	Usage = 2
	// Refused says that an entry or the fold refused what was asked.
	Refused = 3
	// Unreachable says that no entry, or the log, could be reached in time, so
	// it is not known whether a change took effect.
	Unreachable = 4
	// NotPropagated says that a record is accepted but not yet in force on every
	// entry.
	NotPropagated = 5
	// CheckFailed says that the answer to a question asked with --check is no.
	CheckFailed = 6
)

// Error is an error with an exit code.
type Error struct {
	Code int
	Err  error
}

// Error returns the cause's text.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// With gives an error an exit code.
func With(code int, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: code, Err: err}
}

// Code returns the exit code that fits an error.
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

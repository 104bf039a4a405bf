package ctl

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

// Exit codes. Scripts depend on them, so they don't change.
const (
	ExitOK = 0
	// ExitFailure means that nothing was changed: the entry rejected the request or
	// can't be reached, or the operator did not confirm.
	ExitFailure = 1
	// ExitUsage means that flags or arguments are wrong.
	ExitUsage = settings.ExitUsage
	// ExitInvalid means that declarations are wrong.
	ExitInvalid = 3
	// ExitConflict means that another operator's change came first.
	ExitConflict = 4
	// ExitBehind means that the change is made, but not yet in force in each process.
	ExitBehind = 5
	// ExitUnknown means that the change may have been made. It is safe to run the
	// same command again with the same change identifier.
	ExitUnknown = 6
	// ExitDifferent means that diff --check found differences.
	ExitDifferent = 7
)

// exitError is an error with its exit code.
type exitError struct {
	code    int
	message string
}

// Error returns the message for the operator.
func (e *exitError) Error() string { return e.message }

// exitf returns an error with an exit code and a formatted message.
func exitf(code int, format string, args ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, args...)}
}

// ExitCode prints an error for the operator and returns its exit code.
func ExitCode(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	var exit *exitError
	if errors.As(err, &exit) {
		fmt.Fprintln(w, exit.message)
		return exit.code
	}
	var invalid declaration.ValidationErrors
	if errors.As(err, &invalid) {
		fmt.Fprintln(w, invalid.Error())
		fmt.Fprintf(w, "%d faults, nothing was sent\n", len(invalid))
		return ExitInvalid
	}
	return settings.ExitCode(w, err)
}

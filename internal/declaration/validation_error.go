package declaration

import (
	"fmt"
	"slices"
	"strings"
)

// ValidationError is one validation error in a declaration.
type ValidationError struct {
	// File is the path below the root directory, empty for a document received
	// in a message.
	File string
	// Line is the line in File, counted from 1.
	Line int
	// Document is the document's key. It is empty if the error concerns a whole file
	// or directory, or a document in a file whose kind or name is invalid. The key of
	// a received document includes its name even if that is invalid. If a change
	// removes the last operator, Document is "operator/".
	Document Key
	// Field is the path of the field in the document, such as classes[0].tier.
	Field string
	// Value is the value as declared, empty when it is missing.
	Value string
	// Expected describes the values that the field accepts.
	Expected string
}

// String returns the error on one line.
func (e ValidationError) String() string {
	var b strings.Builder
	if e.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	}
	if e.Document != "" {
		fmt.Fprintf(&b, "%s: ", e.Document)
	}
	if e.Field != "" {
		fmt.Fprintf(&b, "%s: ", e.Field)
	}
	if e.Value == "" {
		b.WriteString("missing: ")
	} else {
		fmt.Fprintf(&b, "%q: ", e.Value)
	}
	b.WriteString(e.Expected)
	return b.String()
}

// ValidationErrors holds all validation errors of a check, sorted by file and line.
type ValidationErrors []ValidationError

// Error returns one line for each validation error.
func (e ValidationErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, validationError := range e {
		lines = append(lines, validationError.String())
	}
	return strings.Join(lines, "\n")
}

// err sorts the validation errors and returns them, or nil when there are none.
func (e ValidationErrors) err() error {
	if len(e) == 0 {
		return nil
	}
	slices.SortStableFunc(e, compareErrors)
	return e
}

func compareErrors(a, b ValidationError) int {
	if c := strings.Compare(a.File, b.File); c != 0 {
		return c
	}
	if a.Line != b.Line {
		return a.Line - b.Line
	}
	if c := strings.Compare(string(a.Document), string(b.Document)); c != 0 {
		return c
	}
	return strings.Compare(a.Field, b.Field)
}

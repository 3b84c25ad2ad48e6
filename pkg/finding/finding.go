// Package finding holds what is wrong with an input, so that all of it is reported together with its place.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one thing wrong at one place of an input.
type Finding struct {
	Place   string `json:"place"`             // File and line, or the name of the body.
	Key     string `json:"key"`               // Section and key, or the path of a field.
	Problem string `json:"problem"`           // What is wrong.
	Allowed string `json:"allowed,omitempty"` // What would be right.
}

// String returns the finding as one line: place: key: problem; allowed.
func (f Finding) String() string {
	text := f.Key + ": " + f.Problem
	if f.Place != "" {
		text = f.Place + ": " + text
	}
	if f.Allowed != "" {
		text += " (allowed: " + f.Allowed + ")"
	}
	return text
}

// List is a collection of findings that serves as an error when it is not empty.
type List []Finding

// Add appends one finding.
func (l *List) Add(place, key, allowed, problem string, args ...any) {
	*l = append(*l, Finding{Place: place, Key: key, Problem: fmt.Sprintf(problem, args...), Allowed: allowed})
}

// Error returns every finding on a line of its own.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil where it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

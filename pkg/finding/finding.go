// Package finding collects the problems of an input with their places, so that all are reported at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem at one place of an input.
type Finding struct {
	Place   string `json:"place"`             // File and line, or part of a request: "header" or "body".
	Key     string `json:"key"`               // Section and key, name of a header, or path of a field.
	Problem string `json:"problem"`           // What is wrong.
	Allowed string `json:"allowed,omitempty"` // Which values are allowed.
}

// String returns the finding as one line: "place: key: problem (allowed: values)".
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

// List is a list of findings. It implements error; use Err to get nil for an empty list.
type List []Finding

// Add appends a finding. The arguments args fill in the format string problem.
func (l *List) Add(place, key, allowed, problem string, args ...any) {
	*l = append(*l, Finding{Place: place, Key: key, Problem: fmt.Sprintf(problem, args...), Allowed: allowed})
}

// Error returns all findings, one on each line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if the list is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Package script reads test cases from text files and runs them.
package script

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// Case is one test case of a file.
type Case struct {
	Name  string
	Lines [][]string // Lines of the case, each split into words.
}

// Cases reads the test cases of a file. Each case begins with a line "case NAME".
// Empty lines and lines whose first word is # are skipped. A file that can't be read fails the test.
func Cases(t *testing.T, file string) []Case {
	f, err := os.Open(file)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer f.Close()
	var cases []Case
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		if words[0] == "case" {
			cases = append(cases, Case{Name: strings.Join(words[1:], " ")})
			continue
		}
		last := &cases[len(cases)-1]
		last.Lines = append(last.Lines, words)
	}
	quicktest.Assert(t, lines.Err(), quicktest.IsNil)
	return cases
}

// Run runs the case as a subtest. It calls step for each line, and fails the test at the first error.
func (c *Case) Run(t *testing.T, step func(words []string) error) {
	t.Run(c.Name, func(t *testing.T) {
		for _, words := range c.Lines {
			if err := step(words); err != nil {
				t.Fatalf("%s: %v", strings.Join(words, " "), err)
			}
		}
	})
}

// Package script reads the data files of tests.
package script

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// Case is a case of a test as its data file tells it: its lines, each as words.
type Case struct {
	Name  string
	Lines [][]string
}

// Cases reads a file of cases. Each begins with a line "case NAME"; empty lines, and those that begin with the word #, are left out.
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

// Run runs each case as a test of its own: step carries out a line.
func (c *Case) Run(t *testing.T, step func(words []string) error) {
	t.Run(c.Name, func(t *testing.T) {
		for _, words := range c.Lines {
			if err := step(words); err != nil {
				t.Fatalf("%s: %v", strings.Join(words, " "), err)
			}
		}
	})
}

// Package command parses the operators' query and command language, and filters the lists that answer it.
package command

import (
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"
)

// Command is one parsed command; exactly one of the pointers is set.
type Command struct {
	Show    *Show    `parser:"(  'show' @@"`
	Why     *Why     `parser:" | 'why' @@"`
	Grant   *Grant   `parser:" | 'grant' @@"`
	Reclaim *Reclaim `parser:" | 'reclaim' @@"`
	Revoke  *Revoke  `parser:" | 'revoke' @@"`
	Drain   *Target  `parser:" | 'drain' @@"`
	Undrain *Target  `parser:" | 'undrain' @@"`
	Cancel  *Cancel  `parser:" | 'cancel' @@ )"`
}

// Show lists things: show jobs where state = waiting order by age desc limit 5.
type Show struct {
	What    string      `parser:"@('jobs'|'requests'|'racks'|'workers'|'boxes'|'workspaces'|'upstreams'|'settings')"`
	Where   []Condition `parser:"('where' @@ ('and' @@)*)?"`
	OrderBy string      `parser:"('order' 'by' @(Word|String)"`
	Desc    bool        `parser:"(@'desc'|'asc')?)?"`
	Limit   int         `parser:"('limit' @Number)?"`
}

// Condition compares a column with a value.
type Condition struct {
	Column   string `parser:"@Word"`
	Operator string `parser:"@('='|'!='|'<='|'>='|'<'|'>'|'~')"`
	Value    string `parser:"@(Word|Number|Decimal|String|Duration)"`
}

// Why asks why a job is waiting.
type Why struct {
	Job string `parser:"@(Word|String|Number)"`
}

// Grant raises a workspace's limit of accelerators for a time.
type Grant struct {
	Workspace    string   `parser:"@(Word|String)"`
	Accelerators int      `parser:"@Number"`
	For          Duration `parser:"('for' @Duration)?"`
}

// Reclaim claims a workspace's whole guarantee for a time.
type Reclaim struct {
	Workspace string   `parser:"@(Word|String)"`
	For       Duration `parser:"('for' @Duration)?"`
}

// Revoke ends all grants and claims of a workspace.
type Revoke struct {
	Workspace string `parser:"@(Word|String)"`
}

// Target names a worker, rack, hall or upstream. Kind may be empty if the name is unique.
type Target struct {
	Kind string `parser:"@('worker'|'rack'|'hall'|'upstream')?"`
	Name string `parser:"@(Word|String)"`
}

// Cancel cancels one job, or all jobs that match the conditions.
type Cancel struct {
	Where []Condition `parser:"(  'where' @@ ('and' @@)*"`
	Job   string      `parser:" | @(Word|String|Number) )"`
}

// Duration is a length of time such as 30s, 10m or 2h.
type Duration time.Duration

// Capture implements participle.Capture.
func (d *Duration) Capture(values []string) error {
	parsed, err := time.ParseDuration(values[0])
	*d = Duration(parsed)
	return err
}

// Mistake is an error in the text of a command, with its position and what was expected there.
type Mistake struct {
	Column   int    `json:"column"` // Counted from 1.
	Problem  string `json:"problem"`
	Expected string `json:"expected,omitempty"`
}

// Error returns the position, the problem and what was expected, in one line.
func (m *Mistake) Error() string {
	text := fmt.Sprintf("command: column %d: %s", m.Column, m.Problem)
	if m.Expected != "" {
		text += " (expected: " + m.Expected + ")"
	}
	return text
}

var words = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"|'[^']*'`},
	{Name: "Duration", Pattern: `[0-9]+(\.[0-9]+)?(ms|s|m|h)\b`},
	{Name: "Decimal", Pattern: `[0-9]+\.[0-9]+\b`},
	{Name: "Number", Pattern: `[0-9]+\b`},
	{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_./#:-]*`},
	{Name: "Compare", Pattern: `!=|<=|>=|[=<>~]`},
	{Name: "space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Command](
	participle.Lexer(words),
	participle.Unquote("String"),
	participle.CaseInsensitive("Word"),
	participle.UseLookahead(2),
)

// Forms is the help text with the syntax of all commands.
const Forms = `show jobs|requests|racks|workers|boxes|workspaces|upstreams|settings
     [where COLUMN =|!=|<|>|<=|>=|~ VALUE [and ...]] [order by COLUMN [desc]] [limit N]
why JOB
grant WORKSPACE ACCELERATORS [for DURATION]
reclaim WORKSPACE [for DURATION]
revoke WORKSPACE
drain [worker|rack|hall|upstream] NAME
undrain [worker|rack|hall|upstream] NAME
cancel JOB | cancel where COLUMN = VALUE [and ...]
`

// verbs lists the words that can start a command.
const verbs = "show, why, grant, reclaim, revoke, drain, undrain or cancel"

// Parse parses one command. An error is always a *Mistake.
func Parse(text string) (*Command, error) {
	c, err := parser.ParseString("", strings.TrimSpace(text))
	if err == nil {
		return c, nil
	}
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		problem := fmt.Sprintf("%q is not expected here", unexpected.Unexpected.Value)
		if unexpected.Unexpected.EOF() {
			problem = "the command ends too early"
		}
		_, expected, _ := strings.Cut(unexpected.Error(), "expected ")
		expected = strings.TrimSuffix(expected, ")")
		if unexpected.Unexpected.Pos.Column == 1 {
			expected = verbs
		}
		return nil, &Mistake{Column: unexpected.Unexpected.Pos.Column, Problem: problem, Expected: expected}
	}
	var positioned participle.Error
	if errors.As(err, &positioned) {
		return nil, &Mistake{Column: positioned.Position().Column, Problem: positioned.Message()}
	}
	return nil, &Mistake{Column: 1, Problem: err.Error()}
}

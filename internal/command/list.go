package command

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// List is the answer to a command: rows of text under columns, or a sentence.
type List struct {
	Columns  []string   `json:"columns,omitempty"`
	Rows     [][]string `json:"rows,omitempty"`
	Text     string     `json:"text,omitempty"`
	Affected int        `json:"affected"` // Things that a command changed.
	Refused  bool       `json:"refused,omitempty"`
}

// Refuse returns an answer that says why a command was not carried out.
func Refuse(format string, args ...any) *List {
	return &List{Text: fmt.Sprintf(format, args...), Refused: true}
}

// Did returns an answer that says what a command did and to how many.
func Did(affected int, format string, args ...any) *List {
	return &List{Text: fmt.Sprintf(format, args...), Affected: affected}
}

// Check reports columns that conditions or the order name and the list does not have.
func (l *List) Check(where []Condition, orderBy string) error {
	for _, c := range where {
		if !slices.Contains(l.Columns, c.Column) {
			return l.unknown(c.Column)
		}
	}
	if orderBy != "" && !slices.Contains(l.Columns, orderBy) {
		return l.unknown(orderBy)
	}
	return nil
}

func (l *List) unknown(column string) error {
	return &Mistake{Column: 1, Problem: fmt.Sprintf("there is no column %q", column), Expected: strings.Join(l.Columns, ", ")}
}

// Apply keeps the rows that meet the conditions, orders them and cuts them to the limit.
func (l *List) Apply(s *Show) error {
	if err := l.Check(s.Where, s.OrderBy); err != nil {
		return err
	}
	l.Rows = slices.DeleteFunc(l.Rows, func(row []string) bool { return !l.Meets(row, s.Where) })
	if s.OrderBy != "" {
		i := slices.Index(l.Columns, s.OrderBy)
		slices.SortStableFunc(l.Rows, func(x, y []string) int {
			order := compareCells(x[i], y[i])
			if s.Desc {
				return -order
			}
			return order
		})
	}
	if s.Limit > 0 && len(l.Rows) > s.Limit {
		l.Rows = l.Rows[:s.Limit]
	}
	return nil
}

// Meets reports whether a row meets every condition.
func (l *List) Meets(row []string, where []Condition) bool {
	for _, c := range where {
		if !c.holds(row[slices.Index(l.Columns, c.Column)]) {
			return false
		}
	}
	return true
}

func (c Condition) holds(cell string) bool {
	order := compareCells(cell, c.Value)
	switch c.Operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case ">":
		return order > 0
	case "<=":
		return order <= 0
	case ">=":
		return order >= 0
	}
	return strings.Contains(cell, c.Value)
}

// compareCells compares as numbers where both are, else as text.
func compareCells(x, y string) int {
	a, errA := strconv.ParseFloat(x, 64)
	b, errB := strconv.ParseFloat(y, 64)
	if errA == nil && errB == nil {
		return cmp.Compare(a, b)
	}
	return cmp.Compare(x, y)
}

// String returns the list as a table of text.
func (l *List) String() string {
	if len(l.Columns) == 0 {
		return l.Text
	}
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(l.Columns, "\t"))
	for _, row := range l.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush() // A strings.Builder takes everything.
	return strings.TrimRight(text.String(), "\n")
}

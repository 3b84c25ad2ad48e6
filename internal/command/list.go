package command

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// List is the answer to a command: a table of text cells, or a sentence.
type List struct {
	Columns  []string   `json:"columns,omitempty"`
	Rows     [][]string `json:"rows,omitempty"`
	Text     string     `json:"text,omitempty"`
	Affected int        `json:"affected"` // Number of objects that the command changed.
	Refused  bool       `json:"refused,omitempty"`
}

// Refuse returns the answer to a command that is refused, with the reason.
func Refuse(format string, args ...any) *List {
	return &List{Text: fmt.Sprintf(format, args...), Refused: true}
}

// Did returns the answer to a command that was carried out, with the number of objects that it changed.
func Did(affected int, format string, args ...any) *List {
	return &List{Text: fmt.Sprintf(format, args...), Affected: affected}
}

// Check returns an error if the conditions or the sort order name a column that the list doesn't have.
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

// Apply filters the rows by the conditions, sorts them and truncates them to the limit.
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

// Meets reports whether a row matches every condition.
func (l *List) Meets(row []string, where []Condition) bool {
	for _, c := range where {
		if !c.matches(row[slices.Index(l.Columns, c.Column)]) {
			return false
		}
	}
	return true
}

func (c Condition) matches(cell string) bool {
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

// compareCells compares two cells as numbers if both are numbers, and as text otherwise.
func compareCells(x, y string) int {
	a, errA := strconv.ParseFloat(x, 64)
	b, errB := strconv.ParseFloat(y, 64)
	if errA == nil && errB == nil {
		return cmp.Compare(a, b)
	}
	return cmp.Compare(x, y)
}

// String returns the list as an aligned text table, or its sentence if it has no columns.
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
	_ = w.Flush() // Writing to a strings.Builder never fails.
	return strings.TrimRight(text.String(), "\n")
}

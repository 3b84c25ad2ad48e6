// Package logline reads the JSON log lines of boxes and workers, and selects the lines about one job or task
// in order of time.
package logline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one parsed log line.
type Line struct {
	At     time.Time
	Source string         // Name of the box or worker that wrote the line.
	Text   string         // Message of a box or event of a worker.
	Fields map[string]any // All other fields of the line.
}

// maxLineBytes is the length of the longest line that Read accepts, in bytes.
const maxLineBytes = 1 << 20

// Read parses a log. It skips lines that are not JSON, such as those of a stack trace, and returns their number.
// A line longer than maxLineBytes is an error.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		} else {
			skipped++
		}
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "logline: unable to read the log")
}

// parseLine parses a log line of a box or of a worker of the test rig. The two use different keys for the time,
// the text and the source. It reports whether the line is a JSON object with a valid time.
func parseLine(raw []byte) (Line, bool) {
	fields, decoder := map[string]any{}, json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // Keeps large numbers, such as times in milliseconds, as written.
	if decoder.Decode(&fields) != nil || decoder.More() {
		return Line{}, false
	}
	take := func(keys ...string) (text string) {
		for _, key := range keys {
			if value, ok := fields[key].(string); ok && text == "" {
				text = value
				delete(fields, key)
			}
		}
		return text
	}
	at, err := time.Parse(time.RFC3339Nano, take("time", "at"))
	return Line{At: at, Source: take("box", "worker"), Text: take("msg", "event"), Fields: fields}, err == nil
}

// String returns the line in readable form: time of day, source, text and the other fields sorted by key.
func (l *Line) String() string {
	text := l.At.Format("15:04:05.000000") + " " + l.Source + " " + l.Text
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		value := l.Fields[key]
		if nested, ok := value.(map[string]any); ok {
			raw, err := json.Marshal(nested)
			if err == nil {
				value = string(raw)
			}
		}
		text += fmt.Sprintf(" %s=%v", key, value)
	}
	return text
}

// mentions reports whether a field of the line names the job or task id.
// For a job, lines that name one of its tasks count too; for a task, lines that name its job.
func (l *Line) mentions(id string) bool {
	job, _, _ := strings.Cut(id, ".")
	for _, value := range l.Fields {
		if text, ok := value.(string); ok && (text == id || text == job || strings.HasPrefix(text, id+".")) {
			return true
		}
	}
	return false
}

// leaseChanges holds the texts of log lines that show which box schedules: boxes that start or stop, and lease changes.
var leaseChanges = []string{"scheduler: took over", "node: lease claimed", "node: lease over", "scheduler: gave the lease back", "node: start", "node: stopping"}

// About returns the lines about a job or task in order of time. Between the first and the last of them, it adds the
// warnings about workers that these lines name, and the lines that show which box schedules.
func About(id string, lines []Line) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	first, last, workers := len(lines), -1, map[string]bool{}
	for i := range lines {
		if !lines[i].mentions(id) {
			continue
		}
		first, last = min(first, i), i
		workers[lines[i].worker()] = true
	}
	var about []Line
	for i := first; i <= last; i++ {
		l := &lines[i]
		warning := l.Fields["level"] == "warn" && l.worker() != "" && workers[l.worker()]
		if l.mentions(id) || warning || slices.Contains(leaseChanges, l.Text) {
			about = append(about, *l)
		}
	}
	return about
}

// worker returns the worker that a box's line names, or an empty string.
func (l *Line) worker() string {
	name, _ := l.Fields["worker"].(string)
	return name
}

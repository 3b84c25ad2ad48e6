package inifile

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Form restricts the text of an option whose target is a string.
type Form int

// The forms of text options.
const (
	Text    Form = iota // Any text.
	Name                // Letters, digits, - and _.
	Address             // IP:port.
	URL                 // http://IP:port or https://IP:port.
	Hash                // Hex SHA-256.
)

// Option describes one key of a section. Target is a pointer to string, int, float64, bool, []string or time.Duration;
// the file gives durations as whole milliseconds.
type Option struct {
	Key      string
	Doc      string
	Unit     string
	Target   any
	Form     Form
	Min, Max float64 // Bounds of numbers; Max 0 means no upper bound.
	Choices  []string
	Required bool
}

// Read sets the targets of the options from the section. It reports invalid values, missing required keys and
// unknown keys.
func (s Section) Read(options []Option) {
	known := make([]string, len(options))
	for i, o := range options {
		known[i] = o.Key
		if !s.body.HasKey(o.Key) {
			if o.Required {
				s.Add(o.Key, o.allowed(), "is missing")
			}
			continue
		}
		s.set(o, s.body.Key(o.Key))
	}
	for _, k := range s.body.Keys() {
		if !slices.Contains(known, k.Name()) {
			s.Add(k.Name(), strings.Join(known, ", "), "is unknown")
		}
	}
}

func (s Section) set(o Option, key *ini.Key) {
	text := strings.TrimSpace(key.String())
	switch target := o.Target.(type) {
	case *string:
		if problem := o.checkText(text); problem != "" {
			s.Add(o.Key, o.allowed(), "%s", problem)
			return
		}
		*target = text
	case *[]string:
		*target = strings.Fields(strings.ReplaceAll(text, ",", " "))
	case *bool:
		value, err := strconv.ParseBool(text)
		if err != nil {
			s.Add(o.Key, o.allowed(), "%q is neither true nor false", text)
			return
		}
		*target = value
	default:
		s.setNumber(o, text)
	}
}

func (s Section) setNumber(o Option, text string) {
	value, err := strconv.ParseFloat(text, 64)
	_, isFloat := o.Target.(*float64)
	if err != nil || (!isFloat && value != float64(int(value))) {
		s.Add(o.Key, o.allowed(), "%q is no %s", text, o.number())
		return
	}
	if value < o.Min || (o.Max > 0 && value > o.Max) {
		s.Add(o.Key, o.allowed(), "%s is out of range", text)
		return
	}
	switch target := o.Target.(type) {
	case *int:
		*target = int(value)
	case *float64:
		*target = value
	case *time.Duration:
		*target = time.Duration(value) * time.Millisecond
	}
}

func (o Option) number() string {
	if _, ok := o.Target.(*float64); ok {
		return "number"
	}
	return "whole number"
}

func (o Option) checkText(text string) string {
	if len(o.Choices) > 0 && !slices.Contains(o.Choices, text) {
		return fmt.Sprintf("%q is unknown", text)
	}
	switch o.Form {
	case Name:
		if !ValidName(text) {
			return fmt.Sprintf("%q is no name", text)
		}
	case Address:
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fmt.Sprintf("%q is no address", text)
		}
	case URL:
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || !isAddress(u.Host) || u.Path != "" {
			return fmt.Sprintf("%q is no base URL", text)
		}
	case Hash:
		if raw, err := hex.DecodeString(text); err != nil || len(raw) != sha256Bytes {
			return "is no hash"
		}
	}
	return ""
}

const sha256Bytes = 32

func isAddress(host string) bool {
	_, err := netip.ParseAddrPort(host)
	return err == nil
}

// ValidName reports whether text is not empty and consists of ASCII letters, digits, - and _ only.
func ValidName(text string) bool {
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && r != '-' && r != '_' {
			return false
		}
	}
	return text != ""
}

func (o Option) allowed() string {
	if len(o.Choices) > 0 {
		return strings.Join(o.Choices, ", ")
	}
	switch o.Target.(type) {
	case *bool:
		return "true, false"
	case *[]string:
		return "words"
	case *string:
		return [...]string{"text", "letters, digits, - and _", "IP:port", "http://IP:port", "64 hexadecimal digits"}[o.Form]
	}
	text := o.number()
	if o.Max > 0 {
		return fmt.Sprintf("%s from %g to %g", text, o.Min, o.Max)
	}
	return fmt.Sprintf("%s from %g", text, o.Min)
}

// Describe writes the documentation of a section's options. The current values of the targets are the defaults.
func Describe(w io.Writer, section string, options []Option) {
	fmt.Fprintf(w, "[%s]\n", section)
	for _, o := range options {
		fmt.Fprintf(w, "  %-28s %s\n", o.Key, o.Doc)
		detail := "allowed: " + o.allowed()
		if o.Unit != "" {
			detail += "; unit: " + o.Unit
		}
		if o.Required {
			detail += "; required"
		} else {
			detail += "; default: " + o.defaultText()
		}
		fmt.Fprintf(w, "  %-28s %s\n", "", detail)
	}
	fmt.Fprintln(w)
}

func (o Option) defaultText() string {
	switch target := o.Target.(type) {
	case *string:
		return strconv.Quote(*target)
	case *int:
		return itoa(*target)
	case *float64:
		return strconv.FormatFloat(*target, 'g', -1, 64)
	case *bool:
		return strconv.FormatBool(*target)
	case *time.Duration:
		return itoa(int(target.Milliseconds()))
	case *[]string:
		return strings.Join(*target, " ")
	}
	return ""
}

func itoa(n int) string { return strconv.Itoa(n) }

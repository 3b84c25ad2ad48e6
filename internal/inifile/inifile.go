// Package inifile parses INI documents and reports every mistake with its line number.
package inifile

import (
	"strings"

	"github.com/pulleyring/pulleyring/pkg/finding"
	"gopkg.in/ini.v1"
)

// File is one parsed document. Reading its sections adds to Findings.
type File struct {
	Name     string
	Findings finding.List

	file  *ini.File
	lines map[string]int // Line numbers by section name, line feed and key; the key is empty for the section itself.
}

// Section is one section; Kind is the part of its name before the first dot and Name the part after it.
type Section struct {
	Kind string
	Name string

	owner *File
	full  string
	body  *ini.Section
}

// Parse parses a document and adds syntax errors to its findings.
func Parse(name string, raw []byte) *File {
	f := &File{Name: name, lines: map[string]int{}}
	f.index(string(raw))
	options := ini.LoadOptions{SkipUnrecognizableLines: true, IgnoreInlineComment: false}
	file, err := ini.LoadSources(options, raw)
	if err != nil {
		f.Findings.Add(name, "document", "an INI document", "%v", err)
		file = ini.Empty()
	}
	f.file = file
	return f
}

// index records the line number of every section and key. It reports duplicates and lines that are neither.
func (f *File) index(text string) {
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		if line[0] == '[' {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			f.recordLine(section, "", i+1)
			continue
		}
		key, _, found := strings.Cut(line, "=")
		if !found {
			f.Findings.Add(f.position(i+1), section, "key = value", "%q is neither a section nor a key", line)
			continue
		}
		f.recordLine(section, strings.TrimSpace(key), i+1)
	}
}

func (f *File) recordLine(section, key string, line int) {
	id := section + "\n" + key
	if first := f.lines[id]; first > 0 {
		what := "section"
		if key != "" {
			what = "key"
		}
		f.Findings.Add(f.position(line), joinName(section, key), "once", "the %s stands already in line %d", what, first)
		return
	}
	f.lines[id] = line
}

func joinName(section, key string) string {
	if key == "" {
		return section
	}
	return section + "." + key
}

func (f *File) position(line int) string {
	if line == 0 {
		return f.Name
	}
	return f.Name + ":" + itoa(line)
}

// Sections returns the named sections in the order of the document.
func (f *File) Sections() []Section {
	var list []Section
	for _, s := range f.file.Sections() {
		if s.Name() == ini.DefaultSection {
			f.reportUnnamedKeys(s)
			continue
		}
		kind, name, _ := strings.Cut(s.Name(), ".")
		list = append(list, Section{Kind: kind, Name: name, owner: f, full: s.Name(), body: s})
	}
	return list
}

func (f *File) reportUnnamedKeys(s *ini.Section) {
	for _, k := range s.Keys() {
		f.Findings.Add(f.position(f.lines["\n"+k.Name()]), k.Name(), "a key inside a section", "stands before the first section")
	}
}

// Add adds a finding about a key of the section, or about the section itself if the key is empty.
func (s Section) Add(key, allowed, problem string, args ...any) {
	line := s.owner.lines[s.full+"\n"+key]
	if line == 0 {
		line = s.owner.lines[s.full+"\n"]
	}
	s.owner.Findings.Add(s.owner.position(line), joinName(s.full, key), allowed, problem, args...)
}

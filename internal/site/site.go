// Package site parses and validates a site's configuration, an INI document.
package site

import (
	"fmt"
	"io"
	"strings"

	"github.com/pulleyring/pulleyring/internal/inifile"
	"github.com/pulleyring/pulleyring/internal/pledge"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Defaults returns an empty site with the default values of the site section's options.
func Defaults() contract.Site {
	return contract.Site{
		CompletionWeight:   0.5,
		ReserveShare:       0.05,
		ReclaimSeconds:     30,
		SetAsideSeconds:    20,
		GiveUpAfterWorkers: 3,
	}
}

// Parse parses a document and returns the site. The error lists every mistake, including guarantees that don't fit
// the site's workers.
func Parse(name string, raw []byte) (*contract.Site, error) {
	file := inifile.Parse(name, raw)
	r := &reader{file: file, site: Defaults(), halls: map[string]int{}, seen: map[string]bool{}}
	sections := file.Sections()
	for _, s := range sections {
		r.readIndependent(s)
	}
	for _, s := range sections {
		r.readDependent(s)
	}
	r.checkWhole()
	if err := file.Findings.Err(); err != nil {
		return nil, err
	}
	return &r.site, nil
}

// reader builds a site from sections in two passes. Halls and workspaces are read in the first pass because racks,
// upstreams and callers refer to them.
type reader struct {
	file  *inifile.File
	site  contract.Site
	halls map[string]int
	seen  map[string]bool
}

func (r *reader) readIndependent(s inifile.Section) {
	switch s.Kind {
	case "site":
		s.Read(siteOptions(&r.site))
	case "hall":
		h := contract.Hall{}
		s.Read(hallOptions(&h))
		h.Name = r.name(s)
		r.halls[h.Name] = len(r.site.Halls)
		r.site.Halls = append(r.site.Halls, h)
	case "workspace":
		w := contract.Workspace{Share: 1, BlockAccelerators: 1}
		s.Read(workspaceOptions(&w))
		w.Name = r.name(s)
		if w.LimitAccelerators > 0 && w.LimitAccelerators < w.Guaranteed() {
			s.Add("limit_accelerators", "0 or at least the guarantee", "%d is below the guarantee of %d", w.LimitAccelerators, w.Guaranteed())
		}
		r.site.Workspaces = append(r.site.Workspaces, w)
	}
}

func (r *reader) readDependent(s inifile.Section) {
	switch s.Kind {
	case "site", "hall", "workspace":
	case "rack":
		r.readRack(s)
	case "upstreams":
		r.readUpstreams(s)
	case "caller":
		r.readCaller(s)
	case "operator":
		o := contract.Operator{}
		s.Read(operatorOptions(&o))
		o.Name = r.name(s)
		r.site.Operators = append(r.site.Operators, o)
	default:
		s.Add("", "site, hall, rack, upstreams, workspace, caller, operator", "is an unknown section")
	}
}

func (r *reader) readRack(s inifile.Section) {
	d := rackSection{Count: 1}
	s.Read(rackOptions(&d))
	rack := contract.Rack{Name: r.name(s), Hall: d.Hall}
	for i := range d.Count {
		w := contract.Worker{
			Name: fmt.Sprintf("%s-w%d", rack.Name, i), Rack: rack.Name, Hall: d.Hall, Address: d.Address,
			Capacity: contract.Shape{CPUs: d.CPUs, MemoryGB: d.MemoryGB, Accelerators: d.Accelerators},
		}
		rack.Workers = append(rack.Workers, w)
	}
	index, ok := r.halls[d.Hall]
	if !ok {
		s.Add("hall", "a hall of this document", "%q is unknown", d.Hall)
		return
	}
	r.site.Halls[index].Racks = append(r.site.Halls[index].Racks, rack)
}

func (r *reader) readUpstreams(s inifile.Section) {
	d := upstreamSection{Count: 1, Slots: 8, Connections: 60}
	s.Read(upstreamOptions(&d))
	name := r.name(s)
	if _, ok := r.halls[d.Hall]; !ok && d.Hall != "" {
		s.Add("hall", "a hall of this document", "%q is unknown", d.Hall)
	}
	for i := range d.Count {
		u := contract.Upstream{Name: fmt.Sprintf("%s-%d", name, i), Hall: d.Hall, Address: d.Address, Slots: d.Slots, Connections: d.Connections}
		r.site.Upstreams = append(r.site.Upstreams, u)
	}
}

func (r *reader) readCaller(s inifile.Section) {
	c := contract.Caller{}
	s.Read(callerOptions(&c))
	c.Name = r.name(s)
	for _, w := range c.Workspaces {
		if _, ok := r.site.Workspace(w); !ok {
			s.Add("workspaces", "workspaces of this document", "%q is unknown", w)
		}
	}
	r.site.Callers = append(r.site.Callers, c)
}

// name returns the section's name and reports one that is missing or malformed.
func (r *reader) name(s inifile.Section) string {
	if !inifile.ValidName(s.Name) {
		s.Add("", s.Kind+".NAME of letters, digits, - and _", "has no proper name")
	}
	return s.Name
}

// checkWhole reports mistakes that only show in the whole document: a missing name and guarantees that don't fit.
func (r *reader) checkWhole() {
	if r.site.Name == "" {
		r.file.Findings.Add(r.file.Name, "site.name", "a name", "is missing")
	}
	if len(r.file.Findings) > 0 {
		return // The plan would repeat the mistakes already found.
	}
	_, findings := pledge.Plan(&r.site, nil)
	for _, f := range findings {
		r.file.Findings.Add(r.file.Name, f.Key, f.Allowed, "%s", f.Problem)
	}
}

// Describe writes the documentation of every option in the site configuration.
func Describe(w io.Writer) {
	site := Defaults()
	inifile.Describe(w, "site", siteOptions(&site))
	inifile.Describe(w, "hall.NAME", hallOptions(&contract.Hall{}))
	inifile.Describe(w, "rack.NAME", rackOptions(&rackSection{Count: 1}))
	inifile.Describe(w, "upstreams.NAME", upstreamOptions(&upstreamSection{Count: 1, Slots: 8, Connections: 60}))
	inifile.Describe(w, "workspace.NAME", workspaceOptions(&contract.Workspace{Share: 1, BlockAccelerators: 1}))
	inifile.Describe(w, "caller.NAME", callerOptions(&contract.Caller{}))
	inifile.Describe(w, "operator.NAME", operatorOptions(&contract.Operator{}))
}

// Expand replaces every value of the form @FILE with the trimmed content of that file, which the function read returns.
func Expand(raw []byte, read func(name string) ([]byte, error)) ([]byte, error) {
	lines := strings.Split(string(raw), "\n")
	for i, line := range lines {
		key, value, found := strings.Cut(line, "=")
		value = strings.TrimSpace(value)
		if !found || !strings.HasPrefix(value, "@") || strings.HasPrefix(strings.TrimSpace(line), ";") {
			continue
		}
		content, err := read(value[1:])
		if err != nil {
			return nil, fmt.Errorf("site: line %d: unable to read %s: %w", i+1, value[1:], err)
		}
		lines[i] = key + "= " + strings.TrimSpace(string(content))
	}
	return []byte(strings.Join(lines, "\n")), nil
}

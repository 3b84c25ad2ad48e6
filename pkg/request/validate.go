package request

import (
	"slices"

	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/finding"
)

// maxDeclaredSeconds is the upper limit for a declared run time and for a deadline: thirty days.
const maxDeclaredSeconds = 30 * 24 * 3600

// maxIDBytes is the maximum length of a request id.
const maxIDBytes = 128

// Validate checks a submission from caller against the site's configuration and returns all problems found.
func Validate(site *contract.Site, caller contract.Caller, id string, s Submission) finding.List {
	var list finding.List
	validateID(&list, id)
	if s.Kind == "" {
		list.Add("body", "kind", "a word", "is missing")
	}
	validateWorkspace(&list, site, caller, s)
	validateTimes(&list, s)
	if s.OnOutage != "" && s.OnOutage != "wait" && s.OnOutage != "refuse" {
		list.Add("body", "on_outage", "wait, refuse", "%q is unknown", s.OnOutage)
	}
	if s.Gang != 0 {
		validateGang(&list, site, s)
	}
	return list
}

// validateID checks the request id, which is sent as the Idempotency-Key header.
func validateID(list *finding.List, id string) {
	if id == "" {
		list.Add("header", "Idempotency-Key", "1 to 128 characters", "is missing")
	}
	if len(id) > maxIDBytes {
		list.Add("header", "Idempotency-Key", "1 to 128 characters", "has %d characters", len(id))
	}
	for _, r := range id {
		if r <= ' ' || r > '~' || r == '/' || r == '#' {
			list.Add("header", "Idempotency-Key", "printable ASCII without space, / and #", "holds %q", r)
			return
		}
	}
}

// validateWorkspace checks that the workspace exists, that the caller may use it, and that the gang keeps its limit.
func validateWorkspace(list *finding.List, site *contract.Site, caller contract.Caller, s Submission) {
	w, ok := site.Workspace(s.Workspace)
	if !ok {
		list.Add("body", "workspace", "a workspace of the site", "%q is unknown", s.Workspace)
		return
	}
	if !slices.Contains(caller.Workspaces, s.Workspace) {
		list.Add("body", "workspace", "a workspace of the caller", "%q is not open to this caller", s.Workspace)
	}
	need := s.Gang * s.Shape.Accelerators
	if w.LimitAccelerators > 0 && need > w.LimitAccelerators {
		list.Add("body", "gang", "at most the workspace's limit", "needs %d accelerators, the limit is %d", need, w.LimitAccelerators)
	}
}

func validateTimes(list *finding.List, s Submission) {
	if s.DeclaredSeconds < 0 || s.DeclaredSeconds > maxDeclaredSeconds {
		list.Add("body", "declared_seconds", "0 to 2592000", "%g is out of range", s.DeclaredSeconds)
	}
	if s.DeadlineSeconds < 0 || s.DeadlineSeconds > maxDeclaredSeconds {
		list.Add("body", "deadline_seconds", "0 to 2592000", "%g is out of range", s.DeadlineSeconds)
	}
}

// validateGang checks the size and shape of a gang, and that the gang fits into an empty rack of the site.
func validateGang(list *finding.List, site *contract.Site, s Submission) {
	if s.Gang < 0 || s.Gang > MaxGang {
		list.Add("body", "gang", "0 to 64", "%d is out of range", s.Gang)
		return
	}
	if s.Shape.CPUs < 0 || s.Shape.MemoryGB < 0 || s.Shape.Accelerators < 0 {
		list.Add("body", "shape", "no negative amounts", "%s", s.Shape)
		return
	}
	if s.Shape == (contract.Shape{}) {
		list.Add("body", "shape", "at least one amount above 0", "is empty")
		return
	}
	for _, h := range site.Halls {
		for _, r := range h.Racks {
			if r.GangFits(s.Gang, s.Shape) {
				return
			}
		}
	}
	list.Add("body", "shape", "a gang that fits one empty rack", "%d members of %s fit no rack of the site", s.Gang, s.Shape)
}

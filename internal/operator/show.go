package operator

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/command"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/pledge"
)

func itoa(n int) string { return strconv.Itoa(n) }

// show returns the list that a show command asks for.
func (d *Runner) show(ctx context.Context, s *command.Show) (*command.List, error) {
	var list *command.List
	var err error
	switch s.What {
	case "jobs":
		list, _, err = d.listJobs(ctx)
	case "requests":
		list = d.listRequests()
	case "racks":
		list, err = d.listRacks(ctx)
	case "workers":
		list = d.listWorkers()
	case "boxes":
		list = d.listBoxes()
	case "workspaces":
		list, err = d.listWorkspaces(ctx)
	case "upstreams":
		list = d.listUpstreams()
	case "settings":
		list = d.listSettings()
	}
	if err != nil {
		return nil, err
	}
	return list, list.Apply(s)
}

// listJobs lists the unfinished gangs of all halls, and returns a target for each row.
func (d *Runner) listJobs(ctx context.Context) (*command.List, []target, error) {
	list := &command.List{Columns: []string{"job", "hall", "state", "workspace", "kind", "gang", "accelerators", "age", "rack", "attempt", "urgent", "at_most_once"}}
	var targets []target
	for _, k := range d.Controllers() {
		if err := k.Rows.Refresh(ctx); err != nil {
			return nil, nil, errors.Wrap(err, "operator: the table can't be asked")
		}
		for _, e := range k.Rows.Jobs() {
			s := e.Submission
			list.Rows = append(list.Rows, []string{
				e.Key(), k.Hall, string(e.State), s.Workspace, s.Kind, itoa(s.Gang), itoa(s.Gang * s.Shape.Accelerators),
				seconds(time.Since(e.Received)), e.Rack, itoa(e.Number), strconv.FormatBool(s.Urgent), strconv.FormatBool(s.AtMostOnce),
			})
			targets = append(targets, target{k, e})
		}
	}
	return list, targets, nil
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 1, 64) }

// listRequests lists the small requests that this box has in progress or settled recently.
func (d *Runner) listRequests() *command.List {
	list := &command.List{Columns: []string{"request", "workspace", "kind", "outcome", "age", "took"}}
	for _, r := range d.Intake.Recent() {
		list.Rows = append(list.Rows, []string{
			r.Identity.String(), r.Workspace, r.Kind, string(r.Outcome), seconds(time.Since(r.Received)), seconds(r.Took),
		})
	}
	return list
}

func (d *Runner) listRacks(ctx context.Context) (*command.List, error) {
	list := &command.List{Columns: []string{"rack", "hall", "workers", "accelerators", "in_use", "free", "pledged", "drained", "set_aside_for"}}
	orders := d.Config.Orders()
	site := d.Config.Site()
	layout, _ := pledge.Plan(site, nil)
	for _, k := range d.Controllers() {
		if err := k.Rows.Refresh(ctx); err != nil {
			return nil, errors.Wrap(err, "operator: the table can't be asked")
		}
		used := map[string]int{}
		for _, e := range k.Rows.Jobs() {
			used[e.Rack] += e.Submission.Gang * e.Submission.Shape.Accelerators
		}
		setAsides := k.ReservedRacks()
		h, _ := site.Hall(k.Hall)
		for _, r := range h.Racks {
			total, pledged := r.Capacity().Accelerators, 0
			for _, w := range r.Workers {
				for _, s := range layout[w.Name] {
					pledged += s.Shape.Accelerators
				}
			}
			list.Rows = append(list.Rows, []string{
				r.Name, k.Hall, itoa(len(r.Workers)), itoa(total), itoa(used[r.Name]), itoa(total - used[r.Name]), itoa(pledged),
				strconv.FormatBool(orders.Drained("rack", r.Name)), setAsides[r.Name],
			})
		}
	}
	return list, nil
}

func (d *Runner) listWorkers() *command.List {
	list := &command.List{Columns: []string{"worker", "rack", "hall", "cpus", "memory_gb", "accelerators", "used_accelerators", "heard", "drained"}}
	orders := d.Config.Orders()
	site := d.Config.Site()
	for _, k := range d.Controllers() {
		h, _ := site.Hall(k.Hall)
		for _, r := range h.Racks {
			for _, w := range r.Workers {
				usage, heard := k.Usage(w.Name)
				list.Rows = append(list.Rows, []string{
					w.Name, r.Name, k.Hall, itoa(w.Capacity.CPUs), itoa(w.Capacity.MemoryGB), itoa(w.Capacity.Accelerators),
					itoa(usage.Accelerators), strconv.FormatBool(heard), strconv.FormatBool(orders.Drained("worker", w.Name)),
				})
			}
		}
	}
	return list
}

// listBoxes lists the boxes that this box considers alive, and the halls for which it considers each the preferred box.
func (d *Runner) listBoxes() *command.List {
	list := &command.List{Columns: []string{"box", "hall", "listen", "leaving", "site_version", "orders_version", "preferred_for"}}
	site, orders := d.Config.Versions()
	self := link.Heartbeat{Entry: d.Members.SelfEntry(), Version: site, Orders: orders}
	for _, h := range append([]link.Heartbeat{self}, d.Members.Peers()...) {
		preferred := ""
		for _, k := range d.Controllers() {
			if d.Members.Preferred(k.Hall).Name == h.Entry.Name {
				preferred += k.Hall + " "
			}
		}
		list.Rows = append(list.Rows, []string{
			h.Entry.Name, h.Entry.Hall, h.Entry.Listen, strconv.FormatBool(h.Entry.Leaving),
			strconv.FormatInt(h.Version, 10), strconv.FormatInt(h.Orders, 10), preferred,
		})
	}
	return list
}

func (d *Runner) listWorkspaces(ctx context.Context) (*command.List, error) {
	list := &command.List{Columns: []string{"workspace", "guaranteed", "limit", "share", "in_use", "waiting", "claimed", "granted"}}
	used, waiting := map[string]int{}, map[string]int{}
	for _, k := range d.Controllers() {
		if err := k.Rows.Refresh(ctx); err != nil {
			return nil, errors.Wrap(err, "operator: the table can't be asked")
		}
		for _, e := range k.Rows.Jobs() {
			need := e.Submission.Gang * e.Submission.Shape.Accelerators
			if e.State == "waiting" {
				waiting[e.Submission.Workspace] += need
			} else {
				used[e.Submission.Workspace] += need
			}
		}
	}
	now := time.Now()
	orders := d.Config.Orders()
	claimed := map[string]bool{}
	for _, name := range orders.Claimed(now) {
		claimed[name] = true
	}
	for _, w := range d.Config.Site().Workspaces {
		list.Rows = append(list.Rows, []string{
			w.Name, itoa(w.Guaranteed()), itoa(w.LimitAccelerators), fmt.Sprint(w.Share), itoa(used[w.Name]), itoa(waiting[w.Name]),
			strconv.FormatBool(claimed[w.Name]), itoa(orders.Granted(w.Name, now)),
		})
	}
	return list, nil
}

func (d *Runner) listUpstreams() *command.List {
	list := &command.List{Columns: []string{"upstream", "hall", "open", "ejected", "drained"}}
	for _, u := range d.Router.Statuses() {
		list.Rows = append(list.Rows, []string{u.Name, u.Hall, itoa(u.Open), strconv.FormatBool(u.Ejected), strconv.FormatBool(u.Drained)})
	}
	return list
}

// listSettings lists the versions of the configuration and the orders that are in force in each box.
func (d *Runner) listSettings() *command.List {
	list := &command.List{Columns: []string{"box", "site_version", "orders_version", "completion_weight", "reclaim_seconds", "newest"}}
	site, orders := d.Config.Versions()
	newest := site
	peers := d.Members.Peers()
	for _, p := range peers {
		newest = max(newest, p.Version)
	}
	s := d.Config.Site()
	add := func(name string, version, ordersVersion int64) {
		weight, reclaim := "", ""
		if version == site {
			weight, reclaim = fmt.Sprint(s.CompletionWeight), itoa(s.ReclaimSeconds)
		}
		list.Rows = append(list.Rows, []string{
			name, strconv.FormatInt(version, 10), strconv.FormatInt(ordersVersion, 10), weight, reclaim, strconv.FormatBool(version == newest),
		})
	}
	add(d.Box, site, orders)
	for _, p := range peers {
		add(p.Entry.Name, p.Version, p.Orders)
	}
	return list
}

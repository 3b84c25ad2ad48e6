// Package operator runs the operators' commands in a box.
package operator

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/command"
	"github.com/pulleyring/pulleyring/internal/config"
	"github.com/pulleyring/pulleyring/internal/hall"
	"github.com/pulleyring/pulleyring/internal/intake"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/member"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/timeline"
	"github.com/pulleyring/pulleyring/internal/upstream"
)

// Runner runs commands. Set the exported fields before use.
type Runner struct {
	Box            string
	Settings       *settings.Box
	Config         *config.Keeper
	Committer      *table.Committer
	Intake         *intake.Intake
	Router         *upstream.Router
	Members        *member.Members
	Network        link.Network
	Recorder       *timeline.Recorder
	Controllers    func() []*hall.Controller
	AnnounceChange func(prefix string) // Announces to other boxes that the rows with a key prefix have changed.
}

// Run parses and runs one command of an operator. It returns a *command.Mistake if the command is invalid, and another
// error if the table or another box did not answer.
func (d *Runner) Run(ctx context.Context, name, text string) (*command.List, error) {
	c, err := command.Parse(text)
	if err != nil {
		return nil, err
	}
	if d.Config.Site() == nil {
		return command.Refuse("no configuration is in force yet; apply one first"), nil
	}
	d.Recorder.Add(timeline.Event{Part: "operator", Text: name + ": " + text})
	switch {
	case c.Show != nil:
		return d.show(ctx, c.Show)
	case c.Why != nil:
		return d.why(ctx, c.Why.Job)
	case c.Cancel != nil:
		return d.cancel(ctx, name, c.Cancel)
	}
	return d.changeOrders(ctx, name, c)
}

// changeOrders applies a command to the orders and commits them. If another operator has changed the orders meanwhile,
// it applies the command again to the new version.
func (d *Runner) changeOrders(ctx context.Context, name string, c *command.Command) (*command.List, error) {
	for {
		if err := d.Config.Refresh(ctx); err != nil {
			return nil, errors.Wrap(err, "operator: the table can't be asked")
		}
		orders := d.Config.Orders()
		_, version := d.Config.Versions()
		next := orders.Current(time.Now())
		answer := d.applyToOrders(&next, name, c)
		if answer.Affected == 0 {
			return answer, nil
		}
		_, err := d.Committer.Do(ctx, d.Config.OrdersOp(next, version))
		var conflict *table.Conflict
		if errors.As(err, &conflict) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "operator: whether the command took effect is not known; repeating it is safe")
		}
		if err := d.Config.Refresh(ctx); err == nil {
			d.AnnounceChange(config.Prefix)
		}
		return answer, nil
	}
}

// applyToOrders applies a command to the orders and returns the answer, which says what changed.
func (d *Runner) applyToOrders(o *config.Orders, name string, c *command.Command) *command.List {
	switch {
	case c.Drain != nil:
		return d.drain(o, name, c.Drain)
	case c.Undrain != nil:
		return d.undrain(o, c.Undrain)
	case c.Reclaim != nil:
		return d.reclaim(o, name, c.Reclaim)
	case c.Grant != nil:
		return d.grant(o, name, c.Grant)
	}
	return d.revoke(o, c.Revoke)
}

// Default durations of claims and grants.
const (
	defaultClaimDuration = 10 * time.Minute
	defaultGrantDuration = time.Hour
)

func (d *Runner) reclaim(o *config.Orders, name string, c *command.Reclaim) *command.List {
	w, ok := d.Config.Site().Workspace(c.Workspace)
	if !ok {
		return command.Refuse("there is no workspace %s", c.Workspace)
	}
	if w.Guaranteed() == 0 {
		return command.Refuse("workspace %s has no guarantee", c.Workspace)
	}
	now := time.Now()
	for _, existing := range o.Claims {
		if existing.Workspace == c.Workspace {
			return command.Did(0, "already claimed by %s until %s; nothing changed", existing.Operator, existing.Until.Format(time.RFC3339))
		}
	}
	until := now.Add(durationOr(c.For, defaultClaimDuration))
	o.Claims = append(o.Claims, config.Claim{Workspace: c.Workspace, Operator: name, Until: until})
	return command.Did(1, "claimed the %d accelerators of %s until %s", w.Guaranteed(), c.Workspace, until.Format(time.RFC3339))
}

func durationOr(d command.Duration, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return time.Duration(d)
}

func (d *Runner) grant(o *config.Orders, name string, c *command.Grant) *command.List {
	w, ok := d.Config.Site().Workspace(c.Workspace)
	if !ok {
		return command.Refuse("there is no workspace %s", c.Workspace)
	}
	if w.LimitAccelerators == 0 {
		return command.Refuse("workspace %s has no limit that a grant could raise", c.Workspace)
	}
	for _, existing := range o.Grants {
		if existing.Workspace == c.Workspace && existing.Accelerators == c.Accelerators {
			return command.Did(0, "already granted by %s until %s; nothing changed", existing.Operator, existing.Until.Format(time.RFC3339))
		}
	}
	until := time.Now().Add(durationOr(c.For, defaultGrantDuration))
	o.Grants = append(o.Grants, config.Grant{Workspace: c.Workspace, Accelerators: c.Accelerators, Operator: name, Until: until})
	return command.Did(1, "granted %s %d accelerators beyond its limit until %s", c.Workspace, c.Accelerators, until.Format(time.RFC3339))
}

func (d *Runner) revoke(o *config.Orders, c *command.Revoke) *command.List {
	before := len(o.Claims) + len(o.Grants)
	claims, grants := o.Claims, o.Grants
	o.Claims, o.Grants = nil, nil
	for _, existing := range claims {
		if existing.Workspace != c.Workspace {
			o.Claims = append(o.Claims, existing)
		}
	}
	for _, existing := range grants {
		if existing.Workspace != c.Workspace {
			o.Grants = append(o.Grants, existing)
		}
	}
	ended := before - len(o.Claims) - len(o.Grants)
	return command.Did(ended, "ended %d claims and grants of %s", ended, c.Workspace)
}

func (d *Runner) drain(o *config.Orders, name string, t *command.Target) *command.List {
	kind, refusal := d.resolve(t)
	if refusal != nil {
		return refusal
	}
	for _, existing := range o.Drains {
		if existing.What == kind && existing.Name == t.Name {
			return command.Did(0, "%s %s is already drained by %s; nothing changed", kind, t.Name, existing.Operator)
		}
	}
	o.Drains = append(o.Drains, config.Drain{What: kind, Name: t.Name, Operator: name, At: time.Now()})
	return command.Did(1, "drained %s %s; what runs there goes on", kind, t.Name)
}

func (d *Runner) undrain(o *config.Orders, t *command.Target) *command.List {
	kind, refusal := d.resolve(t)
	if refusal != nil {
		return refusal
	}
	for i, existing := range o.Drains {
		if existing.What == kind && existing.Name == t.Name {
			o.Drains = append(o.Drains[:i:i], o.Drains[i+1:]...)
			return command.Did(1, "undrained %s %s", kind, t.Name)
		}
	}
	return command.Did(0, "%s %s is not drained; nothing changed", kind, t.Name)
}

// resolve returns the kind of the target, or a refusal if its name is unknown or ambiguous.
func (d *Runner) resolve(t *command.Target) (string, *command.List) {
	site := d.Config.Site()
	var kinds []string
	add := func(kind, name string) {
		if name == t.Name && (t.Kind == "" || t.Kind == kind) {
			kinds = append(kinds, kind)
		}
	}
	for _, h := range site.Halls {
		add("hall", h.Name)
		for _, r := range h.Racks {
			add("rack", r.Name)
			for _, w := range r.Workers {
				add("worker", w.Name)
			}
		}
	}
	for _, u := range site.Upstreams {
		add("upstream", u.Name)
	}
	switch len(kinds) {
	case 1:
		return kinds[0], nil
	case 0:
		return "", command.Refuse("there is no %s %s", kindOrAll(t.Kind), t.Name)
	}
	return "", command.Refuse("%s may be a %s; name which", t.Name, strings.Join(kinds, " or a "))
}

func kindOrAll(kind string) string {
	if kind == "" {
		return "worker, rack, hall or upstream"
	}
	return kind
}

// why returns the state of a job. For a waiting job it asks the box that schedules the job's hall for the reason.
func (d *Runner) why(ctx context.Context, job string) (*command.List, error) {
	k, e, err := d.find(ctx, job)
	if err != nil {
		return nil, err
	}
	if e == nil {
		return command.Refuse("there is no unfinished job %s", job), nil
	}
	if e.State != "waiting" {
		return command.Did(0, "%s is %s in rack %s, attempt %d, since %s", e.Key(), e.State, e.Rack, e.Number, e.Started.Format(time.RFC3339)), nil
	}
	text := k.WaitReason(e.Key())
	preferred := d.Members.Preferred(k.Hall)
	if preferred.Name != d.Box {
		reply, err := d.Network.Send(ctx, preferred, &link.Message{Question: &link.Question{Why: e.Key()}})
		if err != nil {
			return nil, errors.Wrapf(err, "operator: box %s, which decides for %s, can't be asked", preferred.Name, k.Hall)
		}
		text = reply.Text
	}
	if text == "" {
		text = "waits for the next pass of its hall"
	}
	return command.Did(0, "%s in %s %s", e.Key(), k.Hall, text), nil
}

// find returns the unfinished job with a key or an ID, or nil if there is none.
func (d *Runner) find(ctx context.Context, job string) (*hall.Controller, *hall.CachedJob, error) {
	for _, k := range d.Controllers() {
		if err := k.Rows.Refresh(ctx); err != nil {
			return nil, nil, errors.Wrap(err, "operator: the table can't be asked")
		}
		for _, e := range k.Rows.Jobs() {
			if e.Key() == job || e.Identity.ID == job {
				return k, e, nil
			}
		}
	}
	return nil, nil, nil
}

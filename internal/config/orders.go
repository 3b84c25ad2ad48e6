// Package config keeps the site's configuration and the operators' orders in force in a box; both move forward only.
package config

import (
	"slices"
	"time"
)

// Orders is the row of what operators ordered and what still holds.
type Orders struct {
	Drains []Drain `json:"drains,omitempty"`
	Claims []Claim `json:"claims,omitempty"`
	Grants []Grant `json:"grants,omitempty"`
}

// Drain keeps new work from a worker, rack, hall or upstream.
type Drain struct {
	What     string    `json:"what"` // worker, rack, hall or upstream.
	Name     string    `json:"name"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// Claim asks for a workspace's whole guarantee until an instant.
type Claim struct {
	Workspace string    `json:"workspace"`
	Operator  string    `json:"operator"`
	Until     time.Time `json:"until"`
}

// Grant raises a workspace's limit until an instant.
type Grant struct {
	Workspace    string    `json:"workspace"`
	Accelerators int       `json:"accelerators"`
	Operator     string    `json:"operator"`
	Until        time.Time `json:"until"`
}

// Drained reports whether something is drained.
func (o *Orders) Drained(what, name string) bool {
	return slices.ContainsFunc(o.Drains, func(d Drain) bool { return d.What == what && d.Name == name })
}

// Claimed returns the workspaces whose claims hold at an instant, sorted.
func (o *Orders) Claimed(now time.Time) []string {
	var list []string
	for _, c := range o.Claims {
		if now.Before(c.Until) {
			list = append(list, c.Workspace)
		}
	}
	slices.Sort(list)
	return list
}

// Granted returns the accelerators granted to a workspace beyond its limit at an instant.
func (o *Orders) Granted(workspace string, now time.Time) int {
	sum := 0
	for _, g := range o.Grants {
		if g.Workspace == workspace && now.Before(g.Until) {
			sum += g.Accelerators
		}
	}
	return sum
}

// Current returns the orders without what has ended by an instant.
func (o *Orders) Current(now time.Time) Orders {
	return Orders{
		Drains: slices.Clone(o.Drains),
		Claims: slices.DeleteFunc(slices.Clone(o.Claims), func(c Claim) bool { return !now.Before(c.Until) }),
		Grants: slices.DeleteFunc(slices.Clone(o.Grants), func(g Grant) bool { return !now.Before(g.Until) }),
	}
}

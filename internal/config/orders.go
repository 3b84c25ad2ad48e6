// Package config holds the site configuration and the operators' orders that are in force in a box.
// Their versions only increase.
package config

import (
	"slices"
	"time"
)

// Orders is the value of the row that records the operators' orders: drains, claims and grants.
type Orders struct {
	Drains []Drain `json:"drains,omitempty"`
	Claims []Claim `json:"claims,omitempty"`
	Grants []Grant `json:"grants,omitempty"`
}

// Drain records that a worker, rack, hall or upstream gets no new work.
type Drain struct {
	What     string    `json:"what"` // worker, rack, hall or upstream.
	Name     string    `json:"name"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// Claim records that a workspace claims its whole guarantee until a time.
type Claim struct {
	Workspace string    `json:"workspace"`
	Operator  string    `json:"operator"`
	Until     time.Time `json:"until"`
}

// Grant raises a workspace's limit of accelerators until a time.
type Grant struct {
	Workspace    string    `json:"workspace"`
	Accelerators int       `json:"accelerators"`
	Operator     string    `json:"operator"`
	Until        time.Time `json:"until"`
}

// Drained reports whether the worker, rack, hall or upstream of a name is drained.
func (o *Orders) Drained(what, name string) bool {
	return slices.ContainsFunc(o.Drains, func(d Drain) bool { return d.What == what && d.Name == name })
}

// Claimed returns the sorted names of the workspaces whose claims are valid at a time.
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

// Granted returns the number of accelerators granted to a workspace beyond its limit at a time.
func (o *Orders) Granted(workspace string, now time.Time) int {
	sum := 0
	for _, g := range o.Grants {
		if g.Workspace == workspace && now.Before(g.Until) {
			sum += g.Accelerators
		}
	}
	return sum
}

// Current returns the orders without the claims and grants that have expired at a time.
func (o *Orders) Current(now time.Time) Orders {
	return Orders{
		Drains: slices.Clone(o.Drains),
		Claims: slices.DeleteFunc(slices.Clone(o.Claims), func(c Claim) bool { return !now.Before(c.Until) }),
		Grants: slices.DeleteFunc(slices.Clone(o.Grants), func(g Grant) bool { return !now.Before(g.Until) }),
	}
}

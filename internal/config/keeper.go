package config

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/site"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Keys of the table rows that hold the configuration and the orders.
const (
	Prefix    = "site/"
	SiteKey   = Prefix + "configuration"
	OrdersKey = Prefix + "orders"
)

// Keeper holds the configuration and the orders that are in force in a box. It adopts them from the table or from
// another box, and only if their version is higher.
type Keeper struct {
	Table   table.Service
	Changed func(text string) // Called after a new version came into force; may be nil.

	mu        sync.Mutex
	refreshed bool // The rows were read from the table at least once.
	site      *contract.Site
	siteDoc   link.Document
	orders    Orders
	ordersDoc link.Document
	callers   map[string]contract.Caller
}

// siteRow is the value of the configuration's row.
type siteRow struct {
	Text string `json:"text"` // The INI document.
}

// Site returns the configuration in force, or nil if there is none yet. Callers must not change it.
func (k *Keeper) Site() *contract.Site {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.site
}

// Known reports whether the box has a configuration, or has read from the table that there is none yet.
func (k *Keeper) Known() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.site != nil || k.refreshed
}

// Orders returns the orders in force; callers must not change the lists.
func (k *Keeper) Orders() Orders {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.orders
}

// Caller returns the caller of a name in the configuration in force, and whether there is one.
func (k *Keeper) Caller(name string) (contract.Caller, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.callers[name]
	return c, ok
}

// Versions returns the versions of the configuration and the orders in force.
func (k *Keeper) Versions() (siteVersion, ordersVersion int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.siteDoc.Version, k.ordersDoc.Version
}

// Documents returns the configuration and the orders in force as documents to send to other boxes.
func (k *Keeper) Documents() (siteDoc, orders *link.Document) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, o := k.siteDoc, k.ordersDoc
	return &s, &o
}

// AdoptSite puts a configuration in force if its version is higher, and reports whether it did.
func (k *Keeper) AdoptSite(doc link.Document) (bool, error) {
	if current, _ := k.Versions(); doc.Version <= current {
		return false, nil
	}
	parsed, err := site.Parse("configuration", []byte(doc.Text))
	if err != nil {
		return false, errors.Wrapf(err, "config: unable to parse configuration version %d", doc.Version)
	}
	parsed.Version = doc.Version
	k.mu.Lock()
	defer k.mu.Unlock()
	if doc.Version <= k.siteDoc.Version {
		return false, nil
	}
	k.site = parsed
	k.siteDoc = doc
	k.callers = map[string]contract.Caller{}
	for _, c := range parsed.Callers {
		k.callers[c.Name] = c
	}
	return true, nil
}

// AdoptOrders puts orders in force if their version is higher, and reports whether it did.
func (k *Keeper) AdoptOrders(doc link.Document) (bool, error) {
	var orders Orders
	if err := json.Unmarshal([]byte(doc.Text), &orders); err != nil && doc.Version > 0 {
		return false, errors.Wrap(err, "config: unable to decode the orders")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if doc.Version <= k.ordersDoc.Version {
		return false, nil
	}
	k.orders = orders
	k.ordersDoc = doc
	return true, nil
}

// Refresh reads both rows from the table and adopts the newer versions.
func (k *Keeper) Refresh(ctx context.Context) error {
	rows, err := k.Table.Read(ctx, []string{SiteKey, OrdersKey})
	if err != nil {
		return errors.Wrap(err, "config: unable to read the configuration and orders from the table")
	}
	k.mu.Lock()
	k.refreshed = true
	k.mu.Unlock()
	if rows[0].Version > 0 {
		var value siteRow
		if err := json.Unmarshal(rows[0].Value, &value); err != nil {
			return errors.Wrap(err, "config: unable to decode the configuration row")
		}
		if err := k.adopt(&link.Document{Version: rows[0].Version, Text: value.Text}, nil); err != nil {
			return err
		}
	}
	return k.adopt(nil, &link.Document{Version: rows[1].Version, Text: string(rows[1].Value)})
}

// AdoptReply adopts the newer versions from another box's reply.
func (k *Keeper) AdoptReply(r *link.Reply) error { return k.adopt(r.Site, r.Orders) }

func (k *Keeper) adopt(siteDoc, orders *link.Document) error {
	if siteDoc != nil && siteDoc.Version > 0 {
		adopted, err := k.AdoptSite(*siteDoc)
		if err != nil {
			return err
		}
		k.notify(adopted, "a new configuration is in force")
	}
	if orders != nil && orders.Version > 0 {
		adopted, err := k.AdoptOrders(*orders)
		if err != nil {
			return err
		}
		k.notify(adopted, "new orders are in force")
	}
	return nil
}

func (k *Keeper) notify(adopted bool, text string) {
	if adopted && k.Changed != nil {
		k.Changed(text)
	}
}

// SiteOp returns the operation that replaces the configuration in force. It conflicts if the row has changed since.
func (k *Keeper) SiteOp(text string) table.Op {
	version, _ := k.Versions()
	return table.Op{
		Priority: table.Reclaim,
		Checks:   []table.Check{{Key: SiteKey, Version: version}},
		Writes:   []table.Write{table.Put(SiteKey, siteRow{text})},
	}
}

// OrdersOp returns the operation that replaces the orders of a version. It conflicts if the row has changed since.
func (k *Keeper) OrdersOp(orders Orders, version int64) table.Op {
	return table.Op{
		Priority: table.Reclaim,
		Checks:   []table.Check{{Key: OrdersKey, Version: version}},
		Writes:   []table.Write{table.Put(OrdersKey, orders)},
	}
}

package pkconfig

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"peridotknot.example/pkid"
	"peridotknot.example/pkstore"
)

// Table is a configuration indexed for lookups; it is immutable.
type Table struct {
	Config
	// Item is the stored configuration, which is passed on to entries that lack it.
	Item     pkstore.Item
	routes   map[string][]*Route
	accounts map[string]*Account
	// accountsByID are the same accounts by their names.
	accountsByID map[pkid.AccountID]*Account
	services     map[pkid.ServiceID]*Service
	// ranked are the services whose routes for streams declare different priorities.
	ranked map[pkid.ServiceID]bool
}

// NewTable indexes a configuration that was read from item.
func NewTable(c Config, item pkstore.Item) *Table {
	t := &Table{
		Config:       c,
		Item:         item,
		routes:       map[string][]*Route{},
		accounts:     map[string]*Account{},
		accountsByID: map[pkid.AccountID]*Account{},
		services:     map[pkid.ServiceID]*Service{},
		ranked:       rankedServices(c.Routes),
	}
	for i := range t.Routes {
		route := &t.Routes[i]
		t.routes[route.Host] = append(t.routes[route.Host], route)
	}
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Accounts {
		t.accountsByID[t.Accounts[i].ID] = &t.Accounts[i]
		for _, key := range t.Accounts[i].Keys {
			t.accounts[key] = &t.Accounts[i]
		}
	}
	for i := range t.Services {
		t.services[t.Services[i].ID] = &t.Services[i]
	}
	return t
}

// rankedServices returns the services whose routes for streams declare different priorities.
func rankedServices(routes []Route) map[pkid.ServiceID]bool {
	priorities := map[pkid.ServiceID]int{}
	ranked := map[pkid.ServiceID]bool{}
	for i := range routes {
		if routes[i].Kind != Stream {
			continue
		}
		for _, s := range routes[i].Services {
			first, known := priorities[s.Service]
			switch {
			case !known:
				priorities[s.Service] = routes[i].Priority
			case first != routes[i].Priority:
				ranked[s.Service] = true
			}
		}
	}
	return ranked
}

// Ranked reports whether the routes for streams of a service declare different priorities.
func (t *Table) Ranked(id pkid.ServiceID) bool { return t.ranked[id] }

// Route returns the route of host with the longest prefix of path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, route := range t.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Account returns the client account of an API key.
func (t *Table) Account(key string) (*Account, bool) {
	a, found := t.accounts[key]
	return a, found
}

// AccountByID returns a client account.
func (t *Table) AccountByID(id pkid.AccountID) (*Account, bool) {
	a, found := t.accountsByID[id]
	return a, found
}

// Service returns the service with the given ID.
func (t *Table) Service(id pkid.ServiceID) (*Service, bool) {
	s, found := t.services[id]
	return s, found
}

// RequiresKeys reports whether routes that are not public require an API key.
func (t *Table) RequiresKeys() bool { return len(t.Accounts) > 0 }

// Holder holds the configuration in force; the zero value holds none.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Table]
}

// Table returns the configuration in force, or nil before the first one.
func (h *Holder) Table() *Table { return h.current.Load() }

// Adopt puts a configuration in force and reports true, unless the same or a higher
// version is in force already. Peers and late responses of the store can deliver an
// older version, which would bring back revoked keys. So can a store restored from an
// older copy: its revisions belong to a later era, but its versions may be lower. If
// the version in force arrives from a later era, only the item is updated.
func (h *Holder) Adopt(c Config, item pkstore.Item) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, rev := h.current.Load(), item.Revision
	switch {
	case current == nil:
	case c.Version == current.Version && rev.Era() > current.Item.Revision.Era():
		updated := *current
		updated.Item = item
		h.current.Store(&updated)
		return false
	case c.Version <= current.Version, rev.Era() == current.Item.Revision.Era() && rev <= current.Item.Revision:
		return false
	}
	h.current.Store(NewTable(c, item))
	return true
}

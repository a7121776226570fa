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

// Table is a configuration made ready for look-ups; it does not change.
type Table struct {
	Config
	// Item is the configuration as the store has it, for entries that lack it.
	Item     pkstore.Item
	routes   map[string][]*Route
	accounts map[string]*Account
	services map[pkid.ServiceID]*Service
}

// NewTable returns the table of a configuration, which the store has in an item.
func NewTable(c Config, item pkstore.Item) *Table {
	t := &Table{
		Config:   c,
		Item:     item,
		routes:   map[string][]*Route{},
		accounts: map[string]*Account{},
		services: map[pkid.ServiceID]*Service{},
	}
	for i := range t.Routes {
		one := &t.Routes[i]
		t.routes[one.Host] = append(t.routes[one.Host], one)
	}
	for _, all := range t.routes {
		slices.SortStableFunc(all, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Accounts {
		for _, key := range t.Accounts[i].Keys {
			t.accounts[key] = &t.Accounts[i]
		}
	}
	for i := range t.Services {
		t.services[t.Services[i].ID] = &t.Services[i]
	}
	return t
}

// Route returns the route of host with the longest prefix that begins path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, one := range t.routes[host] {
		if strings.HasPrefix(path, one.Prefix) {
			return one, true
		}
	}
	return nil, false
}

// Account returns the client account that holds an API key.
func (t *Table) Account(key string) (*Account, bool) {
	a, found := t.accounts[key]
	return a, found
}

// Service returns a service.
func (t *Table) Service(id pkid.ServiceID) (*Service, bool) {
	s, found := t.services[id]
	return s, found
}

// Keyed says whether requests carry API keys at all.
func (t *Table) Keyed() bool { return len(t.Accounts) > 0 }

// Book holds the configuration in force; the zero value holds none.
type Book struct {
	mu  sync.Mutex
	now atomic.Pointer[Table]
}

// Table returns the configuration in force, or nil while none is known.
func (b *Book) Table() *Table { return b.now.Load() }

// Adopt puts a configuration in force unless one of the same or a higher version
// is. Sources overtake each other: a peer or a late answer of the store can bring
// an older version after a newer one, and a key that was taken away would serve
// again. So can a store that has come back from an older copy, until the operators
// have written again what it lost; what it names later in its order is none the newer.
func (b *Book) Adopt(c Config, item pkstore.Item) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, rev := b.now.Load(), item.Revision
	switch {
	case now == nil:
	case c.Version == now.Version && rev.Era() > now.Item.Revision.Era():
		again := *now
		again.Item = item
		b.now.Store(&again)
		return false
	case c.Version <= now.Version, rev.Era() == now.Item.Revision.Era() && rev <= now.Item.Revision:
		return false
	}
	b.now.Store(NewTable(c, item))
	return true
}

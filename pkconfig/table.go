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
	// Revision is the store's revision of the configuration.
	Revision pkstore.Revision
	routes   map[string][]*Route
	accounts map[string]*Account
	services map[pkid.ServiceID]*Service
}

// NewTable returns the table of a configuration.
func NewTable(c Config, rev pkstore.Revision) *Table {
	t := &Table{
		Config:   c,
		Revision: rev,
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
func (b *Book) Adopt(c Config, rev pkstore.Revision) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now.Load()
	switch {
	case now == nil:
	case c.Version == now.Version && rev.Era() > now.Revision.Era():
		again := *now
		again.Revision = rev
		b.now.Store(&again)
		return false
	case c.Version <= now.Version, rev.Era() == now.Revision.Era() && rev <= now.Revision:
		return false
	}
	b.now.Store(NewTable(c, rev))
	return true
}

package pkmanifest

import (
	"slices"

	"peridotknot.example/pkid"
)

// View is a manifest in force, indexed for lookups on the request path. It is
// immutable; a new revision gets a new View.
type View struct {
	Manifest Manifest
	Revision pkid.Revision
	Digest   Digest

	keys     map[pkid.KeyID]keyOwner
	models   map[pkid.ModelID]*Model
	services map[pkid.ServiceID]*Service
}

type keyOwner struct {
	key     Key
	account *Account
}

// NewView indexes a validated manifest.
func NewView(m Manifest, rev pkid.Revision, digest Digest) *View {
	v := &View{
		Manifest: m,
		Revision: rev,
		Digest:   digest,
		keys:     map[pkid.KeyID]keyOwner{},
		models:   map[pkid.ModelID]*Model{},
		services: map[pkid.ServiceID]*Service{},
	}
	for i := range m.Models {
		v.models[m.Models[i].ID] = &m.Models[i]
	}
	for i := range m.Services {
		v.services[m.Services[i].ID] = &m.Services[i]
	}
	for i := range m.Accounts {
		for _, k := range m.Accounts[i].Keys {
			v.keys[k.ID] = keyOwner{key: k, account: &m.Accounts[i]}
		}
	}
	return v
}

// Account returns the account that an API key belongs to.
func (v *View) Account(key string) (*Account, bool) {
	id, secret, err := SplitKey(key)
	if err != nil {
		return nil, false
	}
	owner, found := v.keys[id]
	if !found || !owner.key.Matches(secret) {
		return nil, false
	}
	return owner.account, true
}

// Model returns a model that the account may use.
func (v *View) Model(a *Account, id pkid.ModelID) (*Model, bool) {
	// A model that the account may not use is reported as not found, so that
	// the names of other accounts' models cannot be probed.
	if !slices.Contains(a.Models, id) {
		return nil, false
	}
	m, found := v.models[id]
	return m, found
}

// Service returns a service that the account may use.
func (v *View) Service(a *Account, id pkid.ServiceID) (*Service, bool) {
	if !slices.Contains(a.Services, id) {
		return nil, false
	}
	s, found := v.services[id]
	return s, found
}

// Pools returns the pools that the manifest names, sorted and without duplicates.
func (v *View) Pools() []pkid.PoolID {
	var out []pkid.PoolID
	for _, m := range v.Manifest.Models {
		out = append(out, m.Pool)
	}
	for _, s := range v.Manifest.Services {
		out = append(out, s.Pool)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

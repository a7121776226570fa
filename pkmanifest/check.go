package pkmanifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"peridotknot.example/pkid"
	"peridotknot.example/pkyaml"
)

// Digest is the SHA-256 of a manifest's body in hexadecimal.
type Digest string

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// Parse decodes and validates a manifest; the error is a pkyaml.Faults with all
// faults of the file.
func Parse(file string, body []byte) (Manifest, error) {
	m, doc, err := pkyaml.Decode[Manifest](file, body)
	if err != nil {
		return m, err
	}
	c := checker{pkyaml.Checker{Doc: doc}}
	c.header(m)
	c.models(m)
	c.services(m)
	c.accounts(m)
	return m, c.Err()
}

type checker struct{ pkyaml.Checker }

func (c *checker) header(m Manifest) {
	c.Want(m.Schema == Schema, fmt.Sprintf("schema is %d, this build supports %d", m.Schema, Schema), "schema")
	c.Want(m.Name != "", "name is missing", "name")
	l := m.Limits
	c.Want(l.DefaultDeadline > 0, "default_deadline is missing or not above zero", "limits", "default_deadline")
	c.Want(l.MaxDeadline >= l.DefaultDeadline, "max_deadline is below default_deadline", "limits", "max_deadline")
	c.Want(l.MaxBody > 0, "max_body is missing or not above zero", "limits", "max_body")
	c.Want(l.MaxPromptTokens > 0, "max_prompt_tokens is missing or not above zero", "limits", "max_prompt_tokens")
	c.Want(l.MaxOutputTokens > 0, "max_output_tokens is missing or not above zero", "limits", "max_output_tokens")
}

func (c *checker) models(m Manifest) {
	seen := map[pkid.ModelID]bool{}
	for i, model := range m.Models {
		c.Want(model.ID != "", "id is missing", "models", i)
		c.Want(!seen[model.ID], fmt.Sprintf("model %q is declared twice", model.ID), "models", i, "id")
		seen[model.ID] = true
		c.Want(model.Version != "", "version is missing", "models", i)
		c.Want(model.Pool != "", "pool is missing", "models", i)
		c.Want(model.Layers > 0, "layers is missing or not above zero", "models", i, "layers")
		c.Want(model.MaxConcurrentLoads > 0, "loads_at_once is missing or not above zero", "models", i)
		c.splits(i, model)
	}
}

// splits checks that every split is part of a chain that covers each layer exactly
// once. Splits may overlap each other, since a pool can have several chains, but
// targets of a split that is in no chain would never serve.
func (c *checker) splits(i int, m Model) {
	c.Want(len(m.Splits) > 0, "splits is missing", "models", i)
	startReaches := map[pkid.Layer]bool{0: true}
	reachesEnd := map[pkid.Layer]bool{m.Layers: true}
	// Each round adds at least one boundary per map until none is left to add.
	for range m.Splits {
		for _, s := range m.Splits {
			if startReaches[s.First] && s.End > s.First {
				startReaches[s.End] = true
			}
			if reachesEnd[s.End] && s.End > s.First {
				reachesEnd[s.First] = true
			}
		}
	}
	for j, s := range m.Splits {
		path := []any{"models", i, "splits", j}
		switch {
		case s.First < 0 || s.End <= s.First || s.End > m.Layers:
			c.Say(fmt.Sprintf("layers %d to %d are not a range within 0 to %d", s.First, s.End, m.Layers), path...)
		case !startReaches[s.First]:
			c.Say(fmt.Sprintf("no chain of splits covers layers 0 to %d: there is a gap or an overlap", s.First), path...)
		case !reachesEnd[s.End]:
			c.Say(fmt.Sprintf("no chain of splits covers layers %d to %d: there is a gap or an overlap", s.End, m.Layers), path...)
		}
		c.Want(s.Weight > 0, "weight is missing or not above zero", path...)
	}
}

func (c *checker) services(m Manifest) {
	seen := map[pkid.ServiceID]bool{}
	for i, service := range m.Services {
		c.Want(service.ID != "", "id is missing", "services", i)
		c.Want(!seen[service.ID], fmt.Sprintf("service %q is declared twice", service.ID), "services", i, "id")
		seen[service.ID] = true
		c.Want(service.Pool != "", "pool is missing", "services", i)
		for j, r := range service.Idempotent {
			c.Want(r.Method != "", "method is missing", "services", i, "idempotent", j)
			c.Want(r.Prefix != "" && r.Prefix[0] == '/', "prefix must begin with /", "services", i, "idempotent", j)
		}
	}
}

func (c *checker) accounts(m Manifest) {
	models := ids(m.Models, func(o Model) pkid.ModelID { return o.ID })
	services := ids(m.Services, func(o Service) pkid.ServiceID { return o.ID })
	seen := map[pkid.AccountID]bool{}
	keys := map[pkid.KeyID]bool{}
	for i, account := range m.Accounts {
		c.Want(account.ID != "", "id is missing", "accounts", i)
		c.Want(!seen[account.ID], fmt.Sprintf("account %q is declared twice", account.ID), "accounts", i, "id")
		seen[account.ID] = true
		c.Want(account.Weight > 0, "weight is missing or not above zero", "accounts", i)
		c.Want(account.MaxInFlight > 0, "max_in_flight is missing or not above zero", "accounts", i)
		c.Want(len(account.Keys) > 0, "keys is missing", "accounts", i)
		for j, k := range account.Keys {
			c.Want(k.ID != "" && k.Salt != "" && len(k.Hash) == 2*sha256.Size, "a key needs id, salt and a hexadecimal SHA-256 hash", "accounts", i, "keys", j)
			c.Want(!keys[k.ID], fmt.Sprintf("key %q is declared twice", k.ID), "accounts", i, "keys", j)
			keys[k.ID] = true
		}
		for j, id := range account.Models {
			c.Want(slices.Contains(models, id), fmt.Sprintf("model %q is not declared", id), "accounts", i, "models", j)
		}
		for j, id := range account.Services {
			c.Want(slices.Contains(services, id), fmt.Sprintf("service %q is not declared", id), "accounts", i, "services", j)
		}
	}
}

func ids[T any, I comparable](all []T, id func(T) I) []I {
	out := make([]I, len(all))
	for i, v := range all {
		out[i] = id(v)
	}
	return out
}

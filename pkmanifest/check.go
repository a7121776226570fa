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
	c.Require(m.Schema == Schema, fmt.Sprintf("schema is %d, this build supports %d", m.Schema, Schema), "schema")
	c.Require(m.Name != "", "name is missing", "name")
	l := m.Limits
	c.Require(l.DefaultDeadline > 0, "default_deadline is missing or not above zero", "limits", "default_deadline")
	c.Require(l.MaxDeadline >= l.DefaultDeadline, "max_deadline is below default_deadline", "limits", "max_deadline")
	c.Require(l.MaxBody > 0, "max_body is missing or not above zero", "limits", "max_body")
	c.Require(l.MaxPromptTokens > 0, "max_prompt_tokens is missing or not above zero", "limits", "max_prompt_tokens")
	c.Require(l.MaxOutputTokens > 0, "max_output_tokens is missing or not above zero", "limits", "max_output_tokens")
}

func (c *checker) models(m Manifest) {
	seen := map[pkid.ModelID]bool{}
	for i, model := range m.Models {
		c.Require(model.ID != "", "id is missing", "models", i)
		c.Require(!seen[model.ID], fmt.Sprintf("model %q is declared twice", model.ID), "models", i, "id")
		seen[model.ID] = true
		c.Require(model.Version != "", "version is missing", "models", i)
		c.Require(model.Pool != "", "pool is missing", "models", i)
		c.Require(model.Layers > 0, "layers is missing or not above zero", "models", i, "layers")
		c.Require(model.MaxConcurrentLoads > 0, "loads_at_once is missing or not above zero", "models", i)
		c.splits(i, model)
	}
}

// splits checks that every split is part of a chain that covers each layer exactly
// once. Splits may overlap each other, since a pool can have several chains, but
// targets of a split that is in no chain would never serve.
func (c *checker) splits(i int, m Model) {
	c.Require(len(m.Splits) > 0, "splits is missing", "models", i)
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
			c.Report(fmt.Sprintf("layers %d to %d are not a range within 0 to %d", s.First, s.End, m.Layers), path...)
		case !startReaches[s.First]:
			c.Report(fmt.Sprintf("no chain of splits covers layers 0 to %d: there is a gap or an overlap", s.First), path...)
		case !reachesEnd[s.End]:
			c.Report(fmt.Sprintf("no chain of splits covers layers %d to %d: there is a gap or an overlap", s.End, m.Layers), path...)
		}
		c.Require(s.Weight > 0, "weight is missing or not above zero", path...)
	}
}

func (c *checker) services(m Manifest) {
	seen := map[pkid.ServiceID]bool{}
	for i, service := range m.Services {
		c.Require(service.ID != "", "id is missing", "services", i)
		c.Require(!seen[service.ID], fmt.Sprintf("service %q is declared twice", service.ID), "services", i, "id")
		seen[service.ID] = true
		c.Require(service.Pool != "", "pool is missing", "services", i)
		for j, r := range service.Idempotent {
			c.Require(r.Method != "", "method is missing", "services", i, "idempotent", j)
			c.Require(r.Prefix != "" && r.Prefix[0] == '/', "prefix must begin with /", "services", i, "idempotent", j)
		}
	}
}

func (c *checker) accounts(m Manifest) {
	models := ids(m.Models, func(o Model) pkid.ModelID { return o.ID })
	services := ids(m.Services, func(o Service) pkid.ServiceID { return o.ID })
	seen := map[pkid.AccountID]bool{}
	keys := map[pkid.KeyID]bool{}
	for i, account := range m.Accounts {
		c.Require(account.ID != "", "id is missing", "accounts", i)
		c.Require(!seen[account.ID], fmt.Sprintf("account %q is declared twice", account.ID), "accounts", i, "id")
		seen[account.ID] = true
		c.Require(account.Weight > 0, "weight is missing or not above zero", "accounts", i)
		c.Require(account.MaxInFlight > 0, "max_in_flight is missing or not above zero", "accounts", i)
		c.Require(len(account.Keys) > 0, "keys is missing", "accounts", i)
		for j, k := range account.Keys {
			c.Require(k.ID != "" && k.Salt != "" && len(k.Hash) == 2*sha256.Size, "a key needs id, salt and a hexadecimal SHA-256 hash", "accounts", i, "keys", j)
			c.Require(!keys[k.ID], fmt.Sprintf("key %q is declared twice", k.ID), "accounts", i, "keys", j)
			keys[k.ID] = true
		}
		for j, id := range account.Models {
			c.Require(slices.Contains(models, id), fmt.Sprintf("model %q is not declared", id), "accounts", i, "models", j)
		}
		for j, id := range account.Services {
			c.Require(slices.Contains(services, id), fmt.Sprintf("service %q is not declared", id), "accounts", i, "services", j)
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

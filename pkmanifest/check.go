package pkmanifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"peridotknot.example/pkid"
	"peridotknot.example/pkyaml"
)

// Digest is the SHA-256 of a manifest's body, in hex.
type Digest string

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// Parse reads and checks a manifest; the error is a pkyaml.Faults with every
// fault of the file.
func Parse(file string, body []byte) (Manifest, error) {
	m, doc, err := pkyaml.Decode[Manifest](file, body)
	if err != nil {
		return m, err
	}
	c := checker{pkyaml.Checker{Doc: doc}}
	c.head(m)
	c.models(m)
	c.services(m)
	c.accounts(m)
	return m, c.Err()
}

type checker struct{ pkyaml.Checker }

func (c *checker) head(m Manifest) {
	c.Want(m.Schema == Schema, fmt.Sprintf("schema is %d, this build reads %d", m.Schema, Schema), "schema")
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
	for i, one := range m.Models {
		c.Want(one.ID != "", "id is missing", "models", i)
		c.Want(!seen[one.ID], fmt.Sprintf("model %q stands twice", one.ID), "models", i, "id")
		seen[one.ID] = true
		c.Want(one.Version != "", "version is missing", "models", i)
		c.Want(one.Pool != "", "pool is missing", "models", i)
		c.Want(one.Layers > 0, "layers is missing or not above zero", "models", i, "layers")
		c.Want(one.LoadsAtOnce > 0, "loads_at_once is missing or not above zero", "models", i)
		c.splits(i, one)
	}
}

// splits checks that the ranges can be joined into chains that hold each layer
// once. Ranges may overlap, since pools are split unevenly, but one that no
// chain can use would hold a target that never serves.
func (c *checker) splits(i int, m Model) {
	c.Want(len(m.Splits) > 0, "splits is missing", "models", i)
	fromStart := map[pkid.Layer]bool{0: true}
	toEnd := map[pkid.Layer]bool{m.Layers: true}
	// Every useful split settles at least one boundary a round.
	for range m.Splits {
		for _, s := range m.Splits {
			if fromStart[s.First] && s.End > s.First {
				fromStart[s.End] = true
			}
			if toEnd[s.End] && s.End > s.First {
				toEnd[s.First] = true
			}
		}
	}
	for j, s := range m.Splits {
		path := []any{"models", i, "splits", j}
		switch {
		case s.First < 0 || s.End <= s.First || s.End > m.Layers:
			c.Say(fmt.Sprintf("layers %d to %d are not a range within 0 to %d", s.First, s.End, m.Layers), path...)
		case !fromStart[s.First]:
			c.Say(fmt.Sprintf("no splits join layer 0 to layer %d: there is a gap or an overlap before it", s.First), path...)
		case !toEnd[s.End]:
			c.Say(fmt.Sprintf("no splits join layer %d to layer %d: there is a gap or an overlap after it", s.End, m.Layers), path...)
		}
		c.Want(s.Weight > 0, "weight is missing or not above zero", path...)
	}
}

func (c *checker) services(m Manifest) {
	seen := map[pkid.ServiceID]bool{}
	for i, one := range m.Services {
		c.Want(one.ID != "", "id is missing", "services", i)
		c.Want(!seen[one.ID], fmt.Sprintf("service %q stands twice", one.ID), "services", i, "id")
		seen[one.ID] = true
		c.Want(one.Pool != "", "pool is missing", "services", i)
		for j, r := range one.Idempotent {
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
	for i, one := range m.Accounts {
		c.Want(one.ID != "", "id is missing", "accounts", i)
		c.Want(!seen[one.ID], fmt.Sprintf("account %q stands twice", one.ID), "accounts", i, "id")
		seen[one.ID] = true
		c.Want(one.Weight > 0, "weight is missing or not above zero", "accounts", i)
		c.Want(one.MaxInFlight > 0, "max_in_flight is missing or not above zero", "accounts", i)
		c.Want(len(one.Keys) > 0, "keys is missing", "accounts", i)
		for j, k := range one.Keys {
			c.Want(k.ID != "" && k.Salt != "" && len(k.Hash) == 2*sha256.Size, "a key needs id, salt and a SHA-256 hash", "accounts", i, "keys", j)
			c.Want(!keys[k.ID], fmt.Sprintf("key %q stands twice", k.ID), "accounts", i, "keys", j)
			keys[k.ID] = true
		}
		for j, id := range one.Models {
			c.Want(slices.Contains(models, id), fmt.Sprintf("model %q is not declared", id), "accounts", i, "models", j)
		}
		for j, id := range one.Services {
			c.Want(slices.Contains(services, id), fmt.Sprintf("service %q is not declared", id), "accounts", i, "services", j)
		}
	}
}

func ids[T any, I comparable](all []T, id func(T) I) []I {
	out := make([]I, len(all))
	for i, one := range all {
		out[i] = id(one)
	}
	return out
}

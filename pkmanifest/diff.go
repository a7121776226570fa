package pkmanifest

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Change is one difference between two manifests.
type Change struct {
	// Op is added, removed or changed.
	Op string `json:"op"`
	// Item names the changed part, as in "model budget-de".
	Item string `json:"item"`
}

// Diff returns the changes from a to b, sorted by item.
func Diff(a, b Manifest) []Change {
	before, after := items(a), items(b)
	var out []Change
	for item, encoded := range after {
		old, found := before[item]
		switch {
		case !found:
			out = append(out, Change{Op: "added", Item: item})
		case old != encoded:
			out = append(out, Change{Op: "changed", Item: item})
		}
	}
	for item := range before {
		if _, found := after[item]; !found {
			out = append(out, Change{Op: "removed", Item: item})
		}
	}
	slices.SortFunc(out, func(x, y Change) int {
		if x.Item < y.Item {
			return -1
		}
		return 1
	})
	return out
}

// items returns the JSON encoding of each part of m by item name.
func items(m Manifest) map[string]string {
	out := map[string]string{"name": m.Name, "limits": encode(m.Limits)}
	for _, model := range m.Models {
		out[fmt.Sprintf("model %s", model.ID)] = encode(model)
	}
	for _, service := range m.Services {
		out[fmt.Sprintf("service %s", service.ID)] = encode(service)
	}
	for _, account := range m.Accounts {
		out[fmt.Sprintf("account %s", account.ID)] = encode(account)
	}
	return out
}

func encode(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

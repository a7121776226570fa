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
	// Item names what differs, as in "model budget-de".
	Item string `json:"item"`
}

// Diff returns what differs from a to b, in order of item.
func Diff(a, b Manifest) []Change {
	was, is := items(a), items(b)
	var out []Change
	for item, text := range is {
		old, found := was[item]
		switch {
		case !found:
			out = append(out, Change{Op: "added", Item: item})
		case old != text:
			out = append(out, Change{Op: "changed", Item: item})
		}
	}
	for item := range was {
		if _, found := is[item]; !found {
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

func items(m Manifest) map[string]string {
	out := map[string]string{"name": m.Name, "limits": text(m.Limits)}
	for _, one := range m.Models {
		out[fmt.Sprintf("model %s", one.ID)] = text(one)
	}
	for _, one := range m.Services {
		out[fmt.Sprintf("service %s", one.ID)] = text(one)
	}
	for _, one := range m.Accounts {
		out[fmt.Sprintf("account %s", one.ID)] = text(one)
	}
	return out
}

func text(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

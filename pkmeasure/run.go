package pkmeasure

import (
	"context"
	"fmt"
)

// Names lists what can be measured, in the order of a whole run.
var Names = []string{"replicas", "accounts", "datapath", "control", "changes"}

var measurements = map[string]func(context.Context, func(string)) ([]Series, error){
	"replicas": replicas,
	"accounts": accounts,
	"datapath": dataPath,
	"control":  control,
	"changes":  changes,
}

// Run measures what is named; say is told what is being done.
func Run(ctx context.Context, names []string, say func(string)) ([]Series, error) {
	var out []Series
	for _, name := range names {
		measure, found := measurements[name]
		if !found {
			return nil, fmt.Errorf("there is no measurement %q; there are %v", name, Names)
		}
		series, err := measure(ctx, say)
		if err != nil {
			return nil, fmt.Errorf("measure %s: %w", name, err)
		}
		out = append(out, series...)
	}
	return out, nil
}

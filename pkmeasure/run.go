package pkmeasure

import (
	"context"
	"fmt"
)

// Names lists the measurements in the order of a full run.
var Names = []string{"replicas", "accounts", "datapath", "control", "changes"}

var measurements = map[string]func(context.Context, func(string)) ([]Series, error){
	"replicas": measureReplicas,
	"accounts": measureAccounts,
	"datapath": measureDataPath,
	"control":  measureControl,
	"changes":  measureChanges,
}

// Run runs the named measurements. It reports each step to progress.
func Run(ctx context.Context, names []string, progress func(string)) ([]Series, error) {
	var out []Series
	for _, name := range names {
		measure, found := measurements[name]
		if !found {
			return nil, fmt.Errorf("unknown measurement %q; available: %v", name, Names)
		}
		series, err := measure(ctx, progress)
		if err != nil {
			return nil, fmt.Errorf("measure %s: %w", name, err)
		}
		out = append(out, series...)
	}
	return out, nil
}

package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/pprof"

	"github.com/jessevdk/go-flags"

	"peridotknot.example/pkmeasure"
)

func addMeasure(p *flags.Parser) error {
	return addCommand(p, "measure", "measure the cost of the router along one dimension at a time", &measureCommand{})
}

type measureCommand struct {
	What  []string `long:"what" description:"what to measure: replicas, accounts, datapath, control or changes; all if not given"`
	Out   string   `long:"out" default:"measured.jsonl" description:"file to write the series to, JSON lines"`
	Table string   `long:"table" description:"file of series to print the capacity table of; nothing is measured"`
	Plots string   `long:"plots" description:"folder for the SVG plots, one per series"`
	// Profile covers the whole process with entry, stand-ins and callers.
	Profile string `long:"profile" description:"file for a CPU profile of the run"`
}

// Execute measures and prints the fitted series, or prints the capacity table of a file.
func (c *measureCommand) Execute([]string) error {
	if c.Table != "" {
		return c.table()
	}
	ctx, cancel := interruptContext()
	defer cancel()
	names := c.What
	if len(names) == 0 {
		names = pkmeasure.Names
	}
	stop, err := c.profile()
	if err != nil {
		return err
	}
	defer stop()
	series, err := pkmeasure.Run(ctx, names, func(step string) { fmt.Fprintln(os.Stderr, step) })
	if err != nil {
		return err
	}
	for _, s := range series {
		fmt.Printf("%-36s slope %.6g at 0 %.6g residual %.1f%% (%s by %s)\n", s.Name, s.Slope, s.Intercept, 100*s.Residual, s.Y, s.X)
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return badInput("%w", err)
	}
	return errors.Join(pkmeasure.Write(f, series), f.Close(), c.plot(series))
}

func (c *measureCommand) profile() (func(), error) {
	if c.Profile == "" {
		return func() {}, nil
	}
	f, err := os.Create(c.Profile)
	if err != nil {
		return nil, badInput("%w", err)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close() // an incomplete profile does not fail the measurement
	}, nil
}

func (c *measureCommand) plot(series []pkmeasure.Series) error {
	if c.Plots == "" {
		return nil
	}
	return pkmeasure.Plot(c.Plots, series)
}

func (c *measureCommand) table() error {
	f, err := os.Open(c.Table)
	if err != nil {
		return badInput("%w", err)
	}
	defer func() { _ = f.Close() }()
	series, err := pkmeasure.Read(f)
	if err != nil {
		return badInput("%w", err)
	}
	table, err := pkmeasure.Table(series)
	if err != nil {
		return badInput("%w", err)
	}
	fmt.Print(table)
	return nil
}

package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"peridotknot.example/pkid"
	"peridotknot.example/pksample"
	"peridotknot.example/pktrace"
)

func addTrace(p *flags.Parser) error {
	c, err := p.AddCommand("trace", "generate traces", "generate traces", &commandGroup{})
	if err != nil {
		return err
	}
	return addCommand(c, "make", "print the trace generated from the profile of a sample", &traceMake{})
}

type traceMake struct {
	Sample string `long:"sample" choice:"aare" choice:"glenmore" required:"yes" description:"sample whose profile is used"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of the random number generator"`
	Calm   bool   `long:"calm" description:"leave out the faults"`
}

// Execute prints the trace.
func (c *traceMake) Execute([]string) error {
	lines, err := pksample.Make(c.Sample, c.Seed, c.Calm)
	if err != nil {
		return badInput("%w", err)
	}
	return pktrace.Write(os.Stdout, lines)
}

// firstModel returns the model of the first model request, or an empty ID.
func firstModel(lines []pktrace.Line) pkid.ModelID {
	for _, l := range lines {
		if l.Kind == pktrace.KindModel {
			return l.Model
		}
	}
	return ""
}

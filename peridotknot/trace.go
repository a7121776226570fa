package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"peridotknot.example/pkid"
	"peridotknot.example/pksample"
	"peridotknot.example/pktrace"
)

func addTrace(p *flags.Parser) error {
	c, err := p.AddCommand("trace", "make traces", "make traces", &none{})
	if err != nil {
		return err
	}
	return add(c, "make", "print the trace of a sample's profile", &traceMake{})
}

type traceMake struct {
	Sample string `long:"sample" choice:"aare" choice:"glenmore" required:"yes" description:"whose profile"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of the random numbers"`
	Calm   bool   `long:"calm" description:"leave the faults out"`
}

// Execute runs the command.
func (c *traceMake) Execute([]string) error {
	lines, err := pksample.Make(c.Sample, c.Seed, c.Calm)
	if err != nil {
		return bad("%w", err)
	}
	return pktrace.Write(os.Stdout, lines)
}

func modelOf(lines []pktrace.Line) pkid.ModelID {
	for _, l := range lines {
		if l.Kind == pktrace.KindModel {
			return l.Model
		}
	}
	return ""
}

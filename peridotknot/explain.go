package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"peridotknot.example/pkexplain"
)

// explainCommand explains the handling of a request, or summarizes all streams, from entry logs.
type explainCommand struct {
	Log        string        `long:"log" required:"yes" description:"log file of the entry that served the request, or - for standard input; with --summary the concatenated logs of all entries"`
	Summary    bool          `long:"summary" description:"summarize all streams: late ones by cause and by time, the share of streams that each engine serves, and the accounts and routes served worst"`
	FirstEvent time.Duration `long:"first-event" default:"500ms" description:"with --summary: time to the first event above which a stream is late"`
	Pause      time.Duration `long:"pause" default:"200ms" description:"with --summary: time between two events above which a stream is late"`
	Span       time.Duration `long:"span" default:"2s" description:"with --summary: length of the interval that a line of the table covers"`
	Args       struct {
		Request string `positional-arg-name:"REQUEST_ID"`
	} `positional-args:"yes"`
}

func addExplain(p *flags.Parser) error {
	return addCommand(p, "explain", "explain how a request was handled, or summarize all streams, from the logs of entries", &explainCommand{})
}

// Execute prints the explanation or the summary.
func (c *explainCommand) Execute([]string) error {
	switch {
	case c.Summary == (c.Args.Request != ""):
		return badInput("explain needs either a request id or --summary")
	case c.Span <= 0:
		return badInput("--span must be positive")
	}
	in := os.Stdin
	if c.Log != "-" {
		file, err := os.Open(c.Log)
		if err != nil {
			return badInput("--log: %w", err)
		}
		defer func() { _ = file.Close() }() // opened for reading only
		in = file
	}
	if c.Summary {
		return c.summarize(in)
	}
	explanation, err := pkexplain.Read(in, c.Args.Request)
	if errors.Is(err, pkexplain.ErrUnknown) {
		return badInput("%s: %w", c.Args.Request, err)
	}
	if err != nil {
		return err
	}
	if options.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(explanation)
	}
	return writeExplanation(os.Stdout, explanation)
}

func (c *explainCommand) summarize(log io.Reader) error {
	s, err := pkexplain.Summarize(log, pkexplain.Thresholds{FirstEvent: c.FirstEvent, Pause: c.Pause}, c.Span)
	if err != nil {
		return err
	}
	if options.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	return s.WriteText(os.Stdout)
}

func writeExplanation(w io.Writer, e pkexplain.Explanation) error {
	for _, l := range e.Lines {
		var fields strings.Builder
		for _, f := range l.Fields {
			fmt.Fprintf(&fields, " %s=%q", f.Name, f.Value)
		}
		if _, err := fmt.Fprintf(w, "%s %-13s %s%s\n", l.At.Format("15:04:05.000"), l.Why, l.Message, fields.String()); err != nil {
			return err
		}
	}
	if e.Wait != nil {
		if err := e.Wait.WriteText(w); err != nil {
			return err
		}
	}
	if e.Unreadable > 0 {
		_, err := fmt.Fprintf(w, "%d lines were not readable\n", e.Unreadable)
		return err
	}
	return nil
}

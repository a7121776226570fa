package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"go.yaml.in/yaml/v3"

	"peridotknot.example/pkid"
	"peridotknot.example/pkstandin"
	"peridotknot.example/pktrace"
)

func addReplay(p *flags.Parser) error {
	return addCommand(p, "replay", "replay a trace and compare the results with a stated outcome", &replayCommand{})
}

type replayCommand struct {
	Trace    string   `long:"trace" required:"yes" description:"trace file, JSON lines"`
	Expect   string   `long:"expect" required:"yes" description:"stated outcome, YAML"`
	Keys     string   `long:"keys" required:"yes" description:"YAML file of API keys by account"`
	Entries  []string `long:"entry" required:"yes" description:"address of an entry for callers, or CALLERS,ADMIN; may be repeated"`
	Standins string   `long:"standins" description:"admin address of the stand-ins, for injecting faults and reading the ledger of runs"`
	Capacity float64  `long:"capacity" description:"tokens per second that the engines can generate"`
	Speed    float64  `long:"speed" default:"1" description:"factor by which the recorded times are sped up"`
	Report   string   `long:"report" default:"report" description:"folder for the JSON and HTML reports"`
}

// Execute replays the trace, prints and writes the report, and fails if the stated outcome does not
// hold.
func (c *replayCommand) Execute([]string) error {
	ctx, cancel := interruptContext()
	defer cancel()
	r := pktrace.Replay{Inject: c.inject, Progress: progress("replay"), Speed: c.Speed, Keys: map[pkid.AccountID]string{}}
	expect, err := c.read(&r)
	if err != nil {
		return err
	}
	var entries []pktrace.Address
	for _, e := range c.Entries {
		callers, admin, _ := strings.Cut(e, ",")
		entries = append(entries, pktrace.Address{Callers: callers, Admin: admin})
	}
	r.Entries = func() []pktrace.Address { return entries }
	out, err := r.Run(ctx)
	fmt.Fprintln(os.Stderr)
	if err != nil {
		return err
	}
	ledger, err := c.ledger(ctx)
	if err != nil {
		return err
	}
	report := pktrace.Evaluate("replay", out, ledger, expect, c.Capacity)
	if err := printReport(&report); err != nil {
		return err
	}
	if err := writeReports(c.Report, &report); err != nil {
		return err
	}
	if !report.Held() {
		return errReported
	}
	return nil
}

func (c *replayCommand) read(r *pktrace.Replay) (pktrace.Expect, error) {
	raw, err := os.ReadFile(c.Trace)
	if err != nil {
		return pktrace.Expect{}, badInput("%w", err)
	}
	if r.Lines, err = pktrace.Read(c.Trace, bytes.NewReader(raw)); err != nil {
		return pktrace.Expect{}, badInput("%w", err)
	}
	keys, err := os.ReadFile(c.Keys)
	if err != nil {
		return pktrace.Expect{}, badInput("%w", err)
	}
	if err := yaml.Unmarshal(keys, &r.Keys); err != nil {
		return pktrace.Expect{}, badInput("%s: %w", c.Keys, err)
	}
	rawExpect, err := os.ReadFile(c.Expect)
	if err != nil {
		return pktrace.Expect{}, badInput("%w", err)
	}
	return pktrace.ParseExpect(c.Expect, rawExpect)
}

func (c *replayCommand) inject(f pktrace.Fault) error {
	if c.Standins == "" {
		return fmt.Errorf("the trace has faults: name the stand-ins with --standins")
	}
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Standins+pkstandin.PathFaults, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the stand-ins answered %d", resp.StatusCode)
	}
	return nil
}

func (c *replayCommand) ledger(ctx context.Context) (pktrace.Ledger, error) {
	var l pktrace.Ledger
	if c.Standins == "" {
		return l, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Standins+pkstandin.PathLedger, http.NoBody)
	if err != nil {
		return l, badInput("%w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return l, fmt.Errorf("read ledger: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

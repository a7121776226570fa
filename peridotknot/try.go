package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"peridotknot.example/pkentry"
	"peridotknot.example/pklab"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkroute"
	"peridotknot.example/pksample"
	"peridotknot.example/pkstandin"
	"peridotknot.example/pktrace"
)

// tryCommand runs the samples in this process.
type tryCommand struct {
	Keep    bool    `long:"keep" description:"keep the deployment of the first sample running until interrupted"`
	Sample  string  `long:"sample" choice:"aare" choice:"glenmore" description:"run only this sample"`
	Entries int     `long:"entries" default:"3" description:"number of entry daemons"`
	Calm    bool    `long:"calm" description:"leave out the faults"`
	Only    string  `long:"only" description:"inject only the faults of this name"`
	Speed   float64 `long:"speed" default:"1" description:"factor by which the recorded times are sped up, to cause overload"`
	Alone   bool    `long:"alone" description:"entries share no state with each other, for comparison"`
	Policy  string  `long:"policy" choice:"" choice:"random" choice:"best_of_two" choice:"least_connections" description:"policy for choosing targets, for comparison"`
	Report  string  `long:"report" default:"report" description:"folder for the JSON and HTML reports"`
	Verbose bool    `long:"verbose" description:"write the logs of the entries to standard error"`
}

const startTimeout = 15 * time.Second

func addTry(p *flags.Parser) error {
	return addCommand(p, "try", "run stand-ins and entries in one process and replay the traces of both users", &tryCommand{})
}

// Execute replays the samples and fails if a stated outcome does not hold.
func (c *tryCommand) Execute([]string) error {
	if c.Entries < 1 {
		return badInput("--entries must be at least 1")
	}
	ctx, cancel := interruptContext()
	defer cancel()
	names := pksample.Names
	if c.Sample != "" {
		names = []string{c.Sample}
	}
	if c.Keep {
		return c.keepRunning(ctx, names[0])
	}
	passed := true
	for _, name := range names {
		r, err := c.runSample(ctx, name)
		if err != nil {
			return err
		}
		passed = passed && r.Held()
	}
	fmt.Fprintf(os.Stderr, "reports written to %s\n", c.Report)
	if !passed {
		return errReported
	}
	return nil
}

func (c *tryCommand) startLab(ctx context.Context, name string) (*pklab.Lab, error) {
	raw, err := pksample.File(name, pksample.FileStandins)
	if err != nil {
		return nil, err
	}
	standins, err := pkstandin.ParseSettings(name+"/"+pksample.FileStandins, raw)
	if err != nil {
		return nil, err
	}
	manifest, err := pksample.File(name, pksample.FileManifest)
	if err != nil {
		return nil, err
	}
	log := hclog.NewNullLogger()
	if c.Verbose {
		log = hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: os.Stderr})
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	configure := func(_ int, s *pkentry.Settings) {
		s.Policy = pkroute.Policy(c.Policy)
		if c.Alone {
			s.Listen.Peers = ""
		}
	}
	return pklab.Start(ctx, pklab.Options{Standins: standins, Manifest: manifest, Entries: c.Entries, Log: log, ModifySettings: configure})
}

func (c *tryCommand) runSample(ctx context.Context, name string) (pktrace.Report, error) {
	lab, err := c.startLab(ctx, name)
	if err != nil {
		return pktrace.Report{}, err
	}
	report, err := c.replay(ctx, lab, name)
	if err := errors.Join(err, lab.Close()); err != nil {
		return report, err
	}
	if err := printReport(&report); err != nil {
		return report, err
	}
	return report, writeReports(c.Report, &report)
}

func (c *tryCommand) replay(ctx context.Context, lab *pklab.Lab, name string) (pktrace.Report, error) {
	file := pksample.FileTrace
	if c.Calm {
		file = pksample.FileCalm
	}
	raw, err := pksample.File(name, file)
	if err != nil {
		return pktrace.Report{}, err
	}
	lines, expect, err := readTrace(name, file, raw)
	if err != nil {
		return pktrace.Report{}, err
	}
	if c.Only != "" {
		lines = slices.DeleteFunc(lines, func(l pktrace.Line) bool {
			return l.Kind == pktrace.KindFault && string(l.Fault.Name) != c.Only
		})
	}
	keys, err := pksample.Keys(name)
	if err != nil {
		return pktrace.Report{}, err
	}
	capacity, err := lab.Standins.Capacity(firstModel(lines))
	if err != nil {
		return pktrace.Report{}, err
	}
	replay := pktrace.Replay{Lines: lines, Entries: lab.Addresses, Keys: keys, Inject: lab.Inject, Progress: progress(name), Speed: c.Speed}
	out, err := replay.Run(ctx)
	fmt.Fprintln(os.Stderr)
	if err != nil {
		return pktrace.Report{}, err
	}
	return pktrace.Evaluate(name, out, lab.Standins.Ledger(), expect, capacity), nil
}

func readTrace(name, file string, raw []byte) ([]pktrace.Line, pktrace.Expect, error) {
	lines, err := pktrace.Read(name+"/"+file, bytes.NewReader(raw))
	if err != nil {
		return nil, pktrace.Expect{}, badInput("%w", err)
	}
	rawExpect, err := pksample.File(name, pksample.FileExpect)
	if err != nil {
		return nil, pktrace.Expect{}, err
	}
	expect, err := pktrace.ParseExpect(name+"/"+pksample.FileExpect, rawExpect)
	return lines, expect, err
}

func progress(name string) func(done, all int) {
	return func(done, all int) { fmt.Fprintf(os.Stderr, "\r%s: %d of %d", name, done, all) }
}

// keepRunning starts a deployment, prints how to use it and stops it on interrupt.
func (c *tryCommand) keepRunning(ctx context.Context, name string) error {
	lab, err := c.startLab(ctx, name)
	if err != nil {
		return err
	}
	if err := printUsage(lab, name); err != nil {
		return errors.Join(err, lab.Close())
	}
	<-ctx.Done()
	return lab.Close()
}

func printUsage(lab *pklab.Lab, name string) error {
	raw, err := pksample.File(name, pksample.FileManifest)
	if err != nil {
		return err
	}
	m, err := pkmanifest.Parse(pksample.FileManifest, raw)
	if err != nil {
		return err
	}
	keys, err := pksample.Keys(name)
	if err != nil {
		return err
	}
	key := keys[m.Accounts[0].ID]
	for i, a := range lab.Addresses() {
		fmt.Printf("entry %d: callers http://%s  operators http://%s\n", i, a.Callers, a.Admin)
	}
	fmt.Printf("key-value service %s, VM list %s, stand-ins' faults and ledger http://%s\n", lab.Standins.StoreAddr(), lab.Standins.PlatformAddr(), lab.Standins.AdminAddr())
	fmt.Printf("API key of %s: %s\n\n", m.Accounts[0].ID, key)
	at := lab.Addresses()[0].Callers
	fmt.Printf("curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", at, key, m.Models[0].ID)
	fmt.Printf("curl http://%s/services/%s/records/1 -H 'Authorization: Bearer %s'\n", at, m.Services[0].ID, key)
	fmt.Println("\ninterrupt to stop")
	return nil
}

func printReport(r *pktrace.Report) error {
	if options.Output != "json" {
		return r.WriteText(os.Stdout)
	}
	raw, err := r.JSON()
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s\n", raw)
	return err
}

func writeReports(folder string, r *pktrace.Report) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("create report folder: %w", err)
	}
	raw, err := r.JSON()
	if err != nil {
		return err
	}
	base := filepath.Join(folder, r.Name)
	if err := os.WriteFile(base+".json", raw, 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	page, err := r.HTML()
	if err != nil {
		return err
	}
	if err := os.WriteFile(base+".html", page, 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/ulid/v2"

	"peridotknot.example/pkconn"
	"peridotknot.example/pketcd"
	"peridotknot.example/pkhead"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
)

const callTimeout = 10 * time.Second

func addManifest(p *flags.Parser) error {
	c, err := p.AddCommand("manifest", "check, publish and show manifests", "check, publish and show manifests", &commandGroup{})
	if err != nil {
		return err
	}
	for _, sub := range []struct {
		name, short string
		data        any
	}{
		{"check", "check a manifest file", &manifestCheck{}},
		{"publish", "publish a manifest file", &manifestPublish{}},
		{"show", "show the manifest in the store", &manifestShow{}},
		{"diff", "compare a manifest file with the manifest in the store", &manifestDiff{}},
	} {
		if err := addCommand(c, sub.name, sub.short, sub.data); err != nil {
			return err
		}
	}
	return nil
}

// storeOption is the option of commands that use the store.
type storeOption struct {
	Store string `long:"store" required:"yes" description:"address of the key-value service, IP and port"`
}

// open returns a client of the store, a context with the timeout of the command, and a function that
// releases both.
func (o storeOption) open() (*pketcd.Client, context.Context, func()) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	store := pketcd.New(o.Store, pkconn.DefaultOptions())
	return store, ctx, func() {
		cancel()
		_ = store.Close() // the process exits anyway
	}
}

type fileArg struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

func (a fileArg) read() (pkmanifest.Manifest, []byte, error) {
	body, err := os.ReadFile(a.File)
	if err != nil {
		return pkmanifest.Manifest{}, nil, badInput("%w", err)
	}
	m, err := pkmanifest.Parse(a.File, body)
	return m, body, err
}

type manifestCheck struct {
	Args fileArg `positional-args:"yes"`
}

// Execute checks the file and prints a summary.
func (c *manifestCheck) Execute([]string) error {
	m, body, err := c.Args.read()
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d models, %d services, %d accounts, digest %s\n", m.Name, len(m.Models), len(m.Services), len(m.Accounts), pkmanifest.DigestOf(body))
	return nil
}

type manifestPublish struct {
	storeOption
	Base   uint64 `long:"base" description:"revision that the change is based on; refused if another was published since"`
	Resume string `long:"resume" description:"id of a publish whose outcome is unknown, to settle it; no file is read"`
	Args   struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute publishes the file, or resolves an earlier publication, and prints the outcome.
func (c *manifestPublish) Execute([]string) error {
	store, ctx, done := c.open()
	defer done()
	if c.Resume != "" {
		out, err := pkhead.Resolve(ctx, store, pkhead.PublishID(c.Resume))
		return reportOutcome(pkhead.PublishID(c.Resume), out, err)
	}
	m, body, err := fileArg{File: c.Args.File}.read()
	if err != nil {
		return err
	}
	id := pkhead.PublishID(ulid.Make().String())
	out, err := pkhead.Publish(ctx, store, pkhead.Draft{ID: id, Operator: operator(), Name: m.Name, Body: body, Base: pkid.Revision(c.Base)})
	return reportOutcome(id, out, err)
}

func operator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// reportOutcome prints the outcome of a publication. It returns an error unless the publication was
// accepted.
func reportOutcome(id pkhead.PublishID, out pkhead.Outcome, err error) error {
	switch out.Result {
	case pkhead.Accepted:
		p, _ := out.Head.Find(id)
		fmt.Printf("accepted: revision %d, digest %s\n", p.Revision, p.Digest)
		return nil
	case pkhead.Refused:
		if err != nil {
			return fmt.Errorf("refused, nothing was changed: %w", err)
		}
		fmt.Printf("refused: %s published revision %d (%s) meanwhile; see manifest diff, then publish with --base %d\n",
			out.Head.Operator, out.Head.Revision, out.Head.Name, out.Head.Revision)
		return errReported
	default:
		return fmt.Errorf("unknown: the store did not answer; settle it with manifest publish --resume %s: %w", id, err)
	}
}

type manifestShow struct {
	storeOption
	Revision uint64 `long:"revision" description:"revision to show; the one in force if not given"`
	History  bool   `long:"history" description:"list the latest revisions instead"`
}

// Execute prints the manifest of a revision, or the history.
func (c *manifestShow) Execute([]string) error {
	store, ctx, done := c.open()
	defer done()
	head, _, err := pkhead.Read(ctx, store)
	if err != nil {
		return err
	}
	if head.Revision == 0 {
		return pkhead.ErrNoHead
	}
	if c.History {
		return printHistory(head)
	}
	rev := pkid.Revision(c.Revision)
	if rev == 0 {
		rev = head.Revision
	}
	p, found := head.At(rev)
	if !found {
		return badInput("revision %d is not in the history", rev)
	}
	body, err := pkhead.Body(ctx, store, p)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(body)
	return err
}

func printHistory(head pkhead.Head) error {
	all := append([]pkhead.Publication{head.Publication}, head.Recent...)
	if options.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	for _, p := range all {
		fmt.Printf("%6d  %-12s %-30s %s\n", p.Revision, p.Operator, p.Name, p.ID)
	}
	return nil
}

type manifestDiff struct {
	storeOption
	Args fileArg `positional-args:"yes"`
}

// Execute prints the differences between the manifest in force and the file.
func (c *manifestDiff) Execute([]string) error {
	next, _, err := c.Args.read()
	if err != nil {
		return err
	}
	store, ctx, done := c.open()
	defer done()
	head, _, err := pkhead.Read(ctx, store)
	if err != nil {
		return err
	}
	var current pkmanifest.Manifest
	if head.Revision > 0 {
		body, err := pkhead.Body(ctx, store, head.Publication)
		if err != nil {
			return err
		}
		if current, err = pkmanifest.Parse(head.Name, body); err != nil {
			return err
		}
	}
	changes := pkmanifest.Diff(current, next)
	if options.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(changes)
	}
	for _, ch := range changes {
		fmt.Printf("%-8s %s\n", ch.Op, ch.Item)
	}
	return nil
}

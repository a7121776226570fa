package pklab

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkdaemon"
	"peridotknot.example/pkengine"
	"peridotknot.example/pkentry"
	"peridotknot.example/pketcd"
	"peridotknot.example/pkhead"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkplatform"
	"peridotknot.example/pkstandin"
	"peridotknot.example/pktimer"
	"peridotknot.example/pktrace"
)

const loopback = "127.0.0.1:0"

// Options configures a lab.
type Options struct {
	Standins pkstandin.Settings
	Manifest []byte
	Entries  int
	Log      hclog.Logger
	// Stop configures the planned stop of an entry. The zero value selects a default.
	Stop pkentry.Stop
	// Tracer records the spans of the entries. If nil, spans are dropped.
	Tracer trace.Tracer
	// ModifySettings modifies the settings of entry i before it starts. It may be nil.
	ModifySettings func(i int, s *pkentry.Settings)
}

// Lab is a running deployment of stand-ins and entries.
type Lab struct {
	Standins    *pkstandin.Environment
	Store       *pketcd.Client
	opts        Options
	tracer      trace.Tracer
	mu          sync.Mutex
	entries     []*entry
	manifest    []byte
	republished int
}

type entry struct {
	*pkentry.Entry
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Start starts a lab and waits until all entries are ready.
func Start(ctx context.Context, o Options) (*Lab, error) {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("lab")
	}
	if o.Stop == (pkentry.Stop{}) {
		o.Stop = pkentry.Stop{Delay: 200 * time.Millisecond, Limit: 10 * time.Second}
	}
	env, err := pkstandin.Start(o.Standins)
	if err != nil {
		return nil, err
	}
	l := &Lab{
		Standins: env,
		Store:    pketcd.New(env.StoreAddr(), pkconn.DefaultOptions()),
		opts:     o,
		tracer:   o.Tracer,
		manifest: o.Manifest,
	}
	if err := l.deploy(ctx); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

func (l *Lab) deploy(ctx context.Context) error {
	if _, err := l.Publish(ctx, l.opts.Manifest); err != nil {
		return err
	}
	for range l.opts.Entries {
		if _, err := l.AddEntry(); err != nil {
			return err
		}
	}
	return l.WaitReady(ctx)
}

// Publish validates and publishes a manifest.
func (l *Lab) Publish(ctx context.Context, body []byte) (pkhead.Outcome, error) {
	m, err := pkmanifest.Parse("manifest.yaml", body)
	if err != nil {
		return pkhead.Outcome{}, err
	}
	return pkhead.Publish(ctx, l.Store, pkhead.Draft{
		ID:       pkhead.PublishID(ulid.Make().String()),
		Operator: "lab",
		Name:     m.Name,
		Body:     body,
	})
}

// AddEntry starts another entry and returns its index. It does not wait until the entry is ready.
func (l *Lab) AddEntry() (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := len(l.entries)
	s := l.settings(i)
	e, err := pkdaemon.New(s, l.opts.Log, l.tracer)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &entry{Entry: e, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		started.err = e.Run(ctx)
	}()
	l.entries = append(l.entries, started)
	return i, nil
}

func (l *Lab) settings(i int) pkentry.Settings {
	centers := l.opts.Standins.Engines[0].DataCenters
	s := pkentry.Settings{
		Entry:      pkid.EntryID("entry-" + strconv.Itoa(i)),
		Region:     "lab",
		DataCenter: centers[i%len(centers)],
		Listen:     pkentry.Listen{Callers: loopback, Admin: loopback, Peers: loopback},
		Store:      l.Standins.StoreAddr(),
		Platform:   l.Standins.PlatformAddr(),
		Peers:      pkentry.Peers{Neighborhood: pkentry.NeighborhoodRegion},
		Stop:       l.opts.Stop,
	}
	if l.opts.ModifySettings != nil {
		l.opts.ModifySettings(i, &s)
	}
	return s
}

// Entry returns the entry at index i.
func (l *Lab) Entry(i int) *pkentry.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[i].Entry
}

// Addresses returns the addresses of all entries by index, including stopped ones.
func (l *Lab) Addresses() []pktrace.Address {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []pktrace.Address
	for _, e := range l.entries {
		out = append(out, pktrace.Address{Callers: e.CallersAddr(), Admin: e.AdminAddr()})
	}
	return out
}

// StopEntry stops an entry in the same way as SIGTERM and waits for its termination.
func (l *Lab) StopEntry(i int) error {
	l.mu.Lock()
	e := l.entries[i]
	l.mu.Unlock()
	e.cancel()
	<-e.done
	return e.err
}

// ReplaceEntries replaces the running entries one by one, like a rolling upgrade. Each new entry is
// ready before the old one stops.
func (l *Lab) ReplaceEntries() error {
	l.mu.Lock()
	before := len(l.entries)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for i := range before {
		if l.isStopped(i) {
			continue
		}
		next, err := l.AddEntry()
		if err != nil {
			return err
		}
		if err := waitReady(ctx, l.Entry(next).AdminAddr()); err != nil {
			return err
		}
		if err := l.StopEntry(i); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) isStopped(i int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.entries[i].done:
		return true
	default:
		return false
	}
}

// WaitReady waits until all running entries are ready.
func (l *Lab) WaitReady(ctx context.Context) error {
	for i, a := range l.Addresses() {
		if l.isStopped(i) {
			continue
		}
		if err := waitReady(ctx, a.Admin); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(ctx context.Context, admin string) error {
	const poll = 10 * time.Millisecond
	for !isReady(ctx, admin) {
		if !pktimer.Sleep(ctx, poll) {
			return fmt.Errorf("entry at %s is not ready: %w", admin, ctx.Err())
		}
	}
	return nil
}

func isReady(ctx context.Context, admin string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status is needed
	return resp.StatusCode == http.StatusOK
}

// Inject injects a fault of a trace into the entries or the stand-ins.
func (l *Lab) Inject(f pktrace.Fault) error {
	switch f.Name {
	case pktrace.FaultPublish:
		if f.Target == Upgrade {
			return l.Upgrade()
		}
		return l.Republish()
	case pktrace.FaultEntryStop:
		i, err := strconv.Atoi(f.Target)
		if err != nil || i >= len(l.entries) {
			return fmt.Errorf("there is no entry %q", f.Target)
		}
		return l.StopEntry(i)
	case pktrace.FaultReplaceEntries:
		return l.ReplaceEntries()
	case pktrace.FaultKill, pktrace.FaultSilence, pktrace.FaultSlow, pktrace.FaultLeave, pktrace.FaultStoreDown, pktrace.FaultVMListEmpty, pktrace.FaultStoreAnswerLost:
	}
	return l.Standins.InjectFault(f)
}

// Republish publishes the manifest again with an appended comment, so that only its digest changes.
func (l *Lab) Republish() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	l.mu.Lock()
	l.republished++
	body := append(append([]byte{}, l.manifest...), fmt.Sprintf("# change %d\n", l.republished)...)
	l.mu.Unlock()
	out, err := l.Publish(ctx, body)
	if err != nil {
		return err
	}
	if out.Result != pkhead.Accepted {
		return fmt.Errorf("the publication was %s", out.Result)
	}
	return nil
}

// Upgrade is the target of a publish fault that upgrades each model to its next version.
const Upgrade = "upgrade"

var versionLine = regexp.MustCompile(`(?m)^(    version: ")([^"]+)"$`)

// Upgrade publishes the manifest with the next version of each model.
func (l *Lab) Upgrade() error {
	l.mu.Lock()
	l.manifest = versionLine.ReplaceAll(l.manifest, []byte(`${1}${2}-next"`))
	l.mu.Unlock()
	return l.Republish()
}

// Route returns a chain of engines that covers a model, based on the VM list and the engines' load
// reports.
func (l *Lab) Route(ctx context.Context, model pkid.ModelID) ([]pkengine.Hop, error) {
	engines := pkengine.NewClient(pkconn.DefaultOptions(), time.Second)
	platform := pkplatform.New(l.Standins.PlatformAddr(), pkconn.DefaultOptions())
	defer func() { _ = errors.Join(engines.Close(), platform.Close()) }() // closes idle connections only
	list, err := platform.VMs(ctx)
	if err != nil {
		return nil, err
	}
	var route []pkengine.Hop
	var at, last pkid.Layer
	for _, vm := range list {
		load, err := engines.Load(ctx, vm.Addr)
		if err != nil || load.Model != model {
			continue
		}
		last = max(last, load.End)
		if load.First == at {
			at = load.End
			route = append(route, pkengine.Hop{Target: vm.ID, Addr: vm.Addr, First: load.First, End: load.End})
		}
	}
	if at != last || at == 0 {
		return nil, fmt.Errorf("no chain of engines covers model %s", model)
	}
	return route, nil
}

// Close stops the entries and the stand-ins and waits for their termination.
func (l *Lab) Close() error {
	var errs []error
	l.mu.Lock()
	running := l.entries
	l.mu.Unlock()
	for _, e := range running {
		e.cancel()
	}
	for _, e := range running {
		<-e.done
		errs = append(errs, e.err)
	}
	errs = append(errs, l.Store.Close())
	l.Standins.Close()
	return errors.Join(errs...)
}

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

// Options says what a lab consists of.
type Options struct {
	Standins pkstandin.Settings
	Manifest []byte
	Entries  int
	Log      hclog.Logger
	// Stop bounds the planned stop of an entry.
	Stop pkentry.Stop
	// Tracer takes the entries' spans; nil drops them.
	Tracer trace.Tracer
	// Change adapts the settings of an entry; nil changes nothing.
	Change func(i int, s *pkentry.Settings)
}

// Lab is a running deployment.
type Lab struct {
	World   *pkstandin.World
	Store   *pketcd.Client
	opts    Options
	tracer  trace.Tracer
	mu      sync.Mutex
	entries []*entry
	body    []byte
	changes int
}

type entry struct {
	*pkentry.Entry
	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Start starts a lab and waits until each entry is ready.
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
	world, err := pkstandin.Start(o.Standins)
	if err != nil {
		return nil, err
	}
	l := &Lab{
		World:  world,
		Store:  pketcd.New(world.StoreAddr(), pkconn.DefaultOptions()),
		opts:   o,
		tracer: o.Tracer,
		body:   o.Manifest,
	}
	if err := l.begin(ctx); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

func (l *Lab) begin(ctx context.Context) error {
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

// Publish publishes a manifest body.
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

// AddEntry starts one more entry and returns its number.
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
	one := &entry{Entry: e, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(one.done)
		one.err = e.Run(ctx)
	}()
	l.entries = append(l.entries, one)
	return i, nil
}

func (l *Lab) settings(i int) pkentry.Settings {
	centers := l.opts.Standins.Engines[0].DataCenters
	s := pkentry.Settings{
		Entry:      pkid.EntryID("entry-" + strconv.Itoa(i)),
		Region:     "lab",
		DataCenter: centers[i%len(centers)],
		Listen:     pkentry.Listen{Callers: loopback, Admin: loopback, Peers: loopback},
		Store:      l.World.StoreAddr(),
		Platform:   l.World.PlatformAddr(),
		Peers:      pkentry.Peers{Neighborhood: pkentry.NeighborhoodRegion},
		Stop:       l.opts.Stop,
	}
	if l.opts.Change != nil {
		l.opts.Change(i, &s)
	}
	return s
}

// Entry returns entry i.
func (l *Lab) Entry(i int) *pkentry.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[i].Entry
}

// Addresses returns where the entries serve.
func (l *Lab) Addresses() []pktrace.Address {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []pktrace.Address
	for _, e := range l.entries {
		out = append(out, pktrace.Address{Callers: e.Callers(), Admin: e.Admin()})
	}
	return out
}

// StopEntry stops an entry as SIGTERM would and waits for its end.
func (l *Lab) StopEntry(i int) error {
	l.mu.Lock()
	e := l.entries[i]
	l.mu.Unlock()
	e.stop()
	<-e.done
	return e.err
}

// ReplaceEntries replaces each running entry by a new one, as a nightly upgrade
// of the router's own VMs does: the new one is ready before the old one stops.
func (l *Lab) ReplaceEntries() error {
	l.mu.Lock()
	before := len(l.entries)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for i := range before {
		if l.stopped(i) {
			continue
		}
		next, err := l.AddEntry()
		if err != nil {
			return err
		}
		if err := waitReady(ctx, l.Entry(next).Admin()); err != nil {
			return err
		}
		if err := l.StopEntry(i); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) stopped(i int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.entries[i].done:
		return true
	default:
		return false
	}
}

// WaitReady waits until each entry that runs is ready.
func (l *Lab) WaitReady(ctx context.Context) error {
	for i, a := range l.Addresses() {
		if l.stopped(i) {
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
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

// Inject brings a fault of a trace about.
func (l *Lab) Inject(f pktrace.Fault) error {
	switch f.Name {
	case pktrace.FaultPublish:
		if f.Target == Upgrade {
			return l.Upgrade()
		}
		return l.Republish()
	case pktrace.FaultEntry:
		i, err := strconv.Atoi(f.Target)
		if err != nil || i >= len(l.entries) {
			return fmt.Errorf("there is no entry %q", f.Target)
		}
		return l.StopEntry(i)
	case pktrace.FaultReplace:
		return l.ReplaceEntries()
	case pktrace.FaultKill, pktrace.FaultSilence, pktrace.FaultSlow, pktrace.FaultLeave, pktrace.FaultStore, pktrace.FaultVMList, pktrace.FaultLostSwap:
	}
	return l.World.Fault(f)
}

// Republish publishes the manifest again with another comment, so that only
// its digest differs.
func (l *Lab) Republish() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	l.mu.Lock()
	l.changes++
	body := append(append([]byte{}, l.body...), fmt.Sprintf("# change %d\n", l.changes)...)
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

// Upgrade is the target of a publish fault that gives each model its next
// version, as the nightly upgrade does.
const Upgrade = "upgrade"

var versionLine = regexp.MustCompile(`(?m)^(    version: ")([^"]+)"$`)

// Upgrade publishes the manifest with the next version of each model.
func (l *Lab) Upgrade() error {
	l.mu.Lock()
	l.body = versionLine.ReplaceAll(l.body, []byte(`${1}${2}-next"`))
	l.mu.Unlock()
	return l.Republish()
}

// Route returns a chain of engines for a model, as the VM list and the engines
// themselves give it.
func (l *Lab) Route(ctx context.Context, model pkid.ModelID) ([]pkengine.Hop, error) {
	engines := pkengine.NewClient(pkconn.DefaultOptions(), time.Second)
	platform := pkplatform.New(l.World.PlatformAddr(), pkconn.DefaultOptions())
	defer func() { _ = errors.Join(engines.Close(), platform.Close()) }() // only idle connections are left
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
		return nil, fmt.Errorf("the engines of %s make no chain", model)
	}
	return route, nil
}

// Close stops the entries and the stand-ins and waits for them.
func (l *Lab) Close() error {
	var errs []error
	l.mu.Lock()
	running := l.entries
	l.mu.Unlock()
	for _, e := range running {
		e.stop()
	}
	for _, e := range running {
		<-e.done
		errs = append(errs, e.err)
	}
	errs = append(errs, l.Store.Close())
	l.World.Close()
	return errors.Join(errs...)
}

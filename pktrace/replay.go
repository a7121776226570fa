package pktrace

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotknot.example/pkid"
	"peridotknot.example/pktimer"
)

// Address is where an entry serves callers and operators; without an admin
// address the entry counts as always ready.
type Address struct {
	Callers string
	Admin   string
}

// Replay is a trace and what it is replayed against.
type Replay struct {
	Lines []Line
	// Entries returns the entries there are; it is asked again and again, as
	// VMs come and go during a replay.
	Entries func() []Address
	// Keys holds the API key of each account.
	Keys map[pkid.AccountID]string
	// Inject brings a fault of the trace about.
	Inject func(Fault) error
	// Progress is called about once a second; nil is allowed.
	Progress func(done, all int)
	// Speed divides the times of the trace; zero is one.
	Speed float64
}

const (
	readyEvery = 50 * time.Millisecond
	// lateBy is how much longer than its deadline a request is waited for, to
	// tell a late answer from a lost one.
	lateBy         = 2 * time.Second
	microsPerHour  = 3_600_000_000
	histogramDigit = 3
)

// session is a replay in progress.
type session struct {
	*Replay
	http  *http.Client
	start time.Time
	next  atomic.Uint64
	ready atomic.Pointer[[]string]
	done  atomic.Int64

	mu      sync.Mutex
	results []Result
	faults  []InjectedFault
	between *hdrhistogram.Histogram
}

// InjectedFault is a fault with the time at which it came about.
type InjectedFault struct {
	Fault Fault
	At    time.Duration
}

// Outcome is everything that a replay saw.
type Outcome struct {
	Results []Result
	Faults  []InjectedFault
	Took    time.Duration
	// Between holds the times between tokens in microseconds.
	Between *hdrhistogram.Histogram
}

// Run replays the trace at its own pace, whatever comes back.
func (r *Replay) Run(ctx context.Context) (Outcome, error) {
	if r.Entries == nil || len(r.Entries()) == 0 {
		return Outcome{}, fmt.Errorf("there is no entry to replay against")
	}
	for _, l := range r.Lines {
		if _, found := r.Keys[l.Account]; !found && l.Kind != KindFault {
			return Outcome{}, fmt.Errorf("there is no key for account %q", l.Account)
		}
	}
	s := &session{
		Replay:  r,
		http:    newClient(),
		between: hdrhistogram.New(1, microsPerHour, histogramDigit),
	}
	defer s.http.CloseIdleConnections()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.pollReady(ctx)
	var helpers sync.WaitGroup
	defer helpers.Wait()
	defer cancel()
	helpers.Go(func() { pktimer.Every(ctx, readyEvery, s.pollReady) })
	helpers.Go(func() { pktimer.Every(ctx, time.Second, s.progress) })
	err := s.send(ctx)
	return Outcome{Results: s.results, Faults: s.faults, Took: time.Since(s.start), Between: s.between}, err
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 512,
		DisableCompression:  true,
	}}
}

func (s *session) send(ctx context.Context) error {
	s.start = time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	speed := s.Speed
	if speed <= 0 {
		speed = 1
	}
	for i, l := range s.Lines {
		at := time.Duration(float64(l.At()) / speed)
		if !pktimer.Sleep(ctx, time.Until(s.start.Add(at))) {
			return ctx.Err()
		}
		if l.Kind == KindFault {
			// Some faults wait for an answer; the trace does not wait for them.
			wg.Go(func() { s.inject(*l.Fault) })
			continue
		}
		wg.Go(func() { s.one(ctx, i, l) })
	}
	return nil
}

func (s *session) inject(f Fault) {
	at := time.Since(s.start)
	if err := s.Inject(f); err != nil {
		s.add(Result{Line: Line{Kind: KindFault, Fault: &f}, Class: Lost, Began: at, Ended: at, Detail: err.Error()})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, InjectedFault{Fault: f, At: at})
}

func (s *session) one(ctx context.Context, i int, l Line) {
	ctx, cancel := context.WithTimeout(ctx, l.Deadline()+lateBy)
	defer cancel()
	call := fmt.Sprintf("c%d", i)
	began := time.Now()
	e := &exchange{session: s, line: l, call: call, began: began}
	if l.Kind == KindModel {
		e.model(ctx)
	} else {
		e.service(ctx)
	}
	e.result.Line = l
	e.result.Call = call
	e.result.Began = began.Sub(s.start)
	e.result.Ended = time.Since(s.start)
	if e.result.Class == Whole && time.Since(began) > l.Deadline() {
		e.result.Class = Late
	}
	s.done.Add(1)
	s.add(e.result)
}

func (s *session) add(r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

func (s *session) progress(context.Context) {
	if s.Progress != nil {
		s.Progress(int(s.done.Load()), len(s.Lines))
	}
}

// entry returns the next entry that is ready, as the platform's balancer does.
func (s *session) entry() string {
	ready := *s.ready.Load()
	return ready[s.next.Add(1)%uint64(len(ready))]
}

// pollReady notes which entries are ready; if none is, any may be tried.
func (s *session) pollReady(ctx context.Context) {
	var ready, all []string
	for _, a := range s.Entries() {
		all = append(all, a.Callers)
		if a.Admin == "" || s.isReady(ctx, a.Admin) {
			ready = append(ready, a.Callers)
		}
	}
	if len(ready) == 0 {
		ready = all
	}
	s.ready.Store(&ready)
}

func (s *session) isReady(ctx context.Context, admin string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

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

// Address holds the addresses at which an entry serves callers and operators. An entry without an
// admin address is taken to be always ready.
type Address struct {
	Callers string
	Admin   string
}

// Replay is a trace and the deployment to replay it against.
type Replay struct {
	Lines []Line
	// Entries returns the current entries. It is polled, since VMs come and go during a replay.
	Entries func() []Address
	// Keys holds the API key of each account.
	Keys map[pkid.AccountID]string
	// Inject injects a fault of the trace.
	Inject func(Fault) error
	// Progress is called about once a second; it may be nil.
	Progress func(done, all int)
	// Speed divides the time offsets of the trace; zero means 1.
	Speed float64
}

const (
	readyInterval = 50 * time.Millisecond
	// lateGrace is how long after its deadline a response is awaited, to distinguish late from
	// lost.
	lateGrace       = 2 * time.Second
	microsPerHour   = 3_600_000_000
	histogramDigits = 3
)

// session is a replay in progress.
type session struct {
	*Replay
	http  *http.Client
	start time.Time
	next  atomic.Uint64
	// ready holds the callers' addresses of the ready entries.
	ready atomic.Pointer[[]string]
	done  atomic.Int64

	mu      sync.Mutex
	results []Result
	faults  []InjectedFault
	// tokenGaps holds the times between tokens in microseconds.
	tokenGaps *hdrhistogram.Histogram
}

// InjectedFault is a fault with the offset at which it was injected.
type InjectedFault struct {
	Fault Fault
	At    time.Duration
}

// Outcome holds the results of a replay.
type Outcome struct {
	Results []Result
	Faults  []InjectedFault
	Took    time.Duration
	// TokenGaps holds the times between tokens in microseconds.
	TokenGaps *hdrhistogram.Histogram
}

// Run replays the trace. Requests are sent at their recorded times, regardless of the responses.
func (r *Replay) Run(ctx context.Context) (Outcome, error) {
	if r.Entries == nil || len(r.Entries()) == 0 {
		return Outcome{}, fmt.Errorf("no entries to replay against")
	}
	for _, l := range r.Lines {
		if _, found := r.Keys[l.Account]; !found && l.Kind != KindFault {
			return Outcome{}, fmt.Errorf("no API key for account %q", l.Account)
		}
	}
	s := &session{
		Replay:    r,
		http:      newClient(),
		tokenGaps: hdrhistogram.New(1, microsPerHour, histogramDigits),
	}
	defer s.http.CloseIdleConnections()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.pollReady(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { pktimer.Every(ctx, readyInterval, s.pollReady) })
	background.Go(func() { pktimer.Every(ctx, time.Second, s.progress) })
	err := s.sendAll(ctx)
	return Outcome{Results: s.results, Faults: s.faults, Took: time.Since(s.start), TokenGaps: s.tokenGaps}, err
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 512,
		DisableCompression:  true,
	}}
}

// sendAll sends the requests and faults of the trace at their times and waits for their results.
func (s *session) sendAll(ctx context.Context) error {
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
			// Injecting a fault may block and must not delay the trace.
			wg.Go(func() { s.inject(*l.Fault) })
			continue
		}
		wg.Go(func() { s.replayRequest(ctx, i, l) })
	}
	return nil
}

func (s *session) inject(f Fault) {
	at := time.Since(s.start)
	if err := s.Inject(f); err != nil {
		s.addResult(Result{Line: Line{Kind: KindFault, Fault: &f}, Class: Lost, Began: at, Ended: at, Detail: err.Error()})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, InjectedFault{Fault: f, At: at})
}

func (s *session) replayRequest(ctx context.Context, i int, l Line) {
	ctx, cancel := context.WithTimeout(ctx, l.Deadline()+lateGrace)
	defer cancel()
	call := fmt.Sprintf("c%d", i)
	sentAt := time.Now()
	e := &exchange{session: s, line: l, call: call, sentAt: sentAt}
	if l.Kind == KindModel {
		e.chatCompletion(ctx)
	} else {
		e.serviceCall(ctx)
	}
	e.result.Line = l
	e.result.Call = call
	e.result.Began = sentAt.Sub(s.start)
	e.result.Ended = time.Since(s.start)
	if e.result.Class == Whole && time.Since(sentAt) > l.Deadline() {
		e.result.Class = Late
	}
	s.done.Add(1)
	s.addResult(e.result)
}

func (s *session) addResult(r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

func (s *session) progress(context.Context) {
	if s.Progress != nil {
		s.Progress(int(s.done.Load()), len(s.Lines))
	}
}

// nextEntry returns the ready entries in turn, like the load balancer of the platform.
func (s *session) nextEntry() string {
	ready := *s.ready.Load()
	return ready[s.next.Add(1)%uint64(len(ready))]
}

// pollReady updates the list of ready entries. If none is ready, it lists all.
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
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode == http.StatusOK
}

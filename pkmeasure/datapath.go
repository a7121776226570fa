package pkmeasure

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pklab"
	"peridotknot.example/pksample"
	"peridotknot.example/pkstandin"
)

// concurrentStreams keeps the process busy without queueing. sampleLayers is the number of layers of
// the sample's model.
const (
	concurrentStreams = 48
	sampleLayers      = 32
)

// tokenTime is the approximate time between two tokens of a paced stream. It is long enough that each
// token takes its own reads and writes, as with real engines. Tokens that arrive in bursts share
// system calls and would show a lower cost.
const tokenTime = 3 * time.Millisecond

// fastStandins returns the sample's stand-ins with engines that take the time step per token and no
// time for prefill.
func fastStandins(perGroup int, step time.Duration) (pkstandin.Settings, error) {
	raw, err := pksample.File("aare", pksample.FileStandins)
	if err != nil {
		return pkstandin.Settings{}, err
	}
	s, err := pkstandin.ParseSettings(pksample.FileStandins, raw)
	if err != nil {
		return s, err
	}
	for kind, speed := range s.Kinds {
		speed.Base, speed.PerSeq, speed.Prefill = step/sampleLayers, 0, 0
		speed.Batch = 4 * concurrentStreams
		s.Kinds[kind] = speed
	}
	s.LinkDelay = 0
	for i := range s.Engines {
		s.Engines[i].Count = perGroup
	}
	return s, nil
}

// startLab starts a deployment for a measurement.
func startLab(ctx context.Context, entries int, step time.Duration, change func(*pklab.Options)) (*pklab.Lab, error) {
	standins, err := fastStandins(2, step)
	if err != nil {
		return nil, err
	}
	manifest, err := pksample.File("aare", pksample.FileManifest)
	if err != nil {
		return nil, err
	}
	o := pklab.Options{Standins: standins, Manifest: manifest, Entries: entries}
	if change != nil {
		change(&o)
	}
	return pklab.Start(ctx, o)
}

// streamFunc runs a stream with the given number of tokens to its end.
type streamFunc func(ctx context.Context, call, tokens int) error

// measureDataPath measures the processor time of the entry for a streamed response by its number of
// tokens. The slope is the cost of a token, the value at 0 the fixed cost of a request.
func measureDataPath(ctx context.Context, progress func(string)) ([]Series, error) {
	paced, err := measureDataPathAt(ctx, tokenTime, "entry_processor_time_by_tokens", progress)
	if err != nil {
		return nil, err
	}
	burst, err := measureDataPathAt(ctx, 0, "entry_processor_time_by_tokens_in_a_rush", progress)
	return []Series{paced, burst}, err
}

func measureDataPathAt(ctx context.Context, step time.Duration, name string, progress func(string)) (Series, error) {
	l, err := startLab(ctx, 1, step, nil)
	if err != nil {
		return Series{}, err
	}
	defer func() { _ = l.Close() }() // the measurement does not depend on the shutdown
	routed, err := routedPath(l)
	if err != nil {
		return Series{}, err
	}
	direct, closeDirect, err := directPath(ctx, l)
	if err != nil {
		return Series{}, err
	}
	defer closeDirect()
	s := Series{Name: name, X: "tokens of a streamed answer", Y: "microseconds of processor time a request"}
	for _, tokens := range []int{16, 48, 96, 192} {
		progress(fmt.Sprintf("answers of %d tokens", tokens))
		const budget = 60_000
		n := min(budget/tokens, 3000)
		cost, err := cpuDifference(ctx, n, tokens, routed, direct)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{X: float64(tokens), Y: cost})
	}
	return s.fit(), nil
}

// cpuDifference returns the processor time of a minus that of b, in microseconds per request. Each
// runs n requests, in alternating rounds.
func cpuDifference(ctx context.Context, n, tokens int, a, b streamFunc) (float64, error) {
	const rounds = 4
	var sum time.Duration
	for range rounds {
		var errA, errB error
		sum += cpuTimeOf(func() { errA = runConcurrently(ctx, n/rounds, tokens, a) })
		sum -= cpuTimeOf(func() { errB = runConcurrently(ctx, n/rounds, tokens, b) })
		if errA != nil || errB != nil {
			return 0, fmt.Errorf("run measured requests: %w", firstError(errA, errB))
		}
	}
	return float64(sum.Microseconds()) / float64(n/rounds*rounds), nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func runConcurrently(ctx context.Context, n, tokens int, do streamFunc) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	next := make(chan int)
	for range concurrentStreams {
		wg.Go(func() {
			for call := range next {
				if err := do(ctx, call, tokens); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
				}
			}
		})
	}
	for call := range n {
		next <- call
	}
	close(next)
	wg.Wait()
	return failed
}

// routedPath returns a function that runs streams through the entry.
func routedPath(l *pklab.Lab) (streamFunc, error) {
	keys, err := pksample.Keys("aare")
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentStreams}}
	url := "http://" + l.Addresses()[0].Callers + "/v1/chat/completions"
	return func(ctx context.Context, call, tokens int) error {
		body := fmt.Sprintf(`{"model":"budget-de","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"measure %d"}]}`, tokens, call)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+keys["mitglieder"])
		return readLines(client, req, func(line []byte) bool { return string(line) == "data: [DONE]" })
	}, nil
}

// directPath returns a function that runs streams directly on the first engine of a route, and a
// function that closes its connections.
func directPath(ctx context.Context, l *pklab.Lab) (streamFunc, func(), error) {
	route, err := l.Route(ctx, "budget-de")
	if err != nil {
		return nil, nil, err
	}
	transport := pkconn.DefaultOptions().Transport()
	client := &http.Client{Transport: transport}
	do := func(ctx context.Context, call, tokens int) error {
		body, err := json.Marshal(pkengine.OpenRequest{
			Stream: pkid.RequestID(fmt.Sprint("measure-", call, "-", time.Now().UnixNano())), Attempt: 1, Model: "budget-de", Version: "2026-12-01",
			Route: route, Prompt: "measure", PromptTokens: 3, MaxTokens: pkid.Tokens(tokens), DeadlineMS: 10_000,
		})
		if err != nil {
			return err
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+route[0].Addr+pkengine.PathStreams, bytes.NewReader(body))
		if err != nil {
			return err
		}
		return readLines(client, req, func(line []byte) bool { return bytes.Contains(line, []byte(`"end"`)) })
	}
	return do, transport.CloseIdleConnections, nil
}

func readLines(client *http.Client, req *http.Request, isLast func([]byte) bool) error {
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 300)) // the body is optional detail
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	lines := bufio.NewScanner(resp.Body)
	complete := false
	lastLine := ""
	for lines.Scan() {
		complete = complete || isLast(lines.Bytes())
		if len(lines.Bytes()) > 0 {
			lastLine = lines.Text()
		}
	}
	if err := cmp.Or(req.Context().Err(), lines.Err()); err != nil {
		return err
	}
	if !complete {
		return fmt.Errorf("stream ended before its final event; last line: %q", lastLine)
	}
	return nil
}

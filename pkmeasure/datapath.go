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

// streamsAtOnce keeps the process busy without queues.
const (
	streamsAtOnce  = 48
	layersOfSample = 32
)

// tokenTime is about the time between two tokens of a paced stream: long enough
// that each token comes by itself and pays for its own reads and writes, as it
// does behind real engines. Tokens that come in a rush share them and look
// several times cheaper.
const tokenTime = 3 * time.Millisecond

// quickStandins returns the sample's stand-ins with engines that take step for
// a token and no time for a prompt, so that what is measured is the router.
func quickStandins(perGroup int, step time.Duration) (pkstandin.Settings, error) {
	raw, err := pksample.File("aare", pksample.FileStandins)
	if err != nil {
		return pkstandin.Settings{}, err
	}
	s, err := pkstandin.ParseSettings(pksample.FileStandins, raw)
	if err != nil {
		return s, err
	}
	for kind, speed := range s.Kinds {
		speed.Base, speed.PerSeq, speed.Prefill = step/layersOfSample, 0, 0
		speed.Batch = 4 * streamsAtOnce
		s.Kinds[kind] = speed
	}
	s.Link = 0
	for i := range s.Engines {
		s.Engines[i].Count = perGroup
	}
	return s, nil
}

// lab starts a deployment for a measurement.
func lab(ctx context.Context, entries int, step time.Duration, change func(*pklab.Options)) (*pklab.Lab, error) {
	standins, err := quickStandins(2, step)
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

// path is one way to run a stream of some tokens to its end.
type path func(ctx context.Context, call, tokens int) error

// dataPath measures what a streamed answer costs the entry, by its tokens: the
// slope is the cost of a token, the value at 0 that of a request.
func dataPath(ctx context.Context, say func(string)) ([]Series, error) {
	paced, err := dataPathAt(ctx, tokenTime, "entry_processor_time_by_tokens", say)
	if err != nil {
		return nil, err
	}
	rush, err := dataPathAt(ctx, 0, "entry_processor_time_by_tokens_in_a_rush", say)
	return []Series{paced, rush}, err
}

func dataPathAt(ctx context.Context, step time.Duration, name string, say func(string)) (Series, error) {
	l, err := lab(ctx, 1, step, nil)
	if err != nil {
		return Series{}, err
	}
	defer func() { _ = l.Close() }() // what was measured stands either way
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
		say(fmt.Sprintf("answers of %d tokens", tokens))
		const budget = 60_000
		n := min(budget/tokens, 3000)
		cost, err := difference(ctx, n, tokens, routed, direct)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{X: float64(tokens), Y: cost})
	}
	return s.fit(), nil
}

// difference returns the processor time of n requests through one path less
// that of the other, in microseconds a request. The two are run in turn.
func difference(ctx context.Context, n, tokens int, a, b path) (float64, error) {
	const rounds = 4
	var sum time.Duration
	for range rounds {
		var errA, errB error
		sum += spent(func() { errA = many(ctx, n/rounds, tokens, a) })
		sum -= spent(func() { errB = many(ctx, n/rounds, tokens, b) })
		if errA != nil || errB != nil {
			return 0, fmt.Errorf("measured path failed: %w", firstError(errA, errB))
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

func many(ctx context.Context, n, tokens int, do path) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	next := make(chan int)
	for range streamsAtOnce {
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

// routedPath streams through the entry.
func routedPath(l *pklab.Lab) (path, error) {
	keys, err := pksample.Keys("aare")
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamsAtOnce}}
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

// directPath streams from a first engine of the pool, as an entry would.
func directPath(ctx context.Context, l *pklab.Lab) (path, func(), error) {
	route, err := l.Route(ctx, "budget-de")
	if err != nil {
		return nil, nil, err
	}
	transport := pkconn.DefaultOptions().Transport()
	client := &http.Client{Transport: transport}
	do := func(ctx context.Context, call, tokens int) error {
		body, err := json.Marshal(pkengine.Open{
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

func readLines(client *http.Client, req *http.Request, last func([]byte) bool) error {
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 300)) // the status already says that it failed
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	lines := bufio.NewScanner(resp.Body)
	whole := false
	said := ""
	for lines.Scan() {
		whole = whole || last(lines.Bytes())
		if len(lines.Bytes()) > 0 {
			said = lines.Text()
		}
	}
	if err := cmp.Or(req.Context().Err(), lines.Err()); err != nil {
		return err
	}
	if !whole {
		return fmt.Errorf("the stream ended early, its last line was %q", said)
	}
	return nil
}

package pklab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkplatform"
	"peridotknot.example/pksample"
)

// halfLoad is how many streams run beside a measurement: half of the places
// that the engines of a paced lab have.
const halfLoad = 24

// paced starts a lab whose engines all take the same time for a token, so that
// two streams differ by the entry and not by their engines.
func paced(b *testing.B) *Lab {
	standins := quick(b)
	for kind, speed := range standins.Kinds {
		speed.Base = 3 * time.Millisecond / 32
		standins.Kinds[kind] = speed
	}
	manifest, err := pksample.File("aare", pksample.FileManifest)
	assert.NilError(b, err)
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	l, err := Start(ctx, Options{Standins: standins, Manifest: manifest, Entries: 1})
	assert.NilError(b, err)
	b.Cleanup(func() { assert.NilError(b, l.Close()) })
	return l
}

// load keeps streams running through the entry until stop is called.
func load(b *testing.B, l *Lab) (stop func()) {
	_, routed := streamPaths(b, l)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range halfLoad {
		wg.Go(func() {
			client := &http.Client{Transport: pkconn.DefaultOptions().Transport()}
			for {
				select {
				case <-done:
					return
				default:
					do(b, client, routed(0), nil)
				}
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// BenchmarkAddedLatency measures what the entry adds to a service call and to a
// token at half load, against calling the stand-in directly in the same run, in
// turn.
func BenchmarkAddedLatency(b *testing.B) {
	l := paced(b)
	defer load(b, l)()
	client := &http.Client{Transport: pkconn.DefaultOptions().Transport()}
	b.Run("call", func(b *testing.B) {
		direct, routed := callPaths(b, l)
		added(b, func() { do(b, client, direct(), nil) }, func() { do(b, client, routed(), nil) })
	})
	b.Run("token", func(b *testing.B) {
		direct, routed := streamPaths(b, l)
		fromEngine, fromEntry := newTimes(), newTimes()
		for i := 0; b.Loop(); i++ {
			do(b, client, direct(i), fromEngine)
			do(b, client, routed(i), fromEntry)
		}
		report(b, fromEngine, fromEntry)
	})
	b.Run("first_token", func(b *testing.B) {
		direct, routed := streamPaths(b, l)
		i := 0
		added(b, func() { i++; first(b, client, direct(i)) }, func() { first(b, client, routed(i)) })
	})
}

func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000_000, 3) }

func added(b *testing.B, direct, routed func()) {
	plain, through := newTimes(), newTimes()
	for b.Loop() {
		began := time.Now()
		direct()
		_ = plain.RecordValue(time.Since(began).Nanoseconds())
		began = time.Now()
		routed()
		_ = through.RecordValue(time.Since(began).Nanoseconds())
	}
	report(b, plain, through)
}

func report(b *testing.B, direct, routed *hdrhistogram.Histogram) {
	const millisecond = 1e6
	for _, q := range []float64{50, 95} {
		b.ReportMetric(float64(routed.ValueAtQuantile(q)-direct.ValueAtQuantile(q))/millisecond, fmt.Sprintf("added_ms_p%.0f", q))
	}
}

// do runs a request to its end and records the times between its lines.
func do(b *testing.B, client *http.Client, req *http.Request, times *hdrhistogram.Histogram) {
	resp, err := client.Do(req)
	assert.NilError(b, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(b, resp.StatusCode, http.StatusOK)
	if times == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	lines := bufio.NewScanner(resp.Body)
	last := time.Time{}
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		now := time.Now()
		if !last.IsZero() {
			_ = times.RecordValue(now.Sub(last).Nanoseconds())
		}
		last = now
	}
}

func first(b *testing.B, client *http.Client, req *http.Request) {
	resp, err := client.Do(req)
	assert.NilError(b, err)
	_, err = bufio.NewReader(resp.Body).ReadSlice('\n')
	assert.NilError(b, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func callPaths(b *testing.B, l *Lab) (direct, routed func() *http.Request) {
	list, err := pkplatform.New(l.World.PlatformAddr(), pkconn.DefaultOptions()).VMs(b.Context())
	assert.NilError(b, err)
	addr := list[len(list)-1].Addr
	direct = func() *http.Request { return request(b, http.MethodGet, "http://"+addr+"/records/1", nil) }
	routed = func() *http.Request {
		return request(b, http.MethodGet, "http://"+l.Addresses()[0].Callers+"/services/voting/records/1", nil)
	}
	return direct, routed
}

func streamPaths(b *testing.B, l *Lab) (direct, routed func(int) *http.Request) {
	const tokens = 32
	route, err := l.Route(b.Context(), "budget-de")
	assert.NilError(b, err)
	direct = func(i int) *http.Request {
		body, err := json.Marshal(pkengine.Open{
			Stream: pkid.RequestID(fmt.Sprint(i, time.Now().UnixNano())), Attempt: 1, Model: "budget-de", Version: "2026-12-01",
			Route: route, Prompt: "x", PromptTokens: 1, MaxTokens: tokens, DeadlineMS: 1000,
		})
		assert.NilError(b, err)
		return request(b, http.MethodPost, "http://"+route[0].Addr+pkengine.PathStreams, body)
	}
	routed = func(int) *http.Request {
		body := fmt.Appendf(nil, `{"model":"budget-de","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
		return request(b, http.MethodPost, "http://"+l.Addresses()[0].Callers+"/v1/chat/completions", body)
	}
	return direct, routed
}

func request(b *testing.B, method, url string, body []byte) *http.Request {
	req, err := http.NewRequestWithContext(b.Context(), method, url, bytes.NewReader(body))
	assert.NilError(b, err)
	req.Header.Set("Authorization", "Bearer "+key(b))
	return req
}

// BenchmarkRequest runs model requests of one token, for a profile of what a
// request costs besides its tokens.
func BenchmarkRequest(b *testing.B) {
	l := startLab(b, 1)
	client := &http.Client{Transport: pkconn.DefaultOptions().Transport()}
	body := []byte(`{"model":"budget-de","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"x"}]}`)
	b.ReportAllocs()
	for b.Loop() {
		do(b, client, request(b, http.MethodPost, "http://"+l.Addresses()[0].Callers+"/v1/chat/completions", body), nil)
	}
}

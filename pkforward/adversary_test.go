package pkforward

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkexchange"
	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

var adversaryBound = flag.Duration("adversary.timeout", 2*time.Second, "longest time of one send of an adversary's schedule")

// misdeed is how an adversary treats one arrival.
type misdeed string

const (
	whole           misdeed = "whole"
	chunked         misdeed = "chunked"
	unframed        misdeed = "unframed"
	unframedCut     misdeed = "unframed and reset"
	refuse          misdeed = "refuse"
	refuseTwice     misdeed = "refuse twice"
	refuseLater     misdeed = "refuse, and once more later"
	refuseThenClose misdeed = "refuse and close"
	truncated       misdeed = "truncated"
	truncatedChunk  misdeed = "truncated in a chunk"
	doubled         misdeed = "doubled"
	foreignAfter    misdeed = "answer of another request after the own"
	foreignBefore   misdeed = "answer of another request before the own"
	interleaved     misdeed = "another answer between two chunks"
	lateExtra       misdeed = "the same answer later"
	closeUnread     misdeed = "close before the request is read"
	closeRun        misdeed = "run and close"
	resetRun        misdeed = "run and reset"
	halfClose       misdeed = "answer and half-close"
	garbage         misdeed = "garbage"
	statusZero      misdeed = "status 000"
	statusLow       misdeed = "status 042"
	statusHigh      misdeed = "status 600"
	blankName       misdeed = "blank in a name"
	blankLength     misdeed = "blank after the length"
	early           misdeed = "answer before the body is read"
	hints           misdeed = "early hints and the answer"
	lengthTwice     misdeed = "two lengths"
	negativeLength  misdeed = "negative length"
	hugeLength      misdeed = "longer length"
	surplus         misdeed = "bytes after the answer"
	unframedKilled  misdeed = "unframed and killed"
	unsealed        misdeed = "unsealed"
	encoded         misdeed = "encoded"
	failing         misdeed = "status 500"
)

var misdeeds = []misdeed{
	whole, whole, whole, chunked, unframed, unframedCut, refuse, refuse, refuseTwice, refuseLater, refuseThenClose, truncated, truncatedChunk, doubled,
	foreignAfter, foreignBefore, interleaved, lateExtra, closeUnread, closeRun, resetRun, halfClose, garbage, statusZero, statusLow, statusHigh, blankName, blankLength, early, hints, lengthTwice,
	negativeLength, hugeLength, surplus, unframedKilled, unsealed, encoded, failing,
}

// refusals are the misdeeds that begin with a refusal.
var refusals = []misdeed{refuse, refuseTwice, refuseLater, refuseThenClose}

// adversary is a target that misbehaves by a schedule, one misdeed an arrival.
type adversary struct {
	listener net.Listener
	handlers sync.WaitGroup

	mu       sync.Mutex
	schedule []misdeed
	conns    []net.Conn
	// runs counts the runs of each request, played what was done to it.
	runs   map[pkid.RequestID]int
	played []string
	// gone is set if the target has ended in its last answer.
	gone bool
}

func (a *adversary) isGone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gone
}

func newAdversary(t *rapid.T, schedule []misdeed) *adversary {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := &adversary{listener: l, schedule: schedule, runs: map[pkid.RequestID]int{}}
	a.handlers.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns = append(a.conns, conn)
			a.mu.Unlock()
			a.handlers.Go(func() { a.serve(conn) })
		}
	})
	return a
}

// close ends the adversary and waits for its connections.
func (a *adversary) close() {
	_ = a.listener.Close()
	a.mu.Lock()
	for _, c := range a.conns {
		_ = c.Close()
	}
	a.mu.Unlock()
	a.handlers.Wait()
}

func (a *adversary) next(id pkid.RequestID) misdeed {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := whole
	if len(a.schedule) > 0 {
		m, a.schedule = a.schedule[0], a.schedule[1:]
	}
	a.played = append(a.played, fmt.Sprintf("%s: %s", id, m))
	a.gone = m == unframedKilled
	return m
}

// history returns what was done to all arrivals.
func (a *adversary) history() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.played)
}

func (a *adversary) run(id pkid.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[id]++
}

func (a *adversary) runsOf(id pkid.RequestID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[id]
}

// answerText is the whole body of the answer to a request.
func answerText(id pkid.RequestID) string { return "answer to " + string(id) + strings.Repeat(".", 40) }

func answerHead(status string, id pkid.RequestID, headers ...string) string {
	return "HTTP/1.1 " + status + "\r\n" + idHeader + ": " + string(id) + "\r\n" + sealHeader + ": s\r\n" + strings.Join(headers, "") + "\r\n"
}

// unsealedHead is the head of an answer that something has changed.
func unsealedHead(id pkid.RequestID, headers ...string) string {
	return strings.Replace(answerHead("200 OK", id, headers...), sealHeader+": s\r\n", "", 1)
}

func lengthOf(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

func framedAnswer(id pkid.RequestID, method string) string {
	text := answerText(id)
	head := answerHead("200 OK", id, lengthOf(len(text)))
	if method == http.MethodHead {
		return head
	}
	return head + text
}

func refusalOf(id pkid.RequestID) string {
	return answerHead("503 Service Unavailable", id, lengthOf(0))
}

// serve serves a connection until it is closed.
func (a *adversary) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := pkid.RequestID(req.Header.Get(idHeader))
		m := a.next(id)
		if m == closeUnread {
			return
		}
		if m == early {
			a.run(id)
			_, _ = io.WriteString(conn, framedAnswer(id, req.Method))
			_, _ = io.Copy(io.Discard, req.Body)
			continue
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !a.answer(conn, req.Method, id, m) {
			return
		}
	}
}

// answer treats a request that was read, and reports whether the connection goes on.
func (a *adversary) answer(conn net.Conn, method string, id pkid.RequestID, m misdeed) bool {
	write := func(text string) { _, _ = io.WriteString(conn, text) } // the client may be gone
	text := answerText(id)
	if slices.Contains(refusals, m) {
		write(refusalOf(id))
		if m == refuseTwice {
			write(refusalOf(id))
		}
		if m == refuseLater {
			time.Sleep(time.Millisecond)
			write(refusalOf(id))
		}
		return m != refuseThenClose
	}
	a.run(id)
	switch m {
	case chunked:
		write(answerHead("200 OK", id, "Transfer-Encoding: chunked\r\n"))
		if method != http.MethodHead {
			write(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text))
		}
		return true
	case unframed:
		write(answerHead("200 OK", id))
		if method != http.MethodHead {
			write(text)
		}
		return false
	case unframedCut:
		write(answerHead("200 OK", id) + text[:len(text)/2])
		return reset(conn)
	case unframedKilled:
		write(answerHead("200 OK", id) + text[:len(text)/2])
		return false
	case unsealed:
		write(unsealedHead(id, lengthOf(3)) + "xyz")
	case encoded:
		write(answerHead("200 OK", id, "Content-Encoding: gzip\r\n", lengthOf(3)) + "xyz")
	case failing:
		write(answerHead("500 Internal Server Error", id, lengthOf(0)))
	case truncated:
		write(answerHead("200 OK", id, lengthOf(len(text))) + text[:len(text)/2])
		return false
	case truncatedChunk:
		write(answerHead("200 OK", id, "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s", len(text), text[:len(text)/2]))
		return false
	case doubled:
		write(framedAnswer(id, method) + framedAnswer(id, method))
	case foreignAfter:
		write(framedAnswer(id, method) + framedAnswer("another", method))
	case foreignBefore:
		write(framedAnswer("another", method) + framedAnswer(id, method))
	case interleaved:
		write(answerHead("200 OK", id, "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("4\r\n%s\r\n", text[:4]) + framedAnswer("another", method))
	case lateExtra:
		write(framedAnswer(id, method))
		time.Sleep(time.Millisecond)
		write(framedAnswer(id, method))
	case closeRun:
		return false
	case resetRun:
		return reset(conn)
	case halfClose:
		write(framedAnswer(id, method))
		_ = conn.(*net.TCPConn).CloseWrite()
	case garbage:
		write("\x00\x01garbage\r\n\r\n")
	case statusZero:
		write(answerHead("000 Nothing", id, lengthOf(0)))
	case statusLow:
		write(answerHead("042 Nothing", id, lengthOf(0)))
	case statusHigh:
		write(answerHead("600 Nothing", id, lengthOf(0)))
	case blankName:
		write(answerHead("200 OK", id, "X Bad: 1\r\n", lengthOf(len(text))) + text)
	case blankLength:
		write(answerHead("200 OK", id, fmt.Sprintf("Content-Length : %d\r\n", len(text))) + text)
		return false
	case hints:
		write("HTTP/1.1 103 Early Hints\r\n\r\n" + framedAnswer(id, method))
	case lengthTwice:
		write(answerHead("200 OK", id, lengthOf(len(text)), lengthOf(len(text)-3)) + text)
	case negativeLength:
		write(answerHead("200 OK", id, lengthOf(-1)) + text)
	case hugeLength:
		write(answerHead("200 OK", id, lengthOf(len(text)+7)) + text)
		return false
	case surplus:
		write(framedAnswer(id, method) + text)
	default:
		write(framedAnswer(id, method))
	}
	return true
}

// reset resets a connection, and returns false.
func reset(conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
	return false
}

// adversaryRequest is a request to an adversary.
type adversaryRequest struct {
	id         pkid.RequestID
	method     string
	body       int
	idempotent bool
}

func drawRequest(t *rapid.T, n int) adversaryRequest {
	r := adversaryRequest{
		id:         pkid.RequestID(fmt.Sprintf("r%d", n)),
		method:     rapid.SampledFrom([]string{http.MethodGet, http.MethodPost, http.MethodPost, http.MethodHead}).Draw(t, "method"),
		idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
	if r.method == http.MethodPost {
		r.body = rapid.SampledFrom([]int{0, 10, 300_000}).Draw(t, "body")
	}
	return r
}

// result is what a request came to: its answer, or the verdict of all its sends.
type result struct {
	status  int
	body    string
	verdict pkverdict.Verdict
}

// sendAll sends a request until it has an answer or may not be sent again.
func sendAll(ctx context.Context, s *Sender, a *adversary, r adversaryRequest) result {
	out := &Request{Method: r.method, Host: "host.example", URI: "/", Header: http.Header{idHeader: {string(r.id)}}, Body: make([]byte, r.body)}
	out.Meta.ID = r.id
	verdict := pkverdict.NotRun
	for range 4 {
		got, err := sendOnce(ctx, s, a, out)
		if err == nil {
			got.verdict = pkverdict.Ran
			return got
		}
		var failure *pkverdict.Error
		if !errors.As(err, &failure) {
			failure = &pkverdict.Error{}
		}
		verdict = pkverdict.Join(verdict, failure.Verdict)
		if !verdict.MayRetry(r.idempotent) {
			break
		}
	}
	return result{verdict: verdict}
}

func sendOnce(ctx context.Context, s *Sender, a *adversary, r *Request) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, *adversaryBound)
	defer cancel()
	resp, err := s.Do(ctx, a.listener.Addr().String(), r, SendOptions{})
	if err != nil {
		return result{}, err
	}
	defer resp.Close()
	body, err := resp.ReadAll(1 << 20)
	if err == nil {
		err = resp.CheckAnswer()
	}
	if err == nil {
		err = pkexchange.Body{Delimited: resp.Delimited, TargetGone: a.isGone()}.Check()
	}
	return result{status: resp.Status, body: string(body)}, err
}

// Guards against an answer of another request, a part of one that counts as whole, a request that may not be repeated and
// runs twice, and one that is reported as not run and has run, whatever a target sends on connections that are used again.
func TestExchangesWithAnAdversary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdversary(t, rapid.SliceOfN(rapid.SampledFrom(misdeeds), 1, 12).Draw(t, "schedule"))
		defer a.close()
		o := pkconn.DefaultOptions()
		o.Registry = new(pkconn.Registry)
		s := NewSender(plainDialect{}, o)
		for n := range rapid.IntRange(1, 8).Draw(t, "requests") {
			r := drawRequest(t, n)
			got := sendAll(t.Context(), s, a, r)
			runs := a.runsOf(r.id)
			switch got.verdict {
			case pkverdict.NotRun:
				assert.Equal(t, runs, 0, "%s is reported as not run: %q", r.id, a.history())
			case pkverdict.Ran:
				assert.Equal(t, got.status, http.StatusOK, "%q", a.history())
				assert.Assert(t, r.method == http.MethodHead || got.body == answerText(r.id), "%s got %q: %q", r.id, got.body, a.history())
			default: // the target was lost
			}
			assert.Assert(t, r.idempotent || runs <= 1, "%s has run %d times: %q", r.id, runs, a.history())
		}
		assert.NilError(t, s.Close())
		for end := time.Now().Add(*adversaryBound); o.Registry.Open(a.listener.Addr().String()) > 0; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "connections are left open: %q", a.history())
		}
	})
}

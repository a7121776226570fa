package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Modes of a replica.
const (
	modePlain = "plain"
	// modeUnframed answers without a length and ends the connection after the answer.
	modeUnframed = "unframed"
)

// pieceText is one piece of an answer in pieces; a whole answer ends with endText.
const (
	pieceText = "piece %02d of the answer to %s;"
	endText   = "end"
)

func wholeAnswer(id string, pieces int) string {
	var b strings.Builder
	for n := range pieces {
		fmt.Fprintf(&b, pieceText, n+1, id)
	}
	return b.String() + endText
}

// wholeStream returns the events of a stream from one on.
func wholeStream(from, events int) string {
	var b strings.Builder
	for n := from; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %d\n\n", n, n, events)
	}
	return b.String()
}

// runReplica serves as a replica until it is killed: ID ADDR MODE BORN. The path of a request says how long it works
// and in how many pieces it answers: /record/MS/PIECES.
func runReplica(args []string) int {
	if len(args) != 4 {
		return exitNotRun
	}
	r := &replicaServer{id: args[0], mode: args[2]}
	err := http.ListenAndServe(args[1], r)
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}

type replicaServer struct{ id, mode string }

func (r *replicaServer) note(format string, args ...any) {
	fmt.Printf("%s replica %s: %s\n", time.Now().UTC().Format("15:04:05.000"), r.id, fmt.Sprintf(format, args...))
}

func (r *replicaServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h["Date"] = nil
	if req.URL.Path == "/health" {
		h.Set("Peridotknot-Replica-Id", r.id)
		return
	}
	id := req.Header.Get("Peridotknot-Attempt-Id")
	h.Set("Peridotknot-Attempt-Id", id)
	if req.Header.Get("Peridotknot-Expect-Instance") != r.id {
		r.note("%s: 421", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		r.note("%s: body not read: %v", id, err)
		return
	}
	r.note("%s: runs %s %s, tenant %q, %d bytes", id, req.Method, req.URL.Path, req.Header.Get("Peridotknot-Tenant"), len(body))
	parts := strings.Split(strings.Trim(req.URL.Path, "/"), "/")
	work, pieces := 20*time.Millisecond, 1
	if len(parts) == 3 {
		ms, _ := strconv.Atoi(parts[1])
		pieces, _ = strconv.Atoi(parts[2])
		work = time.Duration(ms) * time.Millisecond
	}
	h.Set("Peridotknot-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	switch {
	case r.mode == modeUnframed && strings.HasPrefix(req.URL.Path, "/question/"):
		r.unframed(w, id, work, strings.SplitAfter(wholeStream(last+1, pieces), "\n\n"))
	case r.mode == modeUnframed:
		r.unframed(w, id, work, strings.SplitAfter(wholeAnswer(id, pieces), ";"))
	case strings.HasPrefix(req.URL.Path, "/question/"):
		r.stream(w, req, id, work, last+1, pieces)
	default:
		select {
		case <-time.After(work):
		case <-req.Context().Done():
			r.note("%s: dropped, its connection is closed", id)
			return
		}
		text := wholeAnswer(id, pieces)
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		r.note("%s: answered whole", id)
	}
}

// unframed writes an answer without a length, piece by piece over the time of its work, and ends the connection.
func (r *replicaServer) unframed(w http.ResponseWriter, id string, work time.Duration, parts []string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nPeridotknot-Attempt-Id: %s\r\nPeridotknot-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nConnection: close\r\n\r\n", id)
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			r.note("%s: broken off: %v", id, err)
			return
		}
		time.Sleep(work / time.Duration(len(parts)))
	}
	r.note("%s: answered whole, without a length", id)
}

// stream writes an answer as events over the time of its work.
func (r *replicaServer) stream(w http.ResponseWriter, req *http.Request, id string, work time.Duration, from, pieces int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := from; n <= pieces; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, pieces); err != nil {
			r.note("%s: broken off after event %d", id, n-1)
			return
		}
		_ = control.Flush()
		if n == pieces {
			break
		}
		select {
		case <-time.After(work / time.Duration(pieces)):
		case <-req.Context().Done():
			r.note("%s: broken off after event %d", id, n)
			return
		}
	}
	r.note("%s: all %d events sent", id, pieces)
}

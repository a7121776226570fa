package pkstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotknot.example/pkplatform"
	"peridotknot.example/pktarget"
	"peridotknot.example/pktimer"
	"peridotknot.example/pktrace"
)

// Echo is what a stand-in service answers.
type Echo struct {
	Call   string `json:"call"`
	Bytes  int64  `json:"bytes"`
	Digest string `json:"digest"`
}

// Service is one stand-in for a plain service.
type Service struct {
	info   pktarget.Info
	takes  time.Duration
	max    int
	world  *World
	srv    *server
	active atomic.Int64
	slow   atomic.Int64
}

// ServeHTTP runs one call: it reads the body, counts the run and echoes.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pkplatform.PathServiceLoad {
		_ = json.NewEncoder(w).Encode(pkplatform.ServiceLoad{Active: int(s.active.Load()), Max: s.max}) // a caller that is gone is no fault
		return
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	sum := xxhash.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		return
	}
	call := r.Header.Get(pktrace.HeaderCall)
	s.world.ran(call)
	if !pktimer.Sleep(r.Context(), s.takes+time.Duration(s.slow.Load())) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Echo{Call: call, Bytes: n, Digest: strconv.FormatUint(sum.Sum64(), 16)})
}

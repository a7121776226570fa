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

// Echo is the response body of a stand-in service.
type Echo struct {
	Call   string `json:"call"`
	Bytes  int64  `json:"bytes"`
	Digest string `json:"digest"`
}

// Service is a stand-in for a plain service.
type Service struct {
	info           pktarget.Info
	processingTime time.Duration
	max            int
	env            *Environment
	srv            *server
	active         atomic.Int64
	extraDelay     atomic.Int64
}

// ServeHTTP runs a call: it reads the body, records the call and responds with an Echo.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pkplatform.PathServiceLoad {
		_ = json.NewEncoder(w).Encode(pkplatform.ServiceLoad{Active: int(s.active.Load()), Max: s.max}) // the client may have disconnected
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
	s.env.recordCall(call)
	if !pktimer.Sleep(r.Context(), s.processingTime+time.Duration(s.extraDelay.Load())) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Echo{Call: call, Bytes: n, Digest: strconv.FormatUint(sum.Sum64(), 16)})
}

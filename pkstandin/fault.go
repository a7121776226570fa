package pkstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pktrace"
)

// Paths of the stand-ins' admin interface.
const (
	PathFaults = "/faults"
	PathLedger = "/ledger"
)

func (w *World) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathFaults, func(rw http.ResponseWriter, r *http.Request) {
		var f pktrace.Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if err := w.Fault(f); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET "+PathLedger, func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(w.Ledger()) // a caller that is gone is no fault
	})
	return mux
}

// Fault brings a fault about and ends it after its time.
func (w *World) Fault(f pktrace.Fault) error {
	extra := time.Duration(f.ExtraMS) * time.Millisecond
	switch f.Name {
	case pktrace.FaultStore:
		w.KV.SetDown(true)
		w.undo(f, func() { w.KV.SetDown(false) })
		return nil
	case pktrace.FaultLostSwap:
		w.KV.LoseAnswers(1)
		return nil
	case pktrace.FaultVMList:
		w.emptyList.Store(true)
		w.undo(f, func() { w.emptyList.Store(false) })
		return nil
	case pktrace.FaultKill, pktrace.FaultSilence, pktrace.FaultSlow, pktrace.FaultLeave:
	case pktrace.FaultPublish, pktrace.FaultEntry, pktrace.FaultReplace:
		return fmt.Errorf("fault %q is not the stand-ins' to bring about", f.Name)
	default:
		return fmt.Errorf("there is no fault %q", f.Name)
	}
	id := pkid.TargetID(f.Target)
	if e, found := w.engines[id]; found {
		return w.engineFault(e, f, extra)
	}
	if s, found := w.services[id]; found {
		return w.serviceFault(s, f, extra)
	}
	return fmt.Errorf("there is no target %q", f.Target)
}

func (w *World) undo(f pktrace.Fault, do func()) {
	if f.ForMS > 0 {
		w.later(time.Duration(f.ForMS)*time.Millisecond, do)
	}
}

func (w *World) engineFault(e *Engine, f pktrace.Fault, extra time.Duration) error {
	switch f.Name {
	case pktrace.FaultKill:
		e.dead.Store(true)
		e.srv.kill()
		w.undo(f, e.restart)
	case pktrace.FaultSilence:
		e.srv.silence()
	case pktrace.FaultSlow:
		e.slow.Store(int64(extra))
		w.undo(f, func() { e.slow.Store(0) })
	case pktrace.FaultLeave:
		e.leaving.Store(true)
		w.undo(f, func() { w.leave(e) })
	default:
		return fmt.Errorf("fault %q is not for engines", f.Name)
	}
	return nil
}

// restart brings a killed engine back; what ran on it is forgotten.
func (e *Engine) restart() {
	e.mu.Lock()
	e.boot++
	e.loading = false
	clear(e.runs)
	e.mu.Unlock()
	e.dead.Store(false)
	if err := e.srv.start(); err != nil {
		e.world.violation("engine %s could not come back: %v", e.info.ID, err)
	}
}

// leave takes an engine away at the end of its notice.
func (w *World) leave(e *Engine) {
	e.dead.Store(true)
	e.srv.kill()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone[e.info.ID] = true
}

func (w *World) serviceFault(s *Service, f pktrace.Fault, extra time.Duration) error {
	switch f.Name {
	case pktrace.FaultKill:
		s.srv.kill()
		w.undo(f, func() {
			if err := s.srv.start(); err != nil {
				w.violation("service %s could not come back: %v", s.info.ID, err)
			}
		})
	case pktrace.FaultSilence:
		s.srv.silence()
	case pktrace.FaultSlow:
		s.slow.Store(int64(extra))
		w.undo(f, func() { s.slow.Store(0) })
	default:
		return fmt.Errorf("fault %q is not for services", f.Name)
	}
	return nil
}

package pkstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pktrace"
)

// Paths of the admin interface.
const (
	PathFaults = "/faults"
	PathLedger = "/ledger"
)

func (env *Environment) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathFaults, func(rw http.ResponseWriter, r *http.Request) {
		var f pktrace.Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if err := env.InjectFault(f); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET "+PathLedger, func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(env.Ledger()) // the client may have disconnected
	})
	return mux
}

// InjectFault injects a fault and reverts it after its duration, if it has one.
func (env *Environment) InjectFault(f pktrace.Fault) error {
	extra := time.Duration(f.ExtraMS) * time.Millisecond
	switch f.Name {
	case pktrace.FaultStoreDown:
		env.KV.SetDown(true)
		env.revertAfter(f, func() { env.KV.SetDown(false) })
		return nil
	case pktrace.FaultStoreAnswerLost:
		env.KV.DropResponses(1)
		return nil
	case pktrace.FaultVMListEmpty:
		env.emptyList.Store(true)
		env.revertAfter(f, func() { env.emptyList.Store(false) })
		return nil
	case pktrace.FaultKill, pktrace.FaultSilence, pktrace.FaultSlow, pktrace.FaultLeave:
	case pktrace.FaultPublish, pktrace.FaultEntryStop, pktrace.FaultReplaceEntries:
		return fmt.Errorf("fault %q is not the stand-ins' to bring about", f.Name)
	default:
		return fmt.Errorf("there is no fault %q", f.Name)
	}
	id := pkid.TargetID(f.Target)
	if e, found := env.engines[id]; found {
		return env.engineFault(e, f, extra)
	}
	if s, found := env.services[id]; found {
		return env.serviceFault(s, f, extra)
	}
	return fmt.Errorf("there is no target %q", f.Target)
}

func (env *Environment) revertAfter(f pktrace.Fault, do func()) {
	if f.ForMS > 0 {
		env.after(time.Duration(f.ForMS)*time.Millisecond, do)
	}
}

func (env *Environment) engineFault(e *Engine, f pktrace.Fault, extra time.Duration) error {
	switch f.Name {
	case pktrace.FaultKill:
		e.dead.Store(true)
		e.srv.kill()
		env.revertAfter(f, e.restart)
	case pktrace.FaultSilence:
		e.srv.blackholeConns()
	case pktrace.FaultSlow:
		e.extraDelay.Store(int64(extra))
		env.revertAfter(f, func() { e.extraDelay.Store(0) })
	case pktrace.FaultLeave:
		e.leaving.Store(true)
		env.revertAfter(f, func() { env.removeEngine(e) })
	default:
		return fmt.Errorf("fault %q is not for engines", f.Name)
	}
	return nil
}

// restart starts a killed engine again with a new boot number and without its streams.
func (e *Engine) restart() {
	e.mu.Lock()
	e.boot++
	e.loading = false
	clear(e.nextIndex)
	e.mu.Unlock()
	e.dead.Store(false)
	if err := e.srv.start(); err != nil {
		e.env.recordViolation("engine %s could not come back: %v", e.info.ID, err)
	}
}

// removeEngine stops an engine and removes it from the VM list at the end of its notice period.
func (env *Environment) removeEngine(e *Engine) {
	e.dead.Store(true)
	e.srv.kill()
	env.mu.Lock()
	defer env.mu.Unlock()
	env.removed[e.info.ID] = true
}

func (env *Environment) serviceFault(s *Service, f pktrace.Fault, extra time.Duration) error {
	switch f.Name {
	case pktrace.FaultKill:
		s.srv.kill()
		env.revertAfter(f, func() {
			if err := s.srv.start(); err != nil {
				env.recordViolation("service %s could not come back: %v", s.info.ID, err)
			}
		})
	case pktrace.FaultSilence:
		s.srv.blackholeConns()
	case pktrace.FaultSlow:
		s.extraDelay.Store(int64(extra))
		env.revertAfter(f, func() { s.extraDelay.Store(0) })
	default:
		return fmt.Errorf("fault %q is not for services", f.Name)
	}
	return nil
}

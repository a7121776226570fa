package pksignal

import (
	"os"
	"syscall"
)

// Stage is how far a daemon has come.
type Stage string

// Stages of a daemon, in order.
const (
	// Starting lasts until the daemon serves.
	Starting Stage = "starting"
	Serving  Stage = "serving"
	// Stopping lasts from the first signal that stops the daemon to the end of its process.
	Stopping Stage = "stopping"
)

// Effect is what a signal does.
type Effect string

// Effects of signals.
const (
	None Effect = "none"
	Stop Effect = "stop"
	// Reload checks the settings file for changes.
	Reload Effect = "check settings"
)

// Effect returns what a signal does in a stage; reloads is set for a daemon that can change its settings while it runs.
func (s Stage) Effect(signal os.Signal, reloads bool) Effect {
	switch signal {
	case syscall.SIGHUP:
		if reloads {
			return Reload
		}
	case syscall.SIGINT, syscall.SIGTERM:
		if s != Stopping {
			return Stop
		}
	}
	return None
}

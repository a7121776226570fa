package pkdaemon

import (
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkengine"
	"peridotknot.example/pkentry"
	"peridotknot.example/pketcd"
	"peridotknot.example/pkplatform"
	"peridotknot.example/pkservice"
)

const (
	// streamIdleTimeout is how long a stream may be silent before its engine counts as failed. It
	// spans four heartbeats to tolerate a late one.
	streamIdleTimeout = 4 * pkengine.HeartbeatInterval
	// serviceAttempts is the maximum number of attempts of a call to a plain service.
	serviceAttempts = 4
)

// New returns an entry that uses the HTTP adapters at the addresses in s.
func New(s pkentry.Settings, log hclog.Logger, tracer trace.Tracer) (*pkentry.Entry, error) {
	o := pkconn.DefaultOptions()
	return pkentry.New(s, pkentry.Ports{
		Store:    pketcd.New(s.Store, o),
		Platform: pkplatform.New(s.Platform, o),
		Engines:  pkengine.NewClient(o, streamIdleTimeout),
		Services: pkservice.New(o, serviceAttempts),
	}, log, tracer)
}

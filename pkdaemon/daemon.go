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
	// streamSilence is how long a stream may say nothing: four beats, so that
	// one late beat is no fault and a lost engine is known within 0.6 s.
	streamSilence = 4 * pkengine.BeatEvery
	// serviceTries bounds how often a call to a plain service is offered: each
	// target of a usual service, and the first once more.
	serviceTries = 4
)

// New returns an entry over the adapters that its settings name.
func New(s pkentry.Settings, log hclog.Logger, tracer trace.Tracer) (*pkentry.Entry, error) {
	o := pkconn.DefaultOptions()
	return pkentry.New(s, pkentry.Ports{
		Store:    pketcd.New(s.Store, o),
		Platform: pkplatform.New(s.Platform, o),
		Engines:  pkengine.NewClient(o, streamSilence),
		Services: pkservice.New(o, serviceTries),
	}, log, tracer)
}

// Command peridotknotd is the entry daemon, which serves callers and routes their requests to
// targets.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"peridotknot.example/pkcli"
	"peridotknot.example/pkdaemon"
	"peridotknot.example/pkentry"
	"peridotknot.example/pksignal"
	"peridotknot.example/pkversion"
)

// flushTimeout bounds the export of the remaining spans at shutdown.
const flushTimeout = 3 * time.Second

func main() { os.Exit(pkcli.RunDaemon("", pkentry.ParseSettings, serve)) }

func serve(process pkcli.Daemon[pkentry.Settings]) error {
	s := process.Settings
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "peridotknotd",
		Level:      hclog.LevelFromString(s.Log.Level),
		JSONFormat: s.Log.Format == pkentry.LogJSON,
		Output:     os.Stderr,
	})
	tracer, flush, err := newTracer(context.Background(), s.Trace)
	if err != nil {
		return err
	}
	defer flush()
	e, err := pkdaemon.New(s, log, tracer)
	if err != nil {
		return err
	}
	log.Info("serving", "version", pkversion.Text(), "callers", e.CallersAddr(), "admin", e.AdminAddr())
	return process.Signals.Run(pksignal.Options{Log: log}, e.Run)
}

// newTracer returns a tracer that exports to the OTLP endpoint of the settings, if there is one, and
// a function that flushes it.
func newTracer(ctx context.Context, t pkentry.TraceExport) (trace.Tracer, func(), error) {
	const name = "peridotknot"
	if t.OTLP == "" {
		return noop.NewTracerProvider().Tracer(name), func() {}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(t.OTLP), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, nil, fmt.Errorf("export traces: %w", err)
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	flush := func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		_ = provider.Shutdown(ctx) // spans that cannot be exported by now are dropped
	}
	return provider.Tracer(name), flush, nil
}

// Command peridotknotd is the entry daemon: it serves callers and routes their
// requests to targets.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"peridotknot.example/pkentry"
	"peridotknot.example/pkversion"
)

const (
	exitFailed   = 1
	exitBadInput = 2
	flushTimeout = 3 * time.Second
)

type options struct {
	Settings string `long:"settings" description:"settings file, YAML"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return 0
		}
		return exitBadInput
	}
	if o.Version {
		fmt.Println(pkversion.Text())
		return 0
	}
	s, err := readSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	if o.Check {
		return 0
	}
	if err := serve(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

func readSettings(file string) (pkentry.Settings, error) {
	if file == "" {
		return pkentry.Settings{}, errors.New("--settings is missing")
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return pkentry.Settings{}, err
	}
	return pkentry.ParseSettings(file, raw)
}

func serve(s pkentry.Settings) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "peridotknotd",
		Level:      hclog.LevelFromString(s.Log.Level),
		JSONFormat: s.Log.Format == pkentry.LogJSON,
		Output:     os.Stderr,
	})
	tracer, flush, err := newTracer(ctx, s.Trace)
	if err != nil {
		return err
	}
	defer flush()
	e, err := pkentry.New(s, log, tracer)
	if err != nil {
		return err
	}
	log.Info("serving", "version", pkversion.Text(), "callers", e.Callers(), "admin", e.Admin())
	return e.Run(ctx)
}

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
		_ = provider.Shutdown(ctx) // spans that cannot be exported now are lost either way
	}
	return provider.Tracer(name), flush, nil
}

// Package trace makes a span for each hop of a request and carries the trace
// context from caller to target. Where it is off, it only passes the context on.
package trace

import (
	"context"
	"io"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"

	"carawaymux.dev/entry/setup"
	"carawaymux.dev/fleet/fault"
)

// Header is the header that carries the trace context.
const Header = "Traceparent"

const carrierKey = "traceparent"

// Tracer makes spans. A nil Tracer makes none.
type Tracer struct {
	tracer   api.Tracer
	provider *sdk.TracerProvider
	file     io.Closer
}

// New builds a tracer by the settings; it is nil when tracing is off.
func New(s setup.Trace, entry string) (*Tracer, error) {
	if s.Exporter == "off" {
		return nil, nil
	}
	t := &Tracer{}
	var out io.Writer = os.Stderr
	if s.Exporter == "file" {
		f, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fault.At("open-trace", s.File, err)
		}
		out, t.file = f, f
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fault.At("open-trace", s.File, err)
	}
	t.provider = sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(s.SampleRatio))),
	)
	t.tracer = t.provider.Tracer("carawaymux.dev/entry",
		api.WithInstrumentationAttributes(attribute.String("entry", entry)))
	return t, nil
}

// Close writes out the spans that are left.
func (t *Tracer) Close() {
	if t == nil {
		return
	}
	_ = t.provider.Shutdown(context.Background())
	if t.file != nil {
		_ = t.file.Close()
	}
}

// Span is one hop. The zero value is a span that is not recorded.
type Span struct {
	span api.Span
	// Traceparent is the trace context for the next hop.
	Traceparent string
}

// Start begins a span under the trace context of the hop before.
func (t *Tracer) Start(parent, name string, attributes ...string) Span {
	if t == nil {
		return Span{Traceparent: parent}
	}
	ctx := context.Background()
	propagator := propagation.TraceContext{}
	if parent != "" {
		ctx = propagator.Extract(ctx, propagation.MapCarrier{carrierKey: parent})
	}
	ctx, span := t.tracer.Start(ctx, name)
	for i := 0; i+1 < len(attributes); i += 2 {
		span.SetAttributes(attribute.String(attributes[i], attributes[i+1]))
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return Span{span: span, Traceparent: carrier[carrierKey]}
}

// End ends the span with the outcome of the hop.
func (s Span) End(outcome, reason string) {
	if s.span == nil {
		return
	}
	s.span.SetAttributes(attribute.String("outcome", outcome))
	if reason != "" {
		s.span.SetStatus(codes.Error, reason)
	}
	s.span.End()
}

// Package trace creates a span for each hop of a request and propagates the trace context from
// caller to target. If tracing is off, it creates no spans and still propagates the caller's
// context.
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

// carrierKey is the key of the trace context in a carrier of the propagator.
const carrierKey = "traceparent"

// Tracer creates spans. A nil Tracer creates none.
type Tracer struct {
	tracer   api.Tracer
	provider *sdk.TracerProvider
	file     io.Closer
}

// New builds a tracer from the settings. It returns nil if tracing is off.
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

// Close exports the remaining spans and closes the trace file.
func (t *Tracer) Close() {
	if t == nil {
		return
	}
	_ = t.provider.Shutdown(context.Background())
	if t.file != nil {
		_ = t.file.Close()
	}
}

// Span is the span of one hop. The zero value is a span that is not recorded.
type Span struct {
	span api.Span
	// TraceParent is the trace context to send to the next hop, in the format of the W3C
	// traceparent header.
	TraceParent string
}

// Start begins a span whose parent is the trace context from the previous hop. Attributes are pairs
// of key and value.
func (t *Tracer) Start(parent, name string, attributes ...string) Span {
	if t == nil {
		return Span{TraceParent: parent}
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
	return Span{span: span, TraceParent: carrier[carrierKey]}
}

// End ends the span with the outcome of the hop. A reason that is not empty marks the span as
// failed.
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

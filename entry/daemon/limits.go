package daemon

import (
	"log/slog"
	"runtime/debug"

	"carawaymux.dev/entry/limit"
	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/setup"
	"carawaymux.dev/fleet/shed"
)

// memoryTargetShare is the fraction of the memory of the process that is set as the soft memory limit of the Go runtime.
const memoryTargetShare = 0.6

// startLimits starts the limits on what clients hold.
func startLimits(s *setup.Settings, logger *slog.Logger) *limit.Limiter {
	debug.SetMemoryLimit(int64(memoryTargetShare * float64(s.Limits.Memory)))
	return limit.Start(shed.Derive(shed.Process{
		Memory: int64(s.Limits.Memory), Descriptors: s.Limits.Descriptors,
		Largest: int64(max(s.Limits.Body, link.MaxFrameBytes)), TLS: !s.Listen.AllowPlaintext,
	}), shed.LeastProgress{}, logger)
}

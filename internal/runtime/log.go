package runtime

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pipitring/internal/config"
)

// NewLogger returns a structured logger on standard error. At most log.per_second lines of the same level and message
// are written per second, so that an attack does not fill the disk; further ones are dropped.
func NewLogger(c config.Log) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(c.Level)
	if err != nil {
		return nil, err
	}
	z := zap.NewProductionConfig()
	z.Level = zap.NewAtomicLevelAt(level)
	z.Sampling = nil
	z.DisableStacktrace = true
	z.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	z.EncoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	return z.Build(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, c.PerSecond, 0)
	}))
}

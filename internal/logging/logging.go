package logging

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/agatestep/agatestep/internal/settings"
)

// New returns the logger that the settings ask for. Close the sink at the end.
func New(cfg settings.Log, out io.Writer) (*zap.Logger, *Sink, error) {
	level, err := zapcore.ParseLevel(cfg.Level)
	if err != nil {
		return nil, nil, err
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	if cfg.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	sink := NewSink(out, cfg.LinesPerSecond, time.Now)
	return zap.New(zapcore.NewCore(encoder, sink, level), zap.AddCaller()), sink, nil
}

// Error is the field of an error, without the stack that some errors print; it is
// absent for nil.
func Error(err error) zap.Field { return Cause("error", err) }

// Cause is the same with another key.
func Cause(key string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(key, err.Error())
}

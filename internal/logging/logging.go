package logging

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/agatestep/agatestep/internal/settings"
)

// New returns a logger with the given settings that writes to out, and its sink, which
// the caller closes at the end. It returns an error if the level is unknown.
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

// Error returns the field "error" with the message of err, without the stack trace that
// some errors print. There is no field if err is nil.
func Error(err error) zap.Field { return NamedError("error", err) }

// NamedError is like Error, with the given key.
func NamedError(key string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(key, err.Error())
}

package logs

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Format is how log lines are written.
type Format string

// The log formats.
const (
	FormatJSON    Format = "json"
	FormatConsole Format = "console"
)

// New returns a logger that writes lines up to verbosity v to w.
func New(w io.Writer, f Format, v int) logr.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.TimeKey = "time"
	enc := zapcore.NewJSONEncoder(cfg)
	if f == FormatConsole {
		enc = zapcore.NewConsoleEncoder(cfg)
	}
	core := zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(w)), zapcore.Level(-v))
	return zapr.NewLogger(zap.New(core))
}

package event

import (
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewJSONLogger returns a logger that writes one JSON object per line to w, from level info on.
func NewJSONLogger(w zapcore.WriteSyncer) logr.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, zapcore.InfoLevel)
	return zapr.NewLogger(zap.New(core))
}

package telemetry

import (
	"log"
	"strings"

	"go.uber.org/zap"
)

// serverMessage is the one text of everything that net/http reports by itself,
// so that its repetitions are bounded whatever address they name.
const serverMessage = "HTTP server"

// ServerLog returns the error log of an http.Server. Nobody asked for what is
// written there: a port scan or a peer without a certificate causes it.
func ServerLog(logger *zap.Logger) *log.Logger {
	return log.New(serverWriter{logger}, "", 0)
}

type serverWriter struct{ logger *zap.Logger }

// Write logs one report of the server.
func (w serverWriter) Write(report []byte) (int, error) {
	w.logger.Warn(serverMessage, zap.String("error", oneLine(strings.TrimSpace(string(report)))))
	return len(report), nil
}

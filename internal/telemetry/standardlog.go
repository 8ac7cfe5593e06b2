package telemetry

import (
	"log"
	"strings"

	"go.uber.org/zap"
)

const (
	// standardMessage is the one text of all lines of the standard logger, so that their repetitions
	// are bounded.
	standardMessage = "standard logger"
	// maxStandardBytes bounds the text of such a line, which may quote what a peer sent.
	maxStandardBytes = 256
)

// CaptureStandardLog passes what is written to the standard logger, such as net/http's lines about
// unsolicited responses, to the logger. It returns a function that undoes this.
func CaptureStandardLog(logger *zap.Logger) (restore func()) {
	output, flags := log.Writer(), log.Flags()
	log.SetFlags(0)
	log.SetOutput(standardWriter{logger})
	return func() {
		log.SetOutput(output)
		log.SetFlags(flags)
	}
}

type standardWriter struct{ logger *zap.Logger }

// Write logs one line.
func (w standardWriter) Write(line []byte) (int, error) {
	text := string(line[:min(len(line), maxStandardBytes)])
	w.logger.Warn(standardMessage, zap.String("text", oneLine(strings.TrimSpace(text))), zap.Int("bytes", len(line)))
	return len(line), nil
}

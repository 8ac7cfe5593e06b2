// Package contain recovers panics in the processing of external input, so that they do not end the
// process. A panic that ended one node would end all of them: the same document, record or order
// reaches every node, a request is retried at the next one, and a restarted node receives them
// first.
package contain

import (
	"fmt"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// stackInterval is the minimum time between two log entries that include a stack trace, so that
// requests in quick succession do not fill the log.
const stackInterval = time.Second

// stackLimiter decides which log entries include a stack trace.
var stackLimiter = rate.Sometimes{First: 1, Interval: stackInterval}

// Run calls work. A panic is logged with the kind of input and returned as an error; side effects
// up to that point remain. The function must release its locks by defer.
func Run(input string, logger *zap.Logger, work func()) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("step=%s: panic: %v", input, recovered)
			logPanic(input, logger, err)
		}
	}()
	work()
	return nil
}

// logPanic logs a panic, with its stack trace if none was logged recently.
func logPanic(input string, logger *zap.Logger, err error) {
	fields := []zap.Field{zap.String("input", input), zap.Error(err)}
	stackLimiter.Do(func() { fields = append(fields, zap.Stack("stack")) })
	logger.Error("panic contained", fields...)
}

// Package contain keeps work on input from outside from ending the process. What ends one
// node ends all: the same document, record or order reaches every node, a request comes again
// at the next one, and a node that starts anew gets them first of all.
package contain

import (
	"fmt"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// stackInterval is the least time between two lines of the log that bear a stack: requests
// that come fast must not fill the log with it.
const stackInterval = time.Second

// stackLimiter says when a line may bear one.
var stackLimiter = rate.Sometimes{First: 1, Interval: stackInterval}

// Run does the work. A panic of it is logged with the kind of input and returned as an
// error; what the work had done until then stays. The work releases its locks by defer.
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

// logPanic writes a line for a panic, with its stack when there was none for a while.
func logPanic(input string, logger *zap.Logger, err error) {
	fields := []zap.Field{zap.String("input", input), zap.Error(err)}
	stackLimiter.Do(func() { fields = append(fields, zap.Stack("stack")) })
	logger.Error("panic contained", fields...)
}

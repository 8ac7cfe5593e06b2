package egress

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// TestSampledLogger: the first lines of each second are written, from whatever goroutine and with
// whatever fields, and none below the logger's level.
func TestSampledLogger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		core, written := observer.New(zapcore.InfoLevel)
		logger := newSampledLogger(zap.New(core))
		time.Sleep(time.Second - time.Duration(time.Now().Nanosecond()))
		var writing sync.WaitGroup
		for range 8 {
			writing.Go(func() {
				for range 20 {
					logger.Info("call served")
					logger.With(zap.Int("field", 1)).Info("call served")
					logger.Debug("not enabled")
				}
			})
		}
		writing.Wait()
		g.Expect(written.Len()).To(Equal(loggedCallsPerSecond))
		for range 3 {
			time.Sleep(time.Second)
			for range 20 {
				logger.Info("call served")
			}
		}
		g.Expect(written.Len()).To(Equal(4 * loggedCallsPerSecond))
		time.Sleep(time.Second)
		logger.Info("call served")
		g.Expect(written.Len()).To(Equal(4*loggedCallsPerSecond + 1))
	})
}

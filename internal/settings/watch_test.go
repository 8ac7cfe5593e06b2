package settings_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// patience bounds the waits of this file.
const patience = 20 * time.Second

// TestAHangupNeverEndsTheProcess: before the watch begins, while it runs and after
// it has ended. A process whose stop has begun was ended by one.
func TestAHangupNeverEndsTheProcess(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings")
	g.Expect(os.WriteFile(path, nil, 0o600)).To(Succeed())
	hangUp := func() { g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed()) }
	hangups := settings.Hangups()
	hangUp()
	ctx, end := context.WithCancel(t.Context())
	changed := make(chan struct{}, 8)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		settings.Watch(ctx, path, hangups, func() { changed <- struct{}{} })
	}()
	g.Eventually(changed).WithTimeout(patience).Should(Receive())
	hangUp()
	g.Eventually(changed).WithTimeout(patience).Should(Receive())
	end()
	g.Eventually(ended).WithTimeout(patience).Should(BeClosed())
	hangUp()
	g.Eventually(hangups).WithTimeout(patience).Should(Receive(), "it has arrived, and the process lives")
}

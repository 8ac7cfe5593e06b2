package telemetry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/http/pprof"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/build"
)

// Bounds of the admin listener. It serves reads only.
const (
	adminHeaderTimeout = 5 * time.Second
	adminWriteTimeout  = 2 * time.Minute
	adminHeaderBytes   = 16 << 10
	adminStopTimeout   = time.Second
)

// Check returns nil when what it looks at is well, and the reason when not.
type Check func() error

// Page returns what an admin page shows, to be written as JSON. It must hold
// no secret.
type Page func() any

// Admin serves a process's admin listener.
type Admin struct {
	logger *zap.Logger
	mux    *http.ServeMux

	// lock guards the maps, which other parts fill while the process starts.
	lock   sync.Mutex
	checks map[string]Check
	pages  map[string]string
}

// NewAdmin returns an admin server with the pages every process has. The
// runtime's profiles are served only when profiling is true.
func NewAdmin(registry *prometheus.Registry, profiling bool, logger *zap.Logger) *Admin {
	admin := &Admin{logger: logger, mux: http.NewServeMux(), checks: map[string]Check{}, pages: map[string]string{}}
	admin.mux.HandleFunc("GET /{$}", admin.serveIndex)
	admin.Handle("/health", "200 as long as the process answers", http.HandlerFunc(serveHealth))
	admin.Handle("/ready", "200 when every readiness check passes, else 503 with the reasons", http.HandlerFunc(admin.serveReady))
	admin.Handle("/metrics", "metrics in the Prometheus text format", promhttp.HandlerFor(ownFirst(registry), promhttp.HandlerOpts{}))
	admin.AddPage("/build", "the build that is running", func() any { return build.Read() })
	if profiling {
		admin.handleProfiles()
	}
	return admin
}

// AddCheck adds a named readiness check.
func (a *Admin) AddCheck(name string, check Check) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.checks[name] = check
}

// AddPage adds a page at a path such as "/applied".
func (a *Admin) AddPage(path, description string, page Page) {
	a.Handle(path, description, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		a.writeJSON(writer, http.StatusOK, page())
	}))
}

// Handle adds a handler for reads at a path; the index shows the description.
func (a *Admin) Handle(path, description string, handler http.Handler) {
	a.lock.Lock()
	a.pages[path] = description
	a.lock.Unlock()
	a.mux.Handle("GET "+path, handler)
}

// HandleCommand adds a command, which changes something: it is posted.
func (a *Admin) HandleCommand(path string, handler http.Handler) { a.mux.Handle("POST "+path, handler) }

func (a *Admin) handleProfiles() {
	a.Handle("/debug/pprof/", "profiles of the runtime", http.HandlerFunc(pprof.Index))
	a.Handle("/debug/pprof/profile", "processor profile", http.HandlerFunc(pprof.Profile))
	a.Handle("/debug/pprof/symbol", "symbols", http.HandlerFunc(pprof.Symbol))
	a.Handle("/debug/pprof/trace", "execution trace", http.HandlerFunc(pprof.Trace))
}

// Handler returns the whole admin handler.
func (a *Admin) Handler() http.Handler { return a.mux }

// Serve serves the listener until the context ends. It returns nil after an
// orderly stop.
func (a *Admin) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           a.mux,
		ReadHeaderTimeout: adminHeaderTimeout,
		WriteTimeout:      adminWriteTimeout,
		MaxHeaderBytes:    adminHeaderBytes,
		ErrorLog:          ServerLog(a.logger),
	}
	stopped := context.AfterFunc(ctx, func() { stopAdmin(server) })
	defer stopped()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err, "serving the admin listener %s", listener.Addr())
}

func stopAdmin(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), adminStopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// FailedCheck is a readiness check that does not pass.
type FailedCheck struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// Readiness is what the ready page shows.
type Readiness struct {
	Ready  bool          `json:"ready"`
	Failed []FailedCheck `json:"failed,omitempty"`
}

// Readiness runs every check.
func (a *Admin) Readiness() Readiness {
	a.lock.Lock()
	checks := maps.Clone(a.checks)
	a.lock.Unlock()
	readiness := Readiness{Ready: true}
	for _, name := range slices.Sorted(maps.Keys(checks)) {
		if err := checks[name](); err != nil {
			readiness.Ready = false
			readiness.Failed = append(readiness.Failed, FailedCheck{Name: name, Reason: ErrorText(err)})
		}
	}
	return readiness
}

func (a *Admin) serveReady(writer http.ResponseWriter, _ *http.Request) {
	readiness := a.Readiness()
	status := http.StatusOK
	if !readiness.Ready {
		status = http.StatusServiceUnavailable
	}
	a.writeJSON(writer, status, readiness)
}

func serveHealth(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = writer.Write([]byte("ok\n"))
}

// indexEntry is one line of the index page.
type indexEntry struct {
	Path        string `json:"path"`
	Description string `json:"description"`
}

func (a *Admin) serveIndex(writer http.ResponseWriter, _ *http.Request) {
	a.lock.Lock()
	entries := make([]indexEntry, 0, len(a.pages))
	for _, path := range slices.Sorted(maps.Keys(a.pages)) {
		entries = append(entries, indexEntry{Path: path, Description: a.pages[path]})
	}
	a.lock.Unlock()
	a.writeJSON(writer, http.StatusOK, entries)
}

func (a *Admin) writeJSON(writer http.ResponseWriter, status int, content any) {
	encoded, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		a.logger.Error("encoding an admin page", Error(err))
		http.Error(writer, "the page cannot be encoded", http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(append(encoded, '\n'))
}

package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// maximumRequestBody bounds what a request may carry, in bytes.
const maximumRequestBody = 16 << 20

// serveWork runs one numbered request. A request without a number is run and
// answered but not recorded.
func (b *Backend) serveWork(response http.ResponseWriter, request *http.Request) {
	number, numbered, err := parseNumber(request.Header.Get(HeaderNumber))
	if err != nil {
		http.Error(response, "header "+HeaderNumber+" must be an unsigned decimal number", http.StatusBadRequest)
		return
	}
	exchange := &exchange{backend: b, response: response, request: request, number: number, numbered: numbered}
	exchange.behaviour = b.behaviour.Load()
	if numbered {
		exchange.fault = exchange.behaviour.FaultOf(number, b.salt)
		exchange.long = exchange.fault == FaultNone && exchange.behaviour.IsLong(number)
	}
	exchange.serve()
}

func parseNumber(text string) (number uint64, present bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	number, err = strconv.ParseUint(text, 10, 64)
	return number, true, err
}

// exchange is one request in the back end.
type exchange struct {
	backend   *Backend
	behaviour *Behaviour
	response  http.ResponseWriter
	request   *http.Request
	number    uint64
	numbered  bool
	fault     Fault
	// long exchanges take LongWork and are answered in two halves.
	long bool
}

func (e *exchange) serve() {
	e.arrive()
	if e.fault == FaultKillBefore {
		e.kill()
		return
	}
	if e.fault == FaultShed || !e.backend.takeSlot() {
		e.shed()
		return
	}
	defer e.backend.inFlight.Add(-1)
	if _, err := io.Copy(io.Discard, io.LimitReader(e.request.Body, maximumRequestBody)); err != nil {
		e.cancelled()
		return
	}
	e.run()
	if !e.work() {
		return
	}
	e.answer()
}

func (e *exchange) arrive() {
	e.backend.arrivals.Add(1)
	if e.backend.Draining() {
		e.backend.lastNewWork.Store(time.Now().UnixNano())
	}
	e.record(func(record *Record) { record.Arrivals++ })
}

func (e *exchange) run() {
	e.backend.runs.Add(1)
	e.record(func(record *Record) {
		record.Runs++
		if e.fault == FaultSlow || e.behaviour.Stalled {
			record.Slowed++
		}
	})
}

func (e *exchange) cancelled() {
	e.backend.cancels.Add(1)
	e.record(func(record *Record) { record.Cancellations++ })
}

func (e *exchange) record(change func(*Record)) {
	if e.numbered {
		e.backend.options.Ledger.update(e.number, change)
	}
}

func (e *exchange) shed() {
	e.backend.sheds.Add(1)
	e.record(func(record *Record) { record.Sheds++ })
	header := e.response.Header()
	header.Set(HeaderShed, ShedValue)
	header.Set(HeaderName, e.backend.options.Name)
	header.Set("Retry-After", "1")
	e.response.WriteHeader(http.StatusServiceUnavailable)
}

// work occupies the slot for the request's time; false when the exchange is
// over before an answer.
func (e *exchange) work() bool {
	ctx := e.request.Context()
	if !e.backend.waitWhileStalled(ctx) {
		e.cancelled()
		return false
	}
	duration := e.duration()
	if e.fault == FaultKillDuring {
		waitFor(ctx, duration/2)
		e.kill()
		return false
	}
	if !waitFor(ctx, duration) {
		e.cancelled()
		return false
	}
	if e.fault == FaultKillAfter {
		e.kill()
		return false
	}
	return true
}

func (e *exchange) duration() time.Duration {
	if e.fault == FaultSlow {
		return time.Duration(e.behaviour.SlowWork)
	}
	if e.long {
		return time.Duration(e.behaviour.LongWork) / 2
	}
	age := time.Since(e.backend.started)
	return coldWork(time.Duration(e.behaviour.Work), age, e.backend.options.ColdStart)
}

func (e *exchange) answer() {
	answer := BuildAnswer(e.number, e.behaviour.AnswerBytes)
	e.writeHeader(len(answer))
	half := len(answer) / 2
	if e.fault == FaultHalfAnswer {
		e.write(answer[:half])
		e.kill()
		return
	}
	if e.long {
		e.write(answer[:half])
		answer = answer[half:]
		if !waitFor(e.request.Context(), time.Duration(e.behaviour.LongWork)/2) {
			e.cancelled()
			panic(http.ErrAbortHandler)
		}
	}
	if _, err := e.response.Write(answer); err != nil {
		e.cancelled()
		return
	}
	e.backend.answers.Add(1)
	e.record(func(record *Record) { record.Answers++ })
}

// writeHeader sets the header of an answer. Long answers of odd requests do
// not declare their length, so that only the framing tells their end.
func (e *exchange) writeHeader(length int) {
	header := e.response.Header()
	header.Set(HeaderNumber, strconv.FormatUint(e.number, 10))
	header.Set(HeaderName, e.backend.options.Name)
	header.Set(HeaderLoad, strconv.FormatFloat(e.backend.reportedLoad(), 'f', 3, 64))
	header.Set("Content-Type", "text/plain")
	if !e.long || e.number%2 == 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
}

// write sends a part of the answer at once.
func (e *exchange) write(part []byte) {
	_, _ = e.response.Write(part)
	_ = http.NewResponseController(e.response).Flush()
}

// kill resets the connection without any further byte.
func (e *exchange) kill() {
	e.backend.faults.Add(1)
	e.record(func(record *Record) { record.Faults++ })
	connection, _, err := http.NewResponseController(e.response).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// takeSlot occupies a slot; false when none is free.
func (b *Backend) takeSlot() bool {
	occupied := b.inFlight.Add(1)
	if b.options.Slots > 0 && occupied > int64(b.options.Slots) {
		b.inFlight.Add(-1)
		return false
	}
	for {
		peak := b.peakInFlight.Load()
		if occupied <= peak || b.peakInFlight.CompareAndSwap(peak, occupied) {
			return true
		}
	}
}

func (b *Backend) waitWhileStalled(ctx context.Context) bool {
	for {
		changed := b.stallChanged.wait()
		if !b.behaviour.Load().Stalled {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// waitFor waits; false when the context ended first.
func waitFor(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

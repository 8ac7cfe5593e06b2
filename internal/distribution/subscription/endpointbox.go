package subscription

import (
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// endpointBuffer collects endpoint updates until the loop takes them. It keeps
// only the newest update of each endpoint, so it does not grow with the number
// of updates while the loop is busy.
type endpointBuffer struct {
	// available receives a value when there are updates to take.
	available chan struct{}

	// mutex guards table.
	mutex sync.Mutex
	table *endpoint.Table
}

func newEndpointBuffer() *endpointBuffer {
	return &endpointBuffer{available: make(chan struct{}, 1), table: endpoint.NewTable()}
}

// put adds an update. It never blocks.
func (b *endpointBuffer) put(update endpoint.Update) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.Merge(update)
	select {
	case b.available <- struct{}{}:
	default:
	}
}

// take returns the buffered updates and empties the buffer.
func (b *endpointBuffer) take() []endpoint.Update {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	taken := b.table.All()
	b.table = endpoint.NewTable()
	return taken
}

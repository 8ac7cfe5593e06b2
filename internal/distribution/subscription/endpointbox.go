package subscription

import (
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// endpointBuffer gathers updates until they are taken. It holds the newest of
// each endpoint, so it does not grow while the loop is busy.
type endpointBuffer struct {
	// available receives when there is something to take.
	available chan struct{}

	// mutex guards table.
	mutex sync.Mutex
	table *endpoint.Table
}

func newEndpointBuffer() *endpointBuffer {
	return &endpointBuffer{available: make(chan struct{}, 1), table: endpoint.NewTable()}
}

func (b *endpointBuffer) put(update endpoint.Update) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.Merge(update)
	select {
	case b.available <- struct{}{}:
	default:
	}
}

// take empties the box.
func (b *endpointBuffer) take() []endpoint.Update {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	taken := b.table.All()
	b.table = endpoint.NewTable()
	return taken
}

package hop

// Notice holds the announcements of a back end in an answer. The zero value announces nothing.
type Notice struct {
	// Limited: the back end accepts PerSecond requests a second from all nodes together, where zero
	// means none.
	Limited   bool
	PerSecond float64
	// Draining: the back end is about to stop and accepts no new requests.
	Draining bool
}

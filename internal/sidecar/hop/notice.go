package hop

// Notice is what a back end asks of the mesh with an answer. The zero value asks for nothing.
type Notice struct {
	// Limited: the back end takes PerSecond requests a second from all nodes together, zero for none.
	Limited   bool
	PerSecond float64
	// Draining: the back end is about to end and wants no new work.
	Draining bool
}

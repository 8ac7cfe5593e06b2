package hop

// BackendLoad is the load that a back end reports with an answer.
type BackendLoad struct {
	// Running and Waiting count its requests; Slots is how many it processes concurrently.
	Running, Waiting, Slots int
	// Factor is how much longer work currently takes there than usual because other processes use
	// the machine; zero when the back end does not report it.
	Factor float64
}

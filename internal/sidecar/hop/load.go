package hop

// BackendLoad is the load that a back end reports with an answer.
type BackendLoad struct {
	// Running and Waiting count its requests; Slots is the number that it processes concurrently.
	Running, Waiting, Slots int
	// Factor is the ratio of the current service time there to the usual one, as other processes use
	// the machine; zero when the back end does not report it.
	Factor float64
}

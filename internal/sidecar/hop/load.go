package hop

// BackendLoad is what a back end tells of itself with an answer.
type BackendLoad struct {
	// Running and Waiting are its requests, Slots how many it works on at once.
	Running, Waiting, Slots int
	// Factor is how much longer work takes there at the moment than usually, since other work
	// shares its machine; zero when it does not tell.
	Factor float64
}

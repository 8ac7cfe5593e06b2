package settings

import "time"

// Daemon is everything kestreld is told.
type Daemon struct {
	Node         Node         `json:"node"`
	Listen       DaemonListen `json:"listen"`
	Store        Store        `json:"store"`
	MachineList  MachineList  `json:"machineList"`
	Seeds        []Seed       `json:"seeds,omitempty"`
	Distribution Distribution `json:"distribution"`
	API          API          `json:"api"`
	Identity     Identity     `json:"identity"`
	Sealing      Sealing      `json:"sealing"`
	Logging      Logging      `json:"logging"`
	Diagnostics  Diagnostics  `json:"diagnostics"`
}

// DaemonListen holds the listeners of kestreld, each an explicit IP:port.
type DaemonListen struct {
	API    string `json:"api"`
	Stream string `json:"stream"`
	Admin  string `json:"admin"`
}

// Store says how to reach the platform's key-value service.
type Store struct {
	// Address is IP:port.
	Address string `json:"address"`
	// Timeout bounds one request to the store.
	Timeout Duration `json:"timeout"`
	// RequestsPerSecond bounds this process's requests to the store.
	RequestsPerSecond int `json:"requestsPerSecond"`
	// LeaseTimeToLive is the life of a reader lease without renewal.
	LeaseTimeToLive Duration `json:"leaseTimeToLive"`
}

// MachineList says how to read the platform's list of machines. Without an
// address the list is not read.
type MachineList struct {
	Address  string   `json:"address,omitempty"`
	Interval Duration `json:"interval"`
}

// Distribution tunes how configuration spreads.
type Distribution struct {
	// BatchWindow is how long a relay gathers changes before it sends them.
	// Zero sends at once; longer trades convergence time for control bytes.
	BatchWindow Duration `json:"batchWindow"`
	// ReportWindow is how long acknowledgements are gathered before a report.
	ReportWindow Duration `json:"reportWindow"`
	// RelaysPerZone is how many relays serve a zone.
	RelaysPerZone int `json:"relaysPerZone"`
	// Readers is how many daemons in all may read the store.
	Readers int `json:"readers"`
	// Heartbeat is the longest silence on a stream.
	Heartbeat Duration `json:"heartbeat"`
	// SuspectAfter is the silence after which a child's stream is closed,
	// DownAfter the one after which its endpoints are declared down. A child
	// whose stream breaks is suspect at once.
	SuspectAfter Duration `json:"suspectAfter"`
	DownAfter    Duration `json:"downAfter"`
	// MaximumSnapshots bounds the snapshots a relay sends at the same time.
	MaximumSnapshots int `json:"maximumSnapshots"`
	// BackoffMinimum and BackoffMaximum bound the jittered reconnect delay.
	BackoffMinimum Duration `json:"backoffMinimum"`
	BackoffMaximum Duration `json:"backoffMaximum"`
	// MessageBytes bounds one message of the internal protocol.
	MessageBytes int `json:"messageBytes"`
	// WriteTimeout is how long one message may take to be written to a child.
	WriteTimeout Duration `json:"writeTimeout"`
	// LogTail is how many log entries are kept for operation ids and for
	// children that lag.
	LogTail int `json:"logTail"`
	// CheckpointEvery is how many entries lie between two checkpoints.
	CheckpointEvery int `json:"checkpointEvery"`
}

// API bounds what operators may ask of the resource API.
type API struct {
	BodyBytes int `json:"bodyBytes"`
	BatchSize int `json:"batchSize"`
	Watches   int `json:"watches"`
}

// Sealing holds the keys that seal secret values in the store.
type Sealing struct {
	// Identities are age X25519 identities, newest first: values are sealed to
	// the first and opened with any. Without one, values are stored unsealed.
	Identities []Secret `json:"identities,omitempty"`
	// IdentitiesFile holds more of them, one a line, after Identities.
	IdentitiesFile string `json:"identitiesFile,omitempty"`
}

// DefaultDaemon returns the settings that hold where a file says nothing.
func DefaultDaemon() Daemon {
	return Daemon{
		Store: Store{
			Timeout:           Duration(3 * time.Second),
			RequestsPerSecond: 50,
			LeaseTimeToLive:   Duration(6 * time.Second),
		},
		MachineList:  MachineList{Interval: Duration(5 * time.Second)},
		Distribution: defaultDistribution(),
		API:          API{BodyBytes: 4 << 20, BatchSize: 1000, Watches: 256},
		Identity:     defaultIdentity(),
		Logging:      defaultLogging(),
	}
}

func defaultDistribution() Distribution {
	return Distribution{
		ReportWindow:     Duration(100 * time.Millisecond),
		RelaysPerZone:    3,
		Readers:          3,
		Heartbeat:        Duration(750 * time.Millisecond),
		SuspectAfter:     Duration(45 * time.Second),
		DownAfter:        Duration(48 * time.Second),
		MaximumSnapshots: 16,
		BackoffMinimum:   Duration(50 * time.Millisecond),
		BackoffMaximum:   Duration(time.Second),
		MessageBytes:     16 << 20,
		WriteTimeout:     Duration(10 * time.Second),
		LogTail:          4096,
		CheckpointEvery:  256,
	}
}

func defaultIdentity() Identity {
	return Identity{ReloadInterval: Duration(30 * time.Second)}
}

func defaultLogging() Logging {
	return Logging{Level: "info", RepeatInterval: Duration(10 * time.Second), RepeatBurst: 5}
}

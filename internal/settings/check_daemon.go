package settings

import (
	"fmt"
	"strings"
	"time"
)

// ageIdentityPrefix begins every age X25519 identity.
const ageIdentityPrefix = "AGE-SECRET-KEY-1"

// Check returns every error of the settings, or nil.
func (d *Daemon) Check() error {
	c := &checker{}
	c.node(d.Node)
	c.listen("listen.api", d.Listen.API)
	c.listen("listen.stream", d.Listen.Stream)
	c.listen("listen.admin", d.Listen.Admin)
	c.store(d.Store)
	c.machineList(d.MachineList)
	c.seeds(d.Seeds)
	c.distribution(d.Distribution)
	c.number("api.bodyBytes", d.API.BodyBytes, 1<<10, 64<<20)
	c.number("api.batchSize", d.API.BatchSize, 1, 10000)
	c.number("api.watches", d.API.Watches, 1, 100000)
	c.identity(d.Identity)
	c.sealing(d.Sealing)
	c.logging(d.Logging)
	return c.result()
}

func (c *checker) result() error {
	if len(c.errors) == 0 {
		return nil
	}
	return c.errors
}

func (c *checker) store(store Store) {
	c.peer("store.address", store.Address)
	c.duration("store.timeout", store.Timeout, 10*time.Millisecond, time.Minute)
	c.number("store.requestsPerSecond", store.RequestsPerSecond, 1, 100000)
	c.duration("store.leaseTimeToLive", store.LeaseTimeToLive, time.Second, 5*time.Minute)
}

func (c *checker) machineList(list MachineList) {
	if list.Address != "" {
		c.peer("machineList.address", list.Address)
	}
	c.duration("machineList.interval", list.Interval, 100*time.Millisecond, time.Hour)
}

func (c *checker) distribution(distribution Distribution) {
	const prefix = "distribution."
	c.duration(prefix+"batchWindow", distribution.BatchWindow, 0, 10*time.Second)
	c.duration(prefix+"reportWindow", distribution.ReportWindow, 0, 10*time.Second)
	c.number(prefix+"relaysPerZone", distribution.RelaysPerZone, 1, 16)
	c.number(prefix+"readers", distribution.Readers, 1, 3)
	c.duration(prefix+"heartbeat", distribution.Heartbeat, 100*time.Millisecond, time.Minute)
	c.duration(prefix+"suspectAfter", distribution.SuspectAfter, 100*time.Millisecond, 10*time.Minute)
	c.duration(prefix+"downAfter", distribution.DownAfter, 100*time.Millisecond, time.Hour)
	if distribution.SuspectAfter <= distribution.Heartbeat {
		c.fail(prefix+"suspectAfter", "must be longer than distribution.heartbeat")
	}
	if distribution.DownAfter <= distribution.SuspectAfter {
		c.fail(prefix+"downAfter", "must be longer than distribution.suspectAfter")
	}
	c.number(prefix+"maximumSnapshots", distribution.MaximumSnapshots, 1, 10000)
	c.backoff(prefix, distribution.BackoffMinimum, distribution.BackoffMaximum)
	c.number(prefix+"messageBytes", distribution.MessageBytes, 1<<10, 1<<30)
	c.duration(prefix+"writeTimeout", distribution.WriteTimeout, 100*time.Millisecond, 10*time.Minute)
	c.number(prefix+"logTail", distribution.LogTail, 1024, 1<<20)
	c.number(prefix+"checkpointEvery", distribution.CheckpointEvery, 1, 1<<20)
	if distribution.CheckpointEvery > distribution.LogTail {
		c.fail(prefix+"checkpointEvery", "must not be above distribution.logTail")
	}
}

func (c *checker) backoff(prefix string, minimum, maximum Duration) {
	c.duration(prefix+"backoffMinimum", minimum, time.Millisecond, time.Minute)
	c.duration(prefix+"backoffMaximum", maximum, time.Millisecond, time.Hour)
	if maximum < minimum {
		c.fail(prefix+"backoffMaximum", "must not be below %sbackoffMinimum", prefix)
	}
}

func (c *checker) sealing(sealing Sealing) {
	for index, identity := range sealing.Identities {
		if !strings.HasPrefix(identity.Reveal(), ageIdentityPrefix) {
			c.fail(fmt.Sprintf("sealing.identities[%d]", index), "must be an age identity (%s...)", ageIdentityPrefix)
		}
	}
	c.optionalFile("sealing.identitiesFile", sealing.IdentitiesFile)
}

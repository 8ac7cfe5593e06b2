package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"
)

// namePattern is what names of nodes, zones, regions and services look like.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// logLevels are the accepted values of logging.level.
var logLevels = []string{"debug", "info", "warn", "error"}

// checker gathers the errors of one settings value.
type checker struct {
	errors Errors
}

func (c *checker) fail(field, format string, arguments ...any) {
	c.errors = append(c.errors, FieldError{Field: field, Reason: fmt.Sprintf(format, arguments...)})
}

func (c *checker) name(field, value string) {
	switch {
	case value == "":
		c.fail(field, "is required")
	case !namePattern.MatchString(value):
		c.fail(field, "%q must be 1 to 63 of a-z, 0-9, '.' and '-', beginning and ending with a letter or digit", value)
	}
}

func (c *checker) optionalName(field, value string) {
	if value != "" {
		c.name(field, value)
	}
}

// listen checks an address to bind; port 0 lets the system choose.
func (c *checker) listen(field, value string) {
	address, valid := c.address(field, value)
	if valid && address.Addr().IsUnspecified() {
		c.fail(field, "%q must name one explicit IP address", value)
	}
}

// peer checks an address to connect to.
func (c *checker) peer(field, value string) {
	address, valid := c.address(field, value)
	if !valid {
		return
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		c.fail(field, "%q must name one IP address and a port above 0", value)
	}
}

func (c *checker) address(field, value string) (netip.AddrPort, bool) {
	if value == "" {
		c.fail(field, "is required")
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.fail(field, "%q must be IP:port", value)
		return netip.AddrPort{}, false
	}
	return address, true
}

func (c *checker) duration(field string, value Duration, minimum, maximum time.Duration) {
	if time.Duration(value) < minimum || time.Duration(value) > maximum {
		c.fail(field, "%s must lie from %s to %s", time.Duration(value), minimum, maximum)
	}
}

func (c *checker) number(field string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		c.fail(field, "%d must lie from %d to %d", value, minimum, maximum)
	}
}

func (c *checker) file(field, path string) {
	if path == "" {
		c.fail(field, "is required")
		return
	}
	c.optionalFile(field, path)
}

func (c *checker) optionalFile(field, path string) {
	if path == "" {
		return
	}
	file, err := os.Open(path)
	if err != nil {
		c.fail(field, "cannot be read: %v", err)
		return
	}
	_ = file.Close()
}

func (c *checker) node(node Node) {
	c.name("node.name", node.Name)
	c.name("node.zone", node.Zone)
	c.optionalName("node.region", node.Region)
}

func (c *checker) seeds(seeds []Seed) {
	seen := map[string]bool{}
	for index, seed := range seeds {
		field := fmt.Sprintf("seeds[%d]", index)
		c.name(field+".name", seed.Name)
		c.name(field+".zone", seed.Zone)
		c.optionalName(field+".region", seed.Region)
		c.peer(field+".address", seed.Address)
		if seen[seed.Name] {
			c.fail(field+".name", "%q stands twice", seed.Name)
		}
		seen[seed.Name] = true
	}
}

func (c *checker) identity(identity Identity) {
	c.duration("identity.reloadInterval", identity.ReloadInterval, time.Second, 24*time.Hour)
	if identity.PlainHTTP {
		if identity.CertificateFile != "" || identity.KeyFile != "" || identity.RootsFile != "" {
			c.fail("identity.plainHTTP", "must be false where certificate files are named")
		}
		return
	}
	c.file("identity.certificateFile", identity.CertificateFile)
	c.file("identity.keyFile", identity.KeyFile)
	c.file("identity.rootsFile", identity.RootsFile)
}

func (c *checker) logging(logging Logging) {
	if !slices.Contains(logLevels, logging.Level) {
		c.fail("logging.level", "%q must be one of %s", logging.Level, strings.Join(logLevels, ", "))
	}
	c.duration("logging.repeatInterval", logging.RepeatInterval, 100*time.Millisecond, time.Hour)
	c.number("logging.repeatBurst", logging.RepeatBurst, 1, 1000)
}

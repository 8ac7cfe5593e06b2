// Package build tells which build of the programs is running.
package build

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// unknown stands where the toolchain recorded nothing.
const unknown = "unknown"

// Info describes one build.
type Info struct {
	Version   string `json:"version"`
	Revision  string `json:"revision"`
	Modified  bool   `json:"modified,omitempty"`
	GoVersion string `json:"goVersion"`
	Platform  string `json:"platform"`
}

// Read returns what the toolchain recorded in the running program.
func Read() Info {
	info := Info{
		Version:   unknown,
		Revision:  unknown,
		GoVersion: runtime.Version(),
		Platform:  runtime.GOOS + "/" + runtime.GOARCH,
	}
	recorded, found := debug.ReadBuildInfo()
	if !found {
		return info
	}
	if recorded.Main.Version != "" {
		info.Version = recorded.Main.Version
	}
	for _, setting := range recorded.Settings {
		switch setting.Key {
		case "vcs.revision":
			info.Revision = setting.Value
		case "vcs.modified":
			info.Modified = setting.Value == "true"
		}
	}
	return info
}

// String is the line that --version prints.
func (i Info) String() string {
	modified := ""
	if i.Modified {
		modified = " (modified)"
	}
	return fmt.Sprintf("%s revision %s%s %s %s", i.Version, i.Revision, modified, i.GoVersion, i.Platform)
}

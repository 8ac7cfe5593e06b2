// Command kestrel-sidecar is the node beside one back end on the users'
// platform: callers, back end and other nodes speak through it.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/build"
	"github.com/kestrelstream/kestrelstream/internal/lifecycle"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/sidecar"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/assembly"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contention"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/dial"
	"github.com/kestrelstream/kestrelstream/platform"
)

// flags are the command line.
type flags struct {
	Settings        string `short:"c" required:"" placeholder:"FILE" env:"${settings_variable}" help:"The platform's settings file (JSON)."`
	MetricsPort     int    `placeholder:"PORT" help:"Serve metrics at this port; 0 serves none."`
	LogLevel        string `default:"info" enum:"debug,info,warn,error" help:"Lowest level that is logged."`
	OverloadControl string `default:"auto" enum:"auto,on,off" help:"Overload control: nested calls first, slots shared between tenants, back ends chosen by load; auto: where the configuration names tenants or back ends share their machines."`
	LendRepeats     bool   `help:"With overload control, nodes lend each other their shares of the repeats, so that more of them can be spent where back ends reject."`
	MaxAnswerBytes  int64  `default:"1073741824" placeholder:"BYTES" help:"Largest body of a back end's answer; longer ones are aborted. 0: any size."`
	CheckSettings   bool   `help:"Check the settings, list every error, and exit."`
	PrintSettings   bool   `help:"Print the settings in force and exit."`
	Version         bool   `help:"Print the version and exit."`
}

func main() {
	hangups := settings.Hangups()
	parsedFlags := &flags{}
	parsed := kong.Parse(parsedFlags,
		kong.Name("kestrel-sidecar"),
		kong.Description("The node of kestrelstream beside one back end."),
		kong.Vars{"settings_variable": platform.SettingsVariable},
	)
	parsed.FatalIfErrorf(run(parsedFlags, hangups))
}

func run(given *flags, hangups <-chan os.Signal) error {
	if given.Version {
		_, err := fmt.Println(build.Read())
		return err
	}
	loaded, err := given.load()
	if err != nil {
		return err
	}
	if given.CheckSettings {
		_, err := fmt.Println("settings: no errors")
		return err
	}
	if given.PrintSettings {
		_, err := fmt.Printf("%+v\n", *loaded)
		return err
	}
	stop, release := lifecycle.Notify()
	defer release()
	process, err := assembly.New(loaded, assembly.Flags{MetricsPort: given.MetricsPort, LogLevel: given.LogLevel}, dial.System{})
	if err != nil {
		return err
	}
	defer process.CaptureStandardLog()()
	go settings.Watch(stop.Requested, given.Settings, hangups, func() { reload(process, given) })
	return process.Run(stop.Requested)
}

// load reads the settings file and adds what the command line says.
func (f *flags) load() (*sidecar.Settings, error) {
	if err := f.validate(); err != nil {
		return nil, err
	}
	loaded, err := platform.ReadSettings(f.Settings)
	if err != nil {
		return nil, err
	}
	f.apply(loaded)
	return loaded, nil
}

// minMaxAnswerBytes is the smallest bound of a body: a smaller one would abort ordinary answers.
const minMaxAnswerBytes = 1 << 20

// validate checks the values of flags.
func (f *flags) validate() error {
	if f.MaxAnswerBytes != 0 && f.MaxAnswerBytes < minMaxAnswerBytes {
		return trace.BadParameter("--max-answer-bytes: %d is less than %d, use 0 for any size", f.MaxAnswerBytes, minMaxAnswerBytes)
	}
	return nil
}

// apply adds what the command line says to settings that were read.
func (f *flags) apply(loaded *sidecar.Settings) {
	loaded.OverloadControl = contention.Mode(f.OverloadControl)
	loaded.LendRepeats = f.LendRepeats
	loaded.MaxAnswerBytes = f.MaxAnswerBytes
}

// reload reads the settings file again. A broken one changes nothing.
func reload(process *assembly.Process, given *flags) {
	next, err := given.load()
	if err != nil {
		process.LogReloadError(err)
		return
	}
	process.Reload(next)
}

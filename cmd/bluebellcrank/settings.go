package main

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/goccy/go-yaml"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"bluebellcrank/internal/transport/process"
)

// settingsFile is the path of a YAML file of settings. The environment overrides the
// file, and flags override both.
type settingsFile string

// BeforeResolve reads the file and provides its values for flags that are not set.
// kong calls it before it resolves the flags.
func (settingsFile) BeforeResolve(ctx *kong.Context, trace *kong.Path) error {
	path := string(ctx.FlagValue(trace.Flag).(settingsFile))
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	values := map[string]any{}
	if err := yaml.Unmarshal(content, &values); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := checkKeys(path, values, ctx.Selected()); err != nil {
		return err
	}
	ctx.AddResolver(kong.ResolverFunc(func(_ *kong.Context, _ *kong.Path, f *kong.Flag) (any, error) {
		if v, found := values[f.Name]; found && !isInEnvironment(f) {
			return flagText(v), nil
		}
		return nil, nil
	}))
	return nil
}

// isInEnvironment reports whether an environment variable sets a flag. kong applies
// the environment like a default, so that a value of the file would replace it.
func isInEnvironment(f *kong.Flag) bool {
	return slices.ContainsFunc(f.Envs, func(name string) bool {
		_, found := os.LookupEnv(name)
		return found
	})
}

// checkKeys returns an error that names each key that is not a flag of the command.
func checkKeys(path string, values map[string]any, command *kong.Node) error {
	known := map[string]bool{}
	for _, group := range command.AllFlags(true) {
		for _, f := range group {
			known[f.Name] = true
		}
	}
	var errs []error
	for name := range values {
		if !known[name] {
			errs = append(errs, fmt.Errorf("%s: unknown setting %q", path, name))
		}
	}
	return errors.Join(errs...)
}

// flagText formats a YAML value as the text of a flag; list elements are separated
// by commas.
func flagText(v any) any {
	list, ok := v.([]any)
	if !ok {
		return fmt.Sprint(v)
	}
	texts := make([]string, len(list))
	for i, element := range list {
		texts[i] = fmt.Sprint(element)
	}
	return strings.Join(texts, ",")
}

// printSettings writes the settings in force, given as a pointer, to standard
// output as YAML.
func printSettings(settings any) error {
	out, err := yaml.Marshal(reflect.ValueOf(settings).Elem().Interface())
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(out)
	return err
}

// daemonFlags are the flags of every daemon besides its settings.
type daemonFlags struct {
	File          settingsFile `name:"settings" help:"YAML file of settings." placeholder:"FILE"`
	PrintSettings bool         `help:"Print the settings in force and exit."`
}

// serve opens the listeners, creates the logger and the daemon, and runs the daemon
// until a signal ends it. With PrintSettings it only prints the settings. The
// settings must be valid; kong validates them while it parses the command line.
func (d daemonFlags) serve(daemonSettings any, processSettings *process.Settings, newDaemon func(hclog.Logger, process.Listeners) process.Daemon) error {
	if d.PrintSettings {
		return printSettings(daemonSettings)
	}
	listeners, err := processSettings.Listen()
	if err != nil {
		return err
	}
	injector := do.New()
	do.ProvideValue(injector, listeners)
	do.Provide(injector, func(do.Injector) (hclog.Logger, error) { return process.NewLogger(*processSettings), nil })
	do.Provide(injector, func(i do.Injector) (process.Daemon, error) {
		return newDaemon(do.MustInvoke[hclog.Logger](i), do.MustInvoke[process.Listeners](i)), nil
	})
	process.Run(do.MustInvoke[process.Daemon](injector), do.MustInvoke[hclog.Logger](injector), process.Signals{}.Defaults())
	return nil
}

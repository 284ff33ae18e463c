package main

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/goccy/go-yaml"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"bluebellcrank/internal/transport/process"
)

// settingsFile is the path of a YAML file of settings; flags and the
// environment go before it.
type settingsFile string

// BeforeResolve lets the file answer for flags that are not set.
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
	if err := unknown(path, values, ctx.Selected()); err != nil {
		return err
	}
	ctx.AddResolver(kong.ResolverFunc(func(_ *kong.Context, _ *kong.Path, f *kong.Flag) (any, error) {
		if v, found := values[f.Name]; found {
			return flagText(v), nil
		}
		return nil, nil
	}))
	return nil
}

// unknown returns an error that names each key which is no flag of the
// command.
func unknown(path string, values map[string]any, command *kong.Node) error {
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

// flagText writes a YAML value as a flag's value.
func flagText(v any) any {
	list, ok := v.([]any)
	if !ok {
		return fmt.Sprint(v)
	}
	texts := make([]string, len(list))
	for i, e := range list {
		texts[i] = fmt.Sprint(e)
	}
	return strings.Join(texts, ",")
}

// printSettings writes the settings in force as YAML.
func printSettings(settings any) error {
	out, err := yaml.Marshal(reflect.ValueOf(settings).Elem().Interface())
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(out)
	return err
}

// daemonFlags are what every daemon takes beside its settings.
type daemonFlags struct {
	File          settingsFile `name:"settings" help:"YAML file of settings." placeholder:"FILE"`
	PrintSettings bool         `help:"Print the settings in force and stop."`
}

// serve wires a daemon's parts together and serves until a signal; the
// command-line library has validated the settings.
func (d daemonFlags) serve(own any, s *process.Settings, start func(hclog.Logger, process.Listeners) process.Daemon) error {
	if d.PrintSettings {
		return printSettings(own)
	}
	l, err := s.Listen()
	if err != nil {
		return err
	}
	parts := do.New()
	do.ProvideValue(parts, l)
	do.Provide(parts, func(do.Injector) (hclog.Logger, error) { return process.NewLogger(*s), nil })
	do.Provide(parts, func(i do.Injector) (process.Daemon, error) {
		return start(do.MustInvoke[hclog.Logger](i), do.MustInvoke[process.Listeners](i)), nil
	})
	process.Run(do.MustInvoke[process.Daemon](parts), do.MustInvoke[hclog.Logger](parts), nil)
	return nil
}

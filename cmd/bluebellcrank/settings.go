package main

import (
	"fmt"
	"net"
	"os"
	"reflect"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/goccy/go-yaml"
)

// settingsFile reads a YAML file of settings; flags and the environment go
// before it.
type settingsFile struct {
	path   string
	values map[string]any
}

// Decode implements kong.MapperValue for the --settings flag.
func (s *settingsFile) Decode(ctx *kong.DecodeContext) error {
	var path string
	if err := ctx.Scan.PopValueInto("file", &path); err != nil {
		return err
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := yaml.Unmarshal(content, &s.values); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	s.path = path
	return nil
}

// BeforeResolve lets the file answer for flags that are not set.
func (s *settingsFile) BeforeResolve(_ *kong.Kong, ctx *kong.Context, _ *kong.Path) error {
	known := map[string]bool{}
	for _, f := range ctx.Selected().AllFlags(true) {
		for _, g := range f {
			known[g.Name] = true
		}
	}
	for name := range s.values {
		if !known[name] {
			return fmt.Errorf("%s: unknown setting %q", s.path, name)
		}
	}
	ctx.AddResolver(kong.ResolverFunc(func(_ *kong.Context, _ *kong.Path, f *kong.Flag) (any, error) {
		v, found := s.values[f.Name]
		if !found {
			return nil, nil
		}
		return flagText(v), nil
	}))
	return nil
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

// listeners opens the three sockets of a daemon, or none.
func listeners(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, o := range out {
				_ = o.Close()
			}
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

package agent

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"bluebellcrank/internal/transport/process"
	"bluebellcrank/internal/transport/rankgroup"
)

// Settings are the settings of an agent.
type Settings struct {
	process.Settings  `embed:"" yaml:",inline"`
	Ranks             rankgroup.Settings `embed:"" yaml:",inline"`
	Service           string             `name:"service" yaml:"service" help:"Service that the target belongs to."`
	Target            string             `name:"target" yaml:"target" help:"Address of the target (host:port)."`
	LoadPath          string             `name:"load-path" yaml:"load-path" default:"/load" help:"Path of the target's load report."`
	LoadInterval      time.Duration      `name:"load-interval" yaml:"load-interval" default:"250ms" help:"Time between two load reports."`
	TargetReadTimeout time.Duration      `name:"target-silence" yaml:"target-silence" default:"60s" help:"How long a target may send nothing in the middle of a request."`
	MaxAnswerBytes    int                `name:"answer-bytes" yaml:"answer-bytes" default:"16777216" help:"Largest answer, in bytes."`
	MaxKeptBytes      int                `name:"kept-bytes" yaml:"kept-bytes" default:"67108864" help:"Bytes of answers kept at once; those being received may use half as much together, above which each gets an equal share."`
	KeyedRetention    time.Duration      `name:"keep-keyed" yaml:"keep-keyed" default:"10m" help:"How long an answer can be replayed by its idempotency key."`
	UnkeyedRetention  time.Duration      `name:"keep-other" yaml:"keep-other" default:"15s" help:"How long an unconfirmed answer is kept."`
}

// keptBytesLimit is the largest value of kept-bytes: 1 TiB.
const keptBytesLimit = 1 << 40

// Validate returns an error that lists every invalid setting.
func (s *Settings) Validate() error {
	errs := []error{s.Settings.Validate(), s.Ranks.Validate()}
	fail := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.Service == "" {
		fail("service: is empty")
	}
	if _, _, err := net.SplitHostPort(s.Target); err != nil {
		fail("target: %q is not host:port", s.Target)
	}
	if !strings.HasPrefix(s.LoadPath, "/") {
		fail("load-path: %q does not begin with /", s.LoadPath)
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"load-interval", s.LoadInterval},
		{"target-silence", s.TargetReadTimeout},
		{"keep-keyed", s.KeyedRetention},
		{"keep-other", s.UnkeyedRetention},
	} {
		if d.value <= 0 {
			fail("%s: %s is not positive", d.name, d.value)
		}
	}
	if s.MaxAnswerBytes < 1 || s.MaxAnswerBytes > s.MaxKeptBytes || s.MaxKeptBytes > keptBytesLimit {
		fail("answer-bytes: %d is not from 1 to kept-bytes, or kept-bytes is over 1 TiB", s.MaxAnswerBytes)
	}
	return errors.Join(errs...)
}

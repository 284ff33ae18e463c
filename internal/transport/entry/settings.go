package entry

import (
	"errors"
	"fmt"
	"time"

	"bluebellcrank/internal/transport/process"
)

// Settings are the settings of an entry.
type Settings struct {
	process.Settings `embed:"" yaml:",inline"`
	SubsetSize       int           `name:"subset-size" yaml:"subset-size" default:"32" help:"Targets of one service that this entry uses."`
	ReportInterval   time.Duration `name:"report-interval" yaml:"report-interval" default:"200ms" help:"Shortest time between two reports of one target."`
	ReportBytes      int           `name:"report-bytes" yaml:"report-bytes" default:"9000" help:"Bytes per second that reports may use; a larger subset is queried less often."`
	AgentSilence     time.Duration `name:"agent-silence" yaml:"agent-silence" default:"1s" help:"Silence of an agent after which the entry queries the attempt's progress over a new connection."`
	MaxBody          int           `name:"max-body" yaml:"max-body" default:"8388608" help:"Largest request body, in bytes."`
	MaxHeader        int           `name:"max-header" yaml:"max-header" default:"16384" help:"Largest request header, in bytes."`
	MaxInFlight      int           `name:"max-in-flight" yaml:"max-in-flight" default:"4096" help:"Requests in flight at this entry."`
	AnswerBytes      int           `name:"answer-bytes" yaml:"answer-bytes" default:"67108864" help:"Bytes that the answers being received may use together; above them, each gets an equal share."`
	ReadTimeout      time.Duration `name:"read-timeout" yaml:"read-timeout" default:"15s" help:"How long a caller may take to send a request."`
	WriteTimeout     time.Duration `name:"write-timeout" yaml:"write-timeout" default:"15s" help:"How long a caller may take to accept the next bytes of an answer."`
	Linger           time.Duration `name:"linger" yaml:"linger" default:"500ms" help:"How long a stopping entry keeps accepting requests, so that the platform's balancer notices."`
}

const (
	minHeaderBytes = 1 << 10
	maxSubsetSize  = 10_000
)

// Validate returns an error that lists every invalid setting.
func (s *Settings) Validate() error {
	errs := []error{s.Settings.Validate()}
	fail := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.SubsetSize < 1 || s.SubsetSize > maxSubsetSize {
		fail("subset-size: %d is not from 1 to %d", s.SubsetSize, maxSubsetSize)
	}
	if s.ReportBytes < 1 {
		fail("report-bytes: %d is not positive", s.ReportBytes)
	}
	if s.MaxBody < 1 {
		fail("max-body: %d is not positive", s.MaxBody)
	}
	if s.MaxHeader < minHeaderBytes {
		fail("max-header: %d is under %d", s.MaxHeader, minHeaderBytes)
	}
	if s.MaxInFlight < 1 {
		fail("max-in-flight: %d is not positive", s.MaxInFlight)
	}
	if s.AnswerBytes < 1 {
		fail("answer-bytes: %d is not positive", s.AnswerBytes)
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"report-interval", s.ReportInterval},
		{"agent-silence", s.AgentSilence},
		{"read-timeout", s.ReadTimeout},
		{"write-timeout", s.WriteTimeout},
	} {
		if d.value <= 0 {
			fail("%s: %s is not positive", d.name, d.value)
		}
	}
	return errors.Join(errs...)
}

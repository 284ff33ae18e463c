package retry

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// deathsToRefuse is how many targets a request may have been running on
	// when they died before it is refused everywhere.
	deathsToRefuse = 2
	// suspectLife is how long a request stays a suspect.
	suspectLife = 10 * time.Minute
	// maxSuspects bounds the memory that suspects take.
	maxSuspects = 4096
)

// Treatment is how a request is to be run.
type Treatment string

const (
	// Normal runs the request like any other.
	Normal Treatment = "usual"
	// SoleSuspect runs the request on a target that runs no other suspect, so that
	// a second death has one suspect.
	SoleSuspect Treatment = "single"
	// Refuse refuses the request.
	Refuse Treatment = "never"
)

// Fingerprint tells requests apart by account, service and content, whatever
// their attempt ids.
func Fingerprint(account, service, method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{account, service, method, path} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// record is what is known about one suspect.
type record struct {
	deaths int
	since  time.Time
}

// Suspects remembers the requests that were running when a target died.
type Suspects struct {
	records map[uint64]record
}

// NewSuspects returns an empty memory.
func NewSuspects() *Suspects {
	return &Suspects{records: map[uint64]record{}}
}

// RecordDeath records that a target died while it ran the request, and returns the
// deaths so far.
func (s *Suspects) RecordDeath(fingerprint uint64, now time.Time) int {
	r := s.fresh(fingerprint, now)
	s.store(fingerprint, record{deaths: r.deaths + 1, since: now}, now)
	return r.deaths + 1
}

// MergeReport takes what a peer knows; deaths only go up. It reports whether that
// was news.
func (s *Suspects) MergeReport(fingerprint uint64, deaths int, age time.Duration, now time.Time) bool {
	if age >= suspectLife || s.fresh(fingerprint, now).deaths >= deaths {
		return false
	}
	s.store(fingerprint, record{deaths: deaths, since: now.Add(-age)}, now)
	return true
}

// TreatmentOf says how to run a request.
func (s *Suspects) TreatmentOf(fingerprint uint64, now time.Time) Treatment {
	switch d := s.fresh(fingerprint, now).deaths; {
	case d >= deathsToRefuse:
		return Refuse
	case d > 0:
		return SoleSuspect
	}
	return Normal
}

// Len returns how many suspects are remembered.
func (s *Suspects) Len() int { return len(s.records) }

func (s *Suspects) fresh(fingerprint uint64, now time.Time) record {
	r := s.records[fingerprint]
	if now.Sub(r.since) >= suspectLife {
		return record{}
	}
	return r
}

func (s *Suspects) store(fingerprint uint64, r record, now time.Time) {
	if len(s.records) >= maxSuspects {
		s.sweep(now)
	}
	s.records[fingerprint] = r
}

// sweep drops what has expired, or else the oldest.
func (s *Suspects) sweep(now time.Time) {
	var oldest uint64
	at := now
	for f, r := range s.records {
		if now.Sub(r.since) >= suspectLife {
			delete(s.records, f)
			continue
		}
		if r.since.Before(at) {
			oldest, at = f, r.since
		}
	}
	if len(s.records) >= maxSuspects {
		delete(s.records, oldest)
	}
}

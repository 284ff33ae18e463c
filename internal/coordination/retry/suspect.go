package retry

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// deathsToRefuse is the number of targets that have to die while they run
	// a request before all instances refuse the request.
	deathsToRefuse = 2
	// suspectLifetime is how long a request stays a suspect after the last
	// death.
	suspectLifetime = 10 * time.Minute
	// maxSuspects is the largest number of recorded suspects. It bounds their
	// memory.
	maxSuspects = 4096
)

// Treatment is how a request is to be run.
type Treatment string

const (
	// Normal runs the request without restrictions.
	Normal Treatment = "usual"
	// SoleSuspect runs the request on a target that runs no other suspect, so
	// that a second death can be attributed to it.
	SoleSuspect Treatment = "single"
	// Refuse refuses the request.
	Refuse Treatment = "never"
)

// Fingerprint returns a hash that identifies a request by account, service and
// content. All attempts of a request have the same fingerprint.
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
	deaths    int
	lastDeath time.Time
}

// Suspects records the requests that were running when a target died, by
// fingerprint. It is not safe for concurrent use.
type Suspects struct {
	records map[uint64]record
}

// NewSuspects returns an empty set of suspects.
func NewSuspects() *Suspects {
	return &Suspects{records: map[uint64]record{}}
}

// RecordDeath records that a target died while it ran the request, and returns
// the number of deaths so far.
func (s *Suspects) RecordDeath(fingerprint uint64, now time.Time) int {
	r := s.unexpired(fingerprint, now)
	s.store(fingerprint, record{deaths: r.deaths + 1, lastDeath: now}, now)
	return r.deaths + 1
}

// MergeReport records the deaths that a peer reports for a request, with the
// age of the last one. A report of no more deaths than are known, or of an
// expired suspect, is ignored. MergeReport reports whether it recorded the
// deaths.
func (s *Suspects) MergeReport(fingerprint uint64, deaths int, age time.Duration, now time.Time) bool {
	if age >= suspectLifetime || s.unexpired(fingerprint, now).deaths >= deaths {
		return false
	}
	s.store(fingerprint, record{deaths: deaths, lastDeath: now.Add(-age)}, now)
	return true
}

// TreatmentOf returns how to run a request.
func (s *Suspects) TreatmentOf(fingerprint uint64, now time.Time) Treatment {
	switch d := s.unexpired(fingerprint, now).deaths; {
	case d >= deathsToRefuse:
		return Refuse
	case d > 0:
		return SoleSuspect
	}
	return Normal
}

// Len returns the number of recorded suspects, expired ones included.
func (s *Suspects) Len() int { return len(s.records) }

// unexpired returns the record of a request, or the zero record if there is
// none or it has expired.
func (s *Suspects) unexpired(fingerprint uint64, now time.Time) record {
	r := s.records[fingerprint]
	if now.Sub(r.lastDeath) >= suspectLifetime {
		return record{}
	}
	return r
}

func (s *Suspects) store(fingerprint uint64, r record, now time.Time) {
	if len(s.records) >= maxSuspects {
		s.evict(now)
	}
	s.records[fingerprint] = r
}

// evict deletes the expired records, or the oldest one if none has expired.
func (s *Suspects) evict(now time.Time) {
	var oldest uint64
	var oldestDeath time.Time
	for f, r := range s.records {
		if now.Sub(r.lastDeath) >= suspectLifetime {
			delete(s.records, f)
			continue
		}
		if oldestDeath.IsZero() || r.lastDeath.Before(oldestDeath) {
			oldest, oldestDeath = f, r.lastDeath
		}
	}
	if len(s.records) >= maxSuspects {
		delete(s.records, oldest)
	}
}

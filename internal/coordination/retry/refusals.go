package retry

import (
	"container/list"
	"errors"
	"fmt"
	"time"
)

const (
	// MaxRefusalAge is the time after its first attempt after which a refused request is
	// no longer known. It is the longest deadline for which a caller is recognized.
	MaxRefusalAge = 30 * time.Second
	// DefaultMaxRefusals is the largest number of recorded refusals if none is given. At
	// 200 refusals a second it covers 20 s.
	DefaultMaxRefusals = 4096
)

// ErrNoEntry is the error of a report that does not name the entry that refused.
var ErrNoEntry = errors.New("retry: the refusing entry is not named")

// Refusal is what is known of a request that was refused.
type Refusal struct {
	// FirstAttempt is when the request first arrived at an entry.
	FirstAttempt time.Time
	// Entry is the name of the entry that refused it.
	Entry string
}

// RefusalReport is a refused request as one entry reports it to others. The time is an age,
// since the clocks of instances differ.
type RefusalReport struct {
	Fingerprint uint64 `json:"fingerprint"`
	// AgeMs is the time since the first attempt in ms.
	AgeMs int64 `json:"age-ms"`
}

// refusalRecord is an element of the list of refusals.
type refusalRecord struct {
	fingerprint uint64
	refusal     Refusal
}

// Refusals records the requests that were refused recently, by fingerprint. All times are of
// one clock, which the caller chooses. It is not safe for concurrent use.
type Refusals struct {
	limit int
	// byFingerprint has the elements of order, whose values are of type refusalRecord, from
	// the one recorded first to the one recorded last.
	byFingerprint map[uint64]*list.Element
	order         *list.List
}

// NewRefusals returns an empty record of at most limit refusals; DefaultMaxRefusals applies
// if limit is not positive.
func NewRefusals(limit int) *Refusals {
	if limit <= 0 {
		limit = DefaultMaxRefusals
	}
	return &Refusals{limit: limit, byFingerprint: map[uint64]*list.Element{}, order: list.New()}
}

// Record records that an entry refused a request. Of several refusals of one request, the
// one with the earliest first attempt is kept. If the record is full, the refusal that was
// recorded first is evicted.
func (r *Refusals) Record(fingerprint uint64, firstAttempt time.Time, entry string, now time.Time) {
	r.evictExpired(now)
	if firstAttempt.After(now) {
		firstAttempt = now
	}
	if now.Sub(firstAttempt) >= MaxRefusalAge {
		return
	}
	if e := r.byFingerprint[fingerprint]; e != nil {
		known := e.Value.(refusalRecord).refusal
		if !known.FirstAttempt.After(firstAttempt) && now.Sub(known.FirstAttempt) < MaxRefusalAge {
			return
		}
		r.remove(e)
	}
	if r.order.Len() >= r.limit {
		r.remove(r.order.Front())
	}
	r.byFingerprint[fingerprint] = r.order.PushBack(refusalRecord{
		fingerprint: fingerprint, refusal: Refusal{FirstAttempt: firstAttempt, Entry: entry},
	})
}

// Lookup returns the refusal of a request, if one is known that has not expired.
func (r *Refusals) Lookup(fingerprint uint64, now time.Time) (Refusal, bool) {
	e := r.byFingerprint[fingerprint]
	if e == nil {
		return Refusal{}, false
	}
	known := e.Value.(refusalRecord).refusal
	if now.Sub(known.FirstAttempt) >= MaxRefusalAge {
		r.remove(e)
		return Refusal{}, false
	}
	return known, true
}

// Remove removes the refusal of a request that has come back. A caller retries once, so a
// later request with the same fingerprint is another one.
func (r *Refusals) Remove(fingerprint uint64) {
	if e := r.byFingerprint[fingerprint]; e != nil {
		r.remove(e)
	}
}

// Merge records what another entry reports. The ages were measured at most transit before
// now; the whole of it is added, so that a message that waited makes no request younger. A
// report with an impossible age is an error, and nothing of it is recorded.
func (r *Refusals) Merge(entry string, reports []RefusalReport, transit time.Duration, now time.Time) error {
	if entry == "" {
		return ErrNoEntry
	}
	for _, report := range reports {
		if report.AgeMs < 0 || report.AgeMs > MaxRefusalAge.Milliseconds() {
			return fmt.Errorf("retry: refusal with an age of %d ms", report.AgeMs)
		}
	}
	transit = max(transit, 0)
	for _, report := range reports {
		age := time.Duration(report.AgeMs)*time.Millisecond + transit
		r.Record(report.Fingerprint, now.Add(-age), entry, now)
	}
	return nil
}

// Len returns the number of refusals that are recorded. It includes expired ones behind
// others that were recorded before them.
func (r *Refusals) Len(now time.Time) int {
	r.evictExpired(now)
	return r.order.Len()
}

// evictExpired removes expired refusals from the front of the list.
func (r *Refusals) evictExpired(now time.Time) {
	for e := r.order.Front(); e != nil && now.Sub(e.Value.(refusalRecord).refusal.FirstAttempt) >= MaxRefusalAge; e = r.order.Front() {
		r.remove(e)
	}
}

func (r *Refusals) remove(e *list.Element) {
	delete(r.byFingerprint, e.Value.(refusalRecord).fingerprint)
	r.order.Remove(e)
}

package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellcrank/internal/state/target"
)

// Buckets is the number of parts in which two lists are compared. After a change
// of one instance only one part has to be sent.
const Buckets = 64

// Digest contains a hash of each part of a list.
type Digest [Buckets]uint64

// Part contains the instances of one bucket.
type Part struct {
	Bucket    int               `json:"bucket"`
	Instances []target.Instance `json:"instances"`
}

// List is an immutable copy of the platform's instance list, with the time at
// which the platform had it. The zero List is empty and older than any other.
type List struct {
	instances []target.Instance
	digest    Digest
	readAt    time.Time
}

// New returns a list that the platform had at the given time.
func New(instances []target.Instance, readAt time.Time) List {
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b target.Instance) int { return cmp.Compare(a.ID, b.ID) })
	l := List{instances: sorted, readAt: readAt}
	for _, i := range sorted {
		b := bucketOf(i.ID)
		l.digest[b] = l.digest[b]*31 + hash(i)
	}
	return l
}

// Instances returns the instances, sorted by id. The caller must not change
// the slice.
func (l List) Instances() []target.Instance { return l.instances }

// Digest returns the hashes of the parts.
func (l List) Digest() Digest { return l.digest }

// Hash returns a hash of the whole list.
func (l List) Hash() uint64 {
	var h uint64
	for _, d := range l.digest {
		h = h*31 + d
	}
	return h
}

// Age returns how long ago the platform is known to have had this list.
func (l List) Age(now time.Time) time.Duration { return now.Sub(l.readAt) }

// NewerThan reports whether the platform is known to have had this list at a
// later time than the other one.
func (l List) NewerThan(other List) bool { return l.readAt.After(other.readAt) }

// IsZero reports whether the list was never read.
func (l List) IsZero() bool { return l.readAt.IsZero() }

// ConfirmedAt returns the same list with the time at which the platform is known
// to have still had it, unless that time is earlier than the one in the list.
func (l List) ConfirmedAt(readAt time.Time) List {
	if readAt.After(l.readAt) {
		l.readAt = readAt
	}
	return l
}

// DifferingParts returns the parts of this list whose hashes differ from those
// in a peer's digest.
func (l List) DifferingParts(theirs Digest) []Part {
	var out []Part
	index := map[int]int{}
	for b := range l.digest {
		if l.digest[b] != theirs[b] {
			index[b] = len(out)
			out = append(out, Part{Bucket: b})
		}
	}
	for _, i := range l.instances {
		if n, found := index[bucketOf(i.ID)]; found {
			out[n].Instances = append(out[n].Instances, i)
		}
	}
	return out
}

// WithParts returns the list with some parts replaced by those of a newer list,
// which the platform had at the given time.
func (l List) WithParts(parts []Part, readAt time.Time) List {
	replaced := map[int]bool{}
	var instances []target.Instance
	for _, p := range parts {
		replaced[p.Bucket] = true
		instances = append(instances, p.Instances...)
	}
	for _, i := range l.instances {
		if !replaced[bucketOf(i.ID)] {
			instances = append(instances, i)
		}
	}
	return New(instances, readAt)
}

// bucketOf returns the bucket of an instance id.
func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % Buckets)
}

// hash returns a hash of all fields of an instance.
func hash(i target.Instance) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{i.ID, string(i.Role), i.Service, i.DataCentre, i.Peer, i.Traffic, i.Group, strconv.Itoa(i.Rank)} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	if i.Leaving {
		_, _ = d.WriteString("leaving")
	}
	return d.Sum64()
}

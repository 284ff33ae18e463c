package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellcrank/internal/state/target"
)

// Buckets is how many parts a list is compared in: a change of one instance
// costs the sending of one part.
const Buckets = 64

// Digest has a hash for each part of a list.
type Digest [Buckets]uint64

// Part is the instances of one bucket.
type Part struct {
	Bucket    int               `json:"bucket"`
	Instances []target.Instance `json:"instances"`
}

// List is an immutable copy of the instance list, as the platform had it at a
// time; the zero List is empty and older than any other.
type List struct {
	instances []target.Instance
	digest    Digest
	read      time.Time
}

// New returns a list that was read at a time.
func New(instances []target.Instance, read time.Time) List {
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b target.Instance) int { return cmp.Compare(a.ID, b.ID) })
	l := List{instances: sorted, read: read}
	for _, i := range sorted {
		b := bucketOf(i.ID)
		l.digest[b] = l.digest[b]*31 + hash(i)
	}
	return l
}

// Instances returns the list, sorted by id; it must not be changed.
func (l List) Instances() []target.Instance { return l.instances }

// Digest returns the hashes of the parts.
func (l List) Digest() Digest { return l.digest }

// Hash returns one hash for the whole list.
func (l List) Hash() uint64 {
	var h uint64
	for _, d := range l.digest {
		h = h*31 + d
	}
	return h
}

// Age returns how long ago the platform had this list.
func (l List) Age(now time.Time) time.Duration { return now.Sub(l.read) }

// NewerThan reports whether the platform had this list later than another.
func (l List) NewerThan(other List) bool { return l.read.After(other.read) }

// Empty reports whether the list was never read.
func (l List) Empty() bool { return l.read.IsZero() }

// ConfirmedAt returns the same list, known to have been right at a later time.
func (l List) ConfirmedAt(read time.Time) List {
	if read.After(l.read) {
		l.read = read
	}
	return l
}

// DifferingParts returns the parts in which a peer's digest differs.
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

// WithParts returns the list with parts replaced by those of a newer one.
func (l List) WithParts(parts []Part, read time.Time) List {
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
	return New(instances, read)
}

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % Buckets)
}

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

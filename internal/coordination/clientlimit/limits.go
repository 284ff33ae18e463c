package clientlimit

import "math"

const (
	// ConnBytes is what an open connection is charged: its goroutines, the buffers of the
	// server, and a head and a body of up to FreeBytes each.
	ConnBytes = 24 << 10
	// FreeBytes is the size up to which the head and the body of a request are not charged
	// in addition to ConnBytes.
	FreeBytes = 4 << 10
	// FieldBytes is what each field of a head is charged in addition to its bytes: the
	// entries of the header that the server builds and of the one that is sent on. Heads
	// of 24,000 short fields used 55 to 100 bytes a field in each of the two.
	FieldBytes = 200

	// memoryShare is the share of the process's memory that all clients may use. The
	// runtime's soft limit is 0.7 of the memory, the heap grows by a quarter between two
	// collections, and the process itself needs some 20 MB.
	memoryShare = 0.35
	// connMemoryShare is the part of a listener's bytes that connections may use.
	connMemoryShare = 0.5
	// minConns is the smallest number of connections of a listener.
	minConns = 8
	// minBytes is the smallest number of bytes of a listener.
	minBytes = 512 << 10
)

// Limits bound what all clients of one listener use together.
type Limits struct {
	// Bytes is the memory in bytes.
	Bytes int64
	// Conns is the number of connections.
	Conns int
}

// Shares are the limits of the listeners of a process. Each listener has its own, so that a
// crowd at one leaves the others usable.
type Shares struct {
	// Traffic is for clients, Ready for readiness checks, Entries for calls of other
	// entries and Operator for metrics and dumps.
	Traffic, Ready, Entries, Operator Limits
}

// NewShares divides the memory in MiB and the open file descriptors of a process. Without a
// limit on memory or descriptors (0 or less), clients have none either. Half of the
// descriptors stay for targets, other entries and the store.
func NewShares(memoryMB, descriptors int) Shares {
	return Shares{
		Traffic:  share(memoryMB, descriptors, 0.80, 0.375),
		Entries:  share(memoryMB, descriptors, 0.10, 0.0625),
		Ready:    share(memoryMB, descriptors, 0.05, 0.03125),
		Operator: share(memoryMB, descriptors, 0.05, 0.03125),
	}
}

func share(memoryMB, descriptors int, ofMemory, ofDescriptors float64) Limits {
	l := Limits{Bytes: math.MaxInt64, Conns: math.MaxInt}
	if descriptors > 0 {
		l.Conns = max(int(float64(descriptors)*ofDescriptors), minConns)
	}
	if memoryMB > 0 {
		l.Bytes = max(int64(float64(memoryMB)*(1<<20)*memoryShare*ofMemory), minBytes)
		l.Conns = min(l.Conns, max(int(float64(l.Bytes)*connMemoryShare/ConnBytes), minConns))
	}
	return l
}

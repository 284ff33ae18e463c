package rankagent

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellcrank/internal/state/expert"
)

var (
	errMalformed = errors.New("rankagent: malformed message")
	// errUnknownBase means that the layout to which changes apply is not known.
	errUnknownBase = errors.New("rankagent: the layout that the changes apply to is not known")
)

const (
	// maxLayoutLists limits the lists of a layout, one for each rank of each set.
	maxLayoutLists = 1 << 16
	// maxPackedBytes limits the decompressed size of the changes of a layout.
	maxPackedBytes = 1 << 20
)

// packNumbers encodes numbers as varints, since most are small. Negative
// numbers are encoded as 0.
func packNumbers(numbers []int64) []byte {
	var out []byte
	for _, n := range numbers {
		out = binary.AppendUvarint(out, uint64(max(n, 0)))
	}
	return out
}

// unpackNumbers decodes the numbers that packNumbers encoded.
func unpackNumbers(data []byte) ([]int64, error) {
	var out []int64
	for len(data) > 0 {
		n, size := binary.Uvarint(data)
		if size <= 0 || n > math.MaxInt64 {
			return nil, errMalformed
		}
		out = append(out, int64(n))
		data = data[size:]
	}
	return out, nil
}

// layoutDigest returns a hash of a layout's content.
func layoutDigest(l expert.Layout) uint64 {
	var numbers []int64
	for _, ranks := range l {
		numbers = append(numbers, int64(len(ranks)))
		for _, experts := range ranks {
			numbers = append(numbers, int64(len(experts)))
			for _, e := range experts {
				numbers = append(numbers, int64(e))
			}
		}
	}
	return xxhash.Sum64(packNumbers(numbers))
}

// layoutChanges is a layout as the lists of experts that differ from those of
// another layout. All ranks of a large group get one over the narrow link of the
// leader.
type layoutChanges struct {
	// Base is the digest of the other layout. It is 0 for the layout that assigns
	// the experts in turn, which every agent can compute.
	Base uint64 `json:"base,omitempty"`
	// Digest is the digest of the layout with the changes.
	Digest uint64 `json:"digest"`
	// Sets, Ranks and Experts are the numbers of layer sets, of ranks and of
	// experts in a set.
	Sets    int `json:"sets"`
	Ranks   int `json:"ranks"`
	Experts int `json:"experts"`
	// Lists encodes the lists that differ, compressed.
	Lists []byte `json:"lists,omitempty"`
}

// packChanges returns the changes from one layout to another of the same shape. A
// nil base stands for the layout that assigns the experts in turn.
func packChanges(base, next expert.Layout, experts int) layoutChanges {
	c := layoutChanges{Digest: layoutDigest(next), Sets: len(next), Ranks: len(next[0]), Experts: experts}
	if base != nil {
		c.Base = layoutDigest(base)
	} else {
		base = expert.InTurn(c.Sets, c.Ranks, experts)
	}
	var numbers []int64
	previous := -1
	for s, ranks := range next {
		for r, list := range ranks {
			if slices.Equal(list, base[s][r]) {
				continue
			}
			index := s*c.Ranks + r
			numbers = append(numbers, int64(index-previous), int64(len(list)))
			for _, e := range list {
				numbers = append(numbers, int64(e))
			}
			previous = index
		}
	}
	c.Lists = deflate(packNumbers(numbers))
	return c
}

// apply returns the layout with the changes. The function lookup returns the layout
// with a digest, or nil; without it, apply fails with errUnknownBase.
func (c layoutChanges) apply(lookup func(digest uint64) expert.Layout) (expert.Layout, error) {
	if c.Sets <= 0 || c.Ranks <= 0 || c.Experts <= 0 || c.Sets > maxLayoutLists/c.Ranks || c.Experts > maxLayoutLists/c.Sets {
		return nil, errMalformed
	}
	var base expert.Layout
	if c.Base == 0 {
		base = expert.InTurn(c.Sets, c.Ranks, c.Experts)
	} else {
		base = lookup(c.Base).Clone()
	}
	if len(base) != c.Sets || len(base[0]) != c.Ranks {
		return nil, errUnknownBase
	}
	numbers, err := inflateNumbers(c.Lists)
	if err != nil {
		return nil, err
	}
	index := int64(-1)
	for len(numbers) >= 2 {
		gap, count := numbers[0], numbers[1]
		numbers = numbers[2:]
		if gap <= 0 || gap >= int64(c.Sets*c.Ranks)-index || count > int64(len(numbers)) {
			return nil, errMalformed
		}
		index += gap
		list := make([]int, count)
		for n, e := range numbers[:count] {
			if e >= int64(c.Experts) {
				return nil, errMalformed
			}
			list[n] = int(e)
		}
		numbers = numbers[count:]
		base[index/int64(c.Ranks)][index%int64(c.Ranks)] = list
	}
	if len(numbers) > 0 || layoutDigest(base) != c.Digest {
		return nil, errMalformed
	}
	return base, nil
}

// deflate compresses data.
func deflate(data []byte) []byte {
	var out bytes.Buffer
	// Neither call can fail: the level is valid, and a buffer accepts all writes.
	w, _ := flate.NewWriter(&out, flate.BestCompression)
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// inflateNumbers decompresses and decodes numbers. It fails if they take up more
// than maxPackedBytes.
func inflateNumbers(data []byte) ([]int64, error) {
	r := flate.NewReader(bytes.NewReader(data))
	raw, err := io.ReadAll(io.LimitReader(r, maxPackedBytes+1))
	if err != nil || len(raw) > maxPackedBytes {
		return nil, errMalformed
	}
	return unpackNumbers(raw)
}

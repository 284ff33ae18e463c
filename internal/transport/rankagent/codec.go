package rankagent

import (
	"encoding/binary"
	"errors"

	"bluebellcrank/internal/state/expert"
)

var errCodec = errors.New("rankagent: the message does not decode")

// packNumbers writes numbers that are mostly small.
func packNumbers(numbers []int64) []byte {
	var out []byte
	for _, n := range numbers {
		out = binary.AppendUvarint(out, uint64(max(n, 0)))
	}
	return out
}

func unpackNumbers(data []byte) ([]int64, error) {
	var out []int64
	for len(data) > 0 {
		n, size := binary.Uvarint(data)
		if size <= 0 {
			return nil, errCodec
		}
		out = append(out, int64(n))
		data = data[size:]
	}
	return out, nil
}

// packLayout writes the numbers of sets and ranks, and each rank's experts
// behind their number.
func packLayout(l expert.Layout) []byte {
	if len(l) == 0 {
		return nil
	}
	numbers := []int64{int64(len(l)), int64(len(l[0]))}
	for _, ranks := range l {
		for _, on := range ranks {
			numbers = append(numbers, int64(len(on)))
			for _, e := range on {
				numbers = append(numbers, int64(e))
			}
		}
	}
	return packNumbers(numbers)
}

func unpackLayout(data []byte) (expert.Layout, error) {
	numbers, err := unpackNumbers(data)
	if err != nil || len(numbers) < 2 {
		return nil, errCodec
	}
	// A layout has at least one number for each rank of each set.
	sets, ranks, rest := numbers[0], numbers[1], numbers[2:]
	if sets <= 0 || ranks <= 0 || sets > int64(len(rest)) || ranks > int64(len(rest)) || sets*ranks > int64(len(rest)) {
		return nil, errCodec
	}
	out := make(expert.Layout, sets)
	for s := range out {
		out[s] = make([][]int, ranks)
		for r := range out[s] {
			if len(rest) == 0 || rest[0] > int64(len(rest)-1) {
				return nil, errCodec
			}
			count := rest[0]
			for _, e := range rest[1 : 1+count] {
				out[s][r] = append(out[s][r], int(e))
			}
			rest = rest[1+count:]
		}
	}
	return out, nil
}

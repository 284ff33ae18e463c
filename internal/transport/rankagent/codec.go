package rankagent

import (
	"encoding/binary"
	"errors"

	"bluebellcrank/internal/state/expert"
)

var errMalformed = errors.New("rankagent: malformed message")

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
		if size <= 0 {
			return nil, errMalformed
		}
		out = append(out, int64(n))
		data = data[size:]
	}
	return out, nil
}

// packLayout encodes the number of layer sets, the number of ranks, and for
// each rank of each set the number of its experts followed by the experts.
func packLayout(l expert.Layout) []byte {
	if len(l) == 0 {
		return nil
	}
	numbers := []int64{int64(len(l)), int64(len(l[0]))}
	for _, ranks := range l {
		for _, experts := range ranks {
			numbers = append(numbers, int64(len(experts)))
			for _, e := range experts {
				numbers = append(numbers, int64(e))
			}
		}
	}
	return packNumbers(numbers)
}

// unpackLayout decodes a layout. It checks the counts against the length of the
// data before it allocates memory.
func unpackLayout(data []byte) (expert.Layout, error) {
	numbers, err := unpackNumbers(data)
	if err != nil || len(numbers) < 2 {
		return nil, errMalformed
	}
	// Each rank of each set takes up at least one number.
	sets, ranks, remaining := numbers[0], numbers[1], numbers[2:]
	if sets <= 0 || ranks <= 0 || sets > int64(len(remaining)) || ranks > int64(len(remaining)) || sets*ranks > int64(len(remaining)) {
		return nil, errMalformed
	}
	out := make(expert.Layout, sets)
	for s := range out {
		out[s] = make([][]int, ranks)
		for r := range out[s] {
			if len(remaining) == 0 || remaining[0] > int64(len(remaining)-1) {
				return nil, errMalformed
			}
			count := remaining[0]
			for _, e := range remaining[1 : 1+count] {
				out[s][r] = append(out[s][r], int(e))
			}
			remaining = remaining[1+count:]
		}
	}
	return out, nil
}

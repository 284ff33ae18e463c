package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes limits the memory that one message uses. The largest one has the files of
// a configuration.
const maxMessageBytes = 8 << 20

// limitedCodec is a codec that refuses messages above maxMessageBytes, which a peer in
// trouble may send without end.
type limitedCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec.
func (limitedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return fmt.Errorf("peer: a message of %d bytes exceeds the limit of %d", size, maxMessageBytes)
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(v)
}

package upstream

import (
	"errors"
	"io"
	"net/http"

	"bluebellcrank/internal/protocol/answers"
)

// chunkedBody is a body in chunks, which is complete only if its trailers are fields.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := answers.CheckFields(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}

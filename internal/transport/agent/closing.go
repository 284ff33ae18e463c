package agent

import (
	"io"
	"sync"
)

// closing calls then once when the body is closed.
type closing struct {
	io.ReadCloser
	then func()
	once sync.Once
}

// Close implements io.Closer.
func (c *closing) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.then)
	return err
}

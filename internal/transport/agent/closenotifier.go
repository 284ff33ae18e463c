package agent

import (
	"io"
	"sync"
)

// closeNotifier calls then once when the body is closed.
type closeNotifier struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
}

// Close implements io.Closer.
func (c *closeNotifier) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.onClose)
	return err
}

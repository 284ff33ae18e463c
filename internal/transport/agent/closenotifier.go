package agent

import (
	"io"
	"sync"
)

// closeNotifier is a response body that calls onClose when it is closed for the first
// time.
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

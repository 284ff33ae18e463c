package gateway

import (
	"errors"
	"io"
	"sync"
	"time"

	"bluebellcrank/internal/coordination/clientlimit"
	"bluebellcrank/internal/transport/process"
)

const (
	// maxUnreadBytes is how much of an answer is read ahead of its client. A target cuts off
	// an answer that is not read for some seconds.
	maxUnreadBytes = 4 << 20
	// answerPieceBytes is the size of the reads of an answer.
	answerPieceBytes = 32 << 10
	// unreadCost is what a byte that is read ahead is charged: the buffer grows by up to a
	// factor of two.
	unreadCost = 2
)

var errAnswerStopped = errors.New("the client does not get the rest of the answer")

// answerBuffer passes an answer on that is read ahead of a slow client, as far as there is
// memory.
type answerBuffer struct {
	holder *clientlimit.Holder

	mu      sync.Mutex
	changed *sync.Cond
	// unread has the bytes that are not being written yet. ahead counts those and the ones
	// that are being written, and charged is what they are charged.
	unread  []byte
	ahead   int
	charged int64
	// err ends the answer; io.EOF if it is whole.
	err error
}

// copyAnswer writes an answer to a client until its end. If that fails, it calls stop, which
// must end the reading of the answer.
func copyAnswer(w io.Writer, body io.Reader, holder *clientlimit.Holder, stop func()) error {
	b := &answerBuffer{holder: holder}
	b.changed = sync.NewCond(&b.mu)
	var reading sync.WaitGroup
	reading.Go(func() { b.fill(body) })
	defer reading.Wait()
	for {
		piece, err := b.take()
		if len(piece) == 0 {
			if err == io.EOF {
				return nil
			}
			return err
		}
		if _, err := w.Write(piece); err != nil {
			b.end(errAnswerStopped)
			stop()
			return err
		}
		b.written(len(piece))
	}
}

// fill reads the answer.
func (b *answerBuffer) fill(body io.Reader) {
	piece := make([]byte, answerPieceBytes)
	for {
		n, err := body.Read(piece)
		if !b.add(piece[:n]) {
			return
		}
		if err != nil {
			b.end(err)
			return
		}
	}
}

// add adds bytes once there is memory for them. It reports whether the answer goes on.
func (b *answerBuffer) add(piece []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil && b.ahead > 0 && !b.hasRoom(len(piece)) {
		b.changed.Wait()
	}
	b.unread = append(b.unread, piece...)
	b.ahead += len(piece)
	b.changed.Broadcast()
	return b.err == nil
}

// hasRoom charges bytes that are read ahead, and reports whether there is memory for them.
func (b *answerBuffer) hasRoom(size int) bool {
	if b.ahead+size > maxUnreadBytes {
		return false
	}
	if b.holder == nil {
		return true
	}
	cost := int64(unreadCost * size)
	granted, victims := b.holder.Charge(cost, time.Now())
	process.CloseVictims(victims)
	if granted {
		b.charged += cost
	}
	return granted
}

// take waits for bytes and returns them, or the error that ends the answer.
func (b *answerBuffer) take() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.unread) == 0 && b.err == nil {
		b.changed.Wait()
	}
	out := b.unread
	b.unread = nil
	return out, b.err
}

// written records that the client has got bytes.
func (b *answerBuffer) written(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ahead -= size
	if back := min(b.charged, int64(unreadCost*size)); back > 0 {
		b.charged -= back
		b.holder.Release(back)
	}
	b.changed.Broadcast()
}

// end ends the answer, unless it has ended.
func (b *answerBuffer) end(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.changed.Broadcast()
}

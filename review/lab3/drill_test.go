//go:build review

package lab3

import (
	"syscall"
	"time"
)

// removedKeyInDrill takes a key away, has the store come back from a copy that still has it, and
// kills all entries at the same moment. The operator writes its configuration again.
func removedKeyInDrill(w *world) (bool, error) {
	const (
		// The times count from the acknowledgement of the configuration without the key.
		drillAt = 4700 * time.Millisecond
		awayFor = 300 * time.Millisecond
		// rewriteIn is the time from the store's return to the operator's write.
		rewriteIn = 2 * time.Second
		endAt     = 9 * time.Second
	)
	s, err := newKeyShop(w, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	copied := w.store.Copy()
	w.logf("the copy of the store is made")
	time.Sleep(500 * time.Millisecond)
	s.removeKey()
	s.startClients()
	time.Sleep(time.Until(s.acked.Add(drillAt)))
	if isPlayed("drill") {
		w.logf("the store is away")
		w.store.Hang()
	}
	if isPlayed("kill") {
		for _, e := range w.entries {
			e.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(awayFor)
	if isPlayed("drill") {
		w.store.Restore(copied)
		w.store.Resume()
		w.logf("the store is back from a copy of %d ms ago", time.Since(s.acked).Milliseconds()+500)
		s.register()
	}
	back := time.Now()
	if isPlayed("kill") {
		for _, e := range w.entries {
			if err := e.restart(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(back.Add(rewriteIn)))
	if isPlayed("drill") {
		s.putConfig(2)
	}
	return s.judge(endAt), nil
}

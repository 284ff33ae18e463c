//go:build review

package lab3

import "time"

// turnedAwayInDrill has the store turn the entries away with resets while a key is taken away, and
// come back from a copy that still has the key. The operator writes its configuration again.
func turnedAwayInDrill(w *world) (bool, error) {
	const (
		// turnedAwayFor counts from the acknowledgement of the configuration without the key.
		turnedAwayFor = 5 * time.Second
		// rewriteIn is the time from the store's return to the operator's write.
		rewriteIn = 2 * time.Second
		endAt     = 9 * time.Second
	)
	g, err := newGate(w)
	if err != nil {
		return false, err
	}
	w.entryStoreAddr = g.address
	s, err := newKeyShop(w, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	copied := w.store.Copy()
	w.logf("the copy of the store is made")
	time.Sleep(400 * time.Millisecond)
	if isPlayed("away") {
		w.logf("the store turns the entries away with resets")
		g.close()
	}
	time.Sleep(100 * time.Millisecond)
	s.removeKey()
	s.startClients()
	time.Sleep(time.Until(s.acked.Add(turnedAwayFor)))
	if isPlayed("drill") {
		w.store.Restore(copied)
		w.logf("the store is back from a copy of %d ms ago", time.Since(s.acked).Milliseconds()+500)
		s.register()
	}
	g.isClosed.Store(false)
	w.logf("the store turns nobody away")
	time.Sleep(rewriteIn)
	if isPlayed("drill") {
		s.putConfig(2)
	}
	return s.judge(endAt), nil
}

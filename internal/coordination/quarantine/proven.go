package quarantine

import "time"

// maxProvenKeys bounds each of the two generations of provenKeys.
const maxProvenKeys = 4096

// provenKeys remembers when targets last answered requests with a key. It keeps the
// keys of two generations, so that its memory is bounded and popular keys stay.
type provenKeys struct {
	young, old map[Key]time.Duration
}

func (p *provenKeys) add(k Key, at time.Duration) {
	if len(p.young) >= maxProvenKeys {
		p.old, p.young = p.young, nil
	}
	if p.young == nil {
		p.young = map[Key]time.Duration{}
	}
	p.young[k] = at
}

// at returns when a key was last answered; 0 if that is not known.
func (p *provenKeys) at(k Key) time.Duration { return max(p.young[k], p.old[k]) }

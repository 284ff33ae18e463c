package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Unix(0, 0)

func TestBudgetIsOneInTen(t *testing.T) {
	c := qt.New(t)
	b := NewBudget()
	spent := 0
	for range 10_000 {
		b.Succeeded()
		if b.Spend() {
			spent++
		}
	}
	c.Check(spent <= 1000+savings, qt.IsTrue, qt.Commentf("%d retries", spent))
	c.Check(spent >= 1000, qt.IsTrue, qt.Commentf("%d retries", spent))
}

func TestSuspects(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *Suspects)
		at   time.Duration
		want Treatment
	}{
		{"never seen", func(*Suspects) {}, 0, Usual},
		{"one death", func(s *Suspects) { s.Died(1, epoch) }, 0, Single},
		{"two deaths", func(s *Suspects) { s.Died(1, epoch); s.Died(1, epoch) }, 0, Never},
		{"heard of two", func(s *Suspects) { s.Heard(1, 2, 0, epoch) }, 0, Never},
		{"heard of fewer than known", func(s *Suspects) { s.Heard(1, 2, 0, epoch); s.Heard(1, 1, 0, epoch) }, 0, Never},
		{"expired", func(s *Suspects) { s.Died(1, epoch) }, suspectLife, Usual},
		{"heard when almost expired", func(s *Suspects) { s.Heard(1, 2, suspectLife-time.Second, epoch) }, time.Second, Usual},
		{"another request", func(s *Suspects) { s.Died(2, epoch) }, 0, Usual},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSuspects()
			tt.do(s)
			qt.New(t).Assert(s.Treat(1, epoch.Add(tt.at)), qt.Equals, tt.want)
		})
	}
}

func TestSuspectsStayWithinTheirMemory(t *testing.T) {
	s := NewSuspects()
	for n := range uint64(2 * maxSuspects) {
		s.Died(n, epoch.Add(time.Duration(n)))
	}
	qt.New(t).Assert(s.Len() <= maxSuspects, qt.IsTrue)
}

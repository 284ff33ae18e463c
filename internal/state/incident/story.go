package incident

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
)

// before is how long before a request other processes' events may bear on it: a
// change of a group's map or a target that leaves takes some seconds.
const before = 3 * time.Second

var (
	// beliefs are the events that hold until the next one of their process.
	beliefs = numbers(event.ProcessStarted, event.ConfigAdopted, event.PlatformUnreachable, event.PlatformReachable,
		event.DataCentreServiceChanged, event.ReadinessChanged, event.StoreReadsRelayed)
	// doings are what processes met or did beside their requests.
	doings = numbers(event.ProcessDraining, event.ProcessStopped, event.SettingsChanged, event.SettingsInvalid,
		event.StoreHistoryLost, event.TargetInvalid, event.StoreWriteFailed, event.EngineSlow, event.MapChanged,
		event.SwitchStarted, event.SwitchEnded, event.SwitchFailed, event.HeldGroupTakenOver, event.EngineUnreachable)
)

func numbers(list ...event.Event) map[int]bool {
	out := map[int]bool{}
	for _, e := range list {
		out[e.Number()] = true
	}
	return out
}

// Timeline is what logs tell of one request.
type Timeline struct {
	lines []Line
	ended *Line
}

// NewTimeline returns the story of a request; false where no line tells of it.
func NewTimeline(request string, lines []Line) (Timeline, bool) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.request() != request })
	if len(own) == 0 {
		return Timeline{}, false
	}
	last := own[len(own)-1]
	var s Timeline
	began := own[0].Time
	if n := slices.IndexFunc(own, func(l Line) bool { return l.Event == event.RequestEnded.Number() }); n >= 0 {
		s.ended = &own[n]
		began = s.ended.Time.Add(-time.Duration(s.ended.number("total-ms")) * time.Millisecond)
	}
	believed := map[int]Line{}
	for _, l := range lines {
		switch {
		case l.request() == request:
			s.lines = append(s.lines, l)
		case l.request() != "" || l.Time.After(last.Time):
		case l.Time.After(began.Add(-before)):
			s.lines = append(s.lines, l)
		case l.Instance == last.Instance && beliefs[l.Event]:
			believed[l.Event] = l
		}
	}
	s.lines = append(s.lines, slices.Collect(maps.Values(believed))...)
	slices.SortStableFunc(s.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return s, true
}

// Lines are the request's own lines, those of all processes around it, and what
// its entry believed last, in the order of time.
func (s Timeline) Lines() []Line { return s.lines }

// String returns a line as an operator reads it.
func (l Line) String() string {
	parts := []string{l.Time.Format("15:04:05.000"), l.Instance, fmt.Sprint(l.Event), l.Text}
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := strings.ReplaceAll(fmt.Sprint(l.Fields[name]), "\n", "; "); v != "" && name != "id" {
			parts = append(parts, name+"="+v)
		}
	}
	return strings.Join(parts, "  ")
}

// Findings say what the end of the request means, in sentences.
func (s Timeline) Findings() []string {
	if s.ended == nil {
		return []string{"No line says how the request ended: it is still running, its process was killed, or the line is in another log."}
	}
	e := *s.ended
	status, reason := int(e.number("status")), refusal.Reason(e.text("reason"))
	var out []string
	switch {
	case reason == "":
		out = append(out, fmt.Sprintf("The target's answer, status %d, was passed on.", status))
	case status == 0:
		out = append(out, "The caller left before the request had ended.")
	default:
		out = append(out, fmt.Sprintf("The entry answered %d, %s: %s.", status, reason, reason.Explain()))
	}
	switch uncertain, _ := e.Fields["uncertain"].(bool); {
	case uncertain && reason != "":
		out = append(out, "A target may have run the request.")
	case reason != "":
		out = append(out, "No target ran the request.")
	}
	if first := e.number("first-ms"); first > 0 {
		out = append(out, fmt.Sprintf("The first byte went out after %.0f ms; the longest pause of a target was %.0f ms.", first, e.number("longest-pause-ms")))
	}
	if sends := int(e.number("sends")); sends > 1 {
		out = append(out, fmt.Sprintf("It was sent to %d targets in turn.", sends))
	}
	if age := e.number("proof-age-ms"); reason == refusal.PlatformDown || reason == refusal.NotReady {
		out = append(out, fmt.Sprintf("The store had last confirmed the configuration %.1f s before.", age/1000))
	}
	return out
}

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

// contextWindow is how long before the start of a request the events of all
// processes are included. A change of a group's map or the shutdown of a target
// takes some seconds and can affect later requests.
const contextWindow = 3 * time.Second

var (
	// stateEvents report a state of their process that lasts until the process logs
	// the next event of this kind.
	stateEvents = eventNumbers(event.ProcessStarted, event.ConfigAdopted, event.PlatformUnreachable, event.PlatformReachable,
		event.DataCentreServiceChanged, event.ReadinessChanged, event.StoreReadsRelayed)
	// backgroundEvents report what processes did or encountered outside requests.
	backgroundEvents = eventNumbers(event.ProcessDraining, event.ProcessStopped, event.SettingsChanged, event.SettingsInvalid,
		event.StoreHistoryLost, event.TargetInvalid, event.StoreWriteFailed, event.EngineSlow, event.MapChanged,
		event.SwitchStarted, event.SwitchEnded, event.SwitchFailed, event.HeldGroupTakenOver, event.EngineUnreachable)
)

func eventNumbers(list ...event.Event) map[int]bool {
	out := map[int]bool{}
	for _, e := range list {
		out[e.Number()] = true
	}
	return out
}

// Timeline holds the events that concern one request.
type Timeline struct {
	lines []Line
	end   *Line
}

// NewTimeline returns the timeline of a request, or false if no line belongs to
// the request.
func NewTimeline(request string, lines []Line) (Timeline, bool) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.requestID() != request })
	if len(requestLines) == 0 {
		return Timeline{}, false
	}
	last := requestLines[len(requestLines)-1]
	var t Timeline
	start := requestLines[0].Time
	if n := slices.IndexFunc(requestLines, func(l Line) bool { return l.Event == event.RequestEnded.Number() }); n >= 0 {
		t.end = &requestLines[n]
		start = t.end.Time.Add(-time.Duration(t.end.number("total-ms")) * time.Millisecond)
	}
	latestState := map[int]Line{}
	for _, l := range lines {
		switch {
		case l.requestID() == request:
			t.lines = append(t.lines, l)
		case l.requestID() != "" || l.Time.After(last.Time):
		case l.Time.After(start.Add(-contextWindow)):
			t.lines = append(t.lines, l)
		case l.Instance == last.Instance && stateEvents[l.Event]:
			latestState[l.Event] = l
		}
	}
	t.lines = append(t.lines, slices.Collect(maps.Values(latestState))...)
	slices.SortStableFunc(t.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t, true
}

// Lines returns, in the order of time, the request's own lines, the lines of all
// processes shortly before and during the request, and the last earlier state
// events of the process that wrote the request's last line.
func (t Timeline) Lines() []Line { return t.lines }

// String formats the line for operators.
func (l Line) String() string {
	parts := []string{l.Time.Format("15:04:05.000"), l.Instance, fmt.Sprint(l.Event), l.Text}
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := strings.ReplaceAll(fmt.Sprint(l.Fields[name]), "\n", "; "); v != "" && name != "id" {
			parts = append(parts, name+"="+v)
		}
	}
	return strings.Join(parts, "  ")
}

// secondRequestFindings returns sentences that describe the second request, if one was sent.
func (t Timeline) secondRequestFindings() []string {
	var out []string
	for _, l := range t.lines {
		switch l.Event {
		case event.SecondRequestSent.Number():
			cause := "was slow"
			if l.text("cause") == "suspect" {
				cause = "became suspect"
			}
			out = append(out, fmt.Sprintf("After %.0f ms a second request was sent to %s, because %s %s.", l.number("after-ms"), l.text("target"), l.text("first"), cause))
		case event.SecondRequestWon.Number():
			out = append(out, fmt.Sprintf("The answer to the second request came first; the attempt at %s was ended.", l.text("overtaken")))
		}
	}
	return out
}

// Findings returns sentences that describe how the request ended.
func (t Timeline) Findings() []string {
	if t.end == nil {
		return []string{"No log line reports how the request ended: it is still running, its process was killed, or the line is in another log."}
	}
	end := *t.end
	status, reason := int(end.number("status")), refusal.Reason(end.text("reason"))
	var out []string
	switch {
	case reason == "":
		out = append(out, fmt.Sprintf("The target's answer, status %d, was passed on.", status))
	case status == 0:
		out = append(out, "The caller disconnected before the request ended.")
	default:
		out = append(out, fmt.Sprintf("The entry answered %d, %s: %s.", status, reason, reason.Explain()))
	}
	switch uncertain, _ := end.Fields["uncertain"].(bool); {
	case uncertain && reason != "":
		out = append(out, "A target may have run the request.")
	case reason != "":
		out = append(out, "No target ran the request.")
	}
	switch end.text("returned") {
	case "record":
		out = append(out, fmt.Sprintf("The request was refused before, by %s; its caller came back %.0f ms after the first attempt.", end.text("refused-by"), end.number("returned-after-ms")))
	case "deadline":
		out = append(out, "Its deadline was shorter than usual: the caller probably came back after an earlier attempt.")
	}
	if first := end.number("first-ms"); first > 0 {
		out = append(out, fmt.Sprintf("The first byte went out after %.0f ms; the longest gap between events of a target was %.0f ms.", first, end.number("longest-pause-ms")))
	}
	second := t.secondRequestFindings()
	if attempts := int(end.number("sends")); attempts > 1 && len(second) == 0 {
		out = append(out, fmt.Sprintf("It was sent to %d targets in turn.", attempts))
	}
	out = append(out, second...)
	if confirmationAgeMs := end.number("proof-age-ms"); reason == refusal.PlatformDown || reason == refusal.NotReady {
		out = append(out, fmt.Sprintf("The store had last confirmed the configuration %.1f s before.", confirmationAgeMs/1000))
	}
	return out
}

package event

import (
	"fmt"

	"github.com/hashicorp/go-hclog"
)

// Event is one kind of log line; its number never changes.
type Event struct {
	number int
	level  hclog.Level
	text   string
}

// catalogue lists every event once.
var catalogue []Event

func declare(number int, level hclog.Level, text string) Event {
	e := Event{number: number, level: level, text: text}
	catalogue = append(catalogue, e)
	return e
}

// The events of every process.
var (
	ProcessStarted   = declare(1001, hclog.Info, "process started")
	ProcessDraining  = declare(1002, hclog.Info, "draining: no new work, requests in flight go on")
	ProcessStopped   = declare(1003, hclog.Info, "process stopped")
	ProcessAborted   = declare(1004, hclog.Warn, "second signal: stopping with requests in flight")
	ListenerFailed   = declare(1005, hclog.Error, "listener failed")
	SettingsChanged  = declare(1006, hclog.Info, "settings file changed: new bounds in force")
	SettingsInvalid  = declare(1007, hclog.Error, "settings file cannot be used: the last good one stays in force")
	ConfigAdopted    = declare(1101, hclog.Info, "configuration adopted")
	ConfigInvalid    = declare(1102, hclog.Error, "configuration from the platform or a peer does not check")
	ConfigFetchFailed      = declare(1103, hclog.Warn, "configuration could not be fetched")
	PlatformUnreachable     = declare(1201, hclog.Warn, "platform does not answer")
	PlatformReachable     = declare(1202, hclog.Info, "platform answers again")
	Isolated         = declare(1203, hclog.Warn, "no word from the platform or another data centre: refusing new work")
	IsolationEnded    = declare(1204, hclog.Info, "word from outside again: accepting new work")
	RefusalsNotWritten  = declare(1301, hclog.Warn, "refusals could not be written, kept for later")
	RefusalsDropped  = declare(1302, hclog.Error, "refusals dropped for want of room")
	RequestRefused   = declare(1303, hclog.Debug, "request refused")
	AnswerInterrupted     = declare(2001, hclog.Warn, "answer broken off")
	AnswerMismatched = declare(2002, hclog.Error, "answer withheld: it does not match its digest or its request")
	AnswerResumed    = declare(2003, hclog.Info, "answer resumed on a fresh connection")
	RetryBudgetExhausted       = declare(2004, hclog.Warn, "retry budget spent")
	TargetCold       = declare(3001, hclog.Warn, "target counts as cold")
	TargetWarm       = declare(3002, hclog.Info, "target is warm")
	TargetUnreachable       = declare(3003, hclog.Warn, "target does not answer")
	TargetReachable       = declare(3004, hclog.Info, "target answers")
	TargetLeaving    = declare(3005, hclog.Info, "target is leaving: refusing new work")
	TargetDied       = declare(3006, hclog.Warn, "target died with a request in flight, which is now a suspect")
	ClaimAbandoned   = declare(3101, hclog.Info, "claim marked as abandoned")
	RankOrderFailed    = declare(3201, hclog.Warn, "rank's engine does not take an order")
	LeaseAcquired       = declare(3202, hclog.Info, "lease on the rank group taken")
	LeaseLost        = declare(3203, hclog.Warn, "lease on the rank group lost")
	MapChanged       = declare(3204, hclog.Info, "expert map changed")
	StoreHistoryLost      = declare(1205, hclog.Info, "the store's history is gone: listing anew")
	TargetInvalid    = declare(1206, hclog.Warn, "entry in the list of targets names no target")
	DataCentreServiceChanged    = declare(1207, hclog.Info, "data centre out of service or back")
	StoreWriteFailed       = declare(1208, hclog.Warn, "write to the store failed")
	ReadinessChanged     = declare(1209, hclog.Info, "readiness changed")
	EntryListUnreadable    = declare(1210, hclog.Warn, "list of entries could not be read: the last number stays in force")
	EntryRemoved        = declare(1211, hclog.Warn, "entry does not answer any more: taken off the list of entries")
	StoreReadsRelayed      = declare(1212, hclog.Warn, "reads of the store go through other entries, or straight again")
	RequestEnded      = declare(2101, hclog.Info, "request ended")
	AttemptFailed     = declare(2102, hclog.Info, "send to a target failed")
	EngineSlow       = declare(3007, hclog.Info, "engine says that it is slow")
	SwitchStarted    = declare(3205, hclog.Info, "change of the expert map started")
	SwitchEnded      = declare(3206, hclog.Info, "change of the expert map ended")
	SwitchFailed     = declare(3207, hclog.Warn, "change of the expert map given up")
	HeldGroupTakenOver  = declare(3209, hclog.Warn, "taking over a rank group that another leader left held")
	EngineUnreachable  = declare(3208, hclog.Warn, "engine does not answer")
	ClaimAbandonFailed     = declare(3102, hclog.Warn, "claim could not be marked as abandoned, trying again")
)

// Log writes the event with key and value pairs.
func (e Event) Log(l hclog.Logger, pairs ...any) {
	l.Log(e.level, e.text, append([]any{"event", e.number}, pairs...)...)
}

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Row returns the event's line in docs/EVENTS.md.
func (e Event) Row() string {
	return fmt.Sprintf("| %d | %s | %s |", e.number, e.level, e.text)
}

// All returns the catalogue in the order of declaration.
func All() []Event { return catalogue }

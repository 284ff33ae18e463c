package event

import (
	"fmt"

	"github.com/hashicorp/go-hclog"
)

// Event is one kind of log line. Its number never changes, because log tools
// match events by number.
type Event struct {
	number int
	level  hclog.Level
	text   string
}

// catalogue lists every event once, in the order of declaration.
var catalogue []Event

func declare(number int, level hclog.Level, text string) Event {
	e := Event{number: number, level: level, text: text}
	catalogue = append(catalogue, e)
	return e
}

// The log events. 10xx to 13xx concern the process, its configuration, the
// platform and refusals; 2xxx requests; 3xxx targets, claims and rank groups.
var (
	ProcessStarted           = declare(1001, hclog.Info, "process started")
	ProcessDraining          = declare(1002, hclog.Info, "draining: accepting no new requests, completing those in flight")
	ProcessStopped           = declare(1003, hclog.Info, "process stopped")
	ProcessAborted           = declare(1004, hclog.Warn, "signal during the drain: stopping without waiting for requests in flight")
	ListenerFailed           = declare(1005, hclog.Error, "listener failed")
	SettingsChanged          = declare(1006, hclog.Info, "settings file changed: new limits applied")
	SettingsInvalid          = declare(1007, hclog.Error, "settings file is invalid: the last valid settings stay in force")
	ConfigAdopted            = declare(1101, hclog.Info, "configuration applied")
	ConfigInvalid            = declare(1102, hclog.Error, "configuration from the platform or a peer is invalid")
	ConfigFetchFailed        = declare(1103, hclog.Warn, "configuration could not be fetched")
	PlatformUnreachable      = declare(1201, hclog.Warn, "platform does not respond")
	PlatformReachable        = declare(1202, hclog.Info, "platform responds again")
	Isolated                 = declare(1203, hclog.Warn, "no contact with the platform or another data centre: refusing new requests")
	IsolationEnded           = declare(1204, hclog.Info, "contact with the platform or another data centre restored: accepting new requests")
	RefusalsNotWritten       = declare(1301, hclog.Warn, "refusals could not be written, will retry")
	RefusalsDropped          = declare(1302, hclog.Error, "refusals dropped: buffer full")
	RequestRefused           = declare(1303, hclog.Debug, "request refused")
	AnswerInterrupted        = declare(2001, hclog.Warn, "answer interrupted")
	AnswerMismatched         = declare(2002, hclog.Error, "answer withheld: it does not match its digest or its request")
	AnswerResumed            = declare(2003, hclog.Info, "answer resumed on a new connection")
	RetryBudgetExhausted     = declare(2004, hclog.Warn, "retry budget exhausted")
	TargetCold               = declare(3001, hclog.Warn, "target is cold")
	TargetWarm               = declare(3002, hclog.Info, "target is warm")
	TargetUnreachable        = declare(3003, hclog.Warn, "target does not respond")
	TargetReachable          = declare(3004, hclog.Info, "target responds")
	TargetLeaving            = declare(3005, hclog.Info, "target is leaving: refusing new requests")
	TargetDied               = declare(3006, hclog.Warn, "target died with a request in flight, the request is now suspect")
	ClaimAbandoned           = declare(3101, hclog.Info, "claim marked as abandoned")
	RankOrderFailed          = declare(3201, hclog.Warn, "order to the rank's engine failed")
	LeaseAcquired            = declare(3202, hclog.Info, "lease on the rank group acquired")
	LeaseLost                = declare(3203, hclog.Warn, "lease on the rank group lost")
	MapChanged               = declare(3204, hclog.Info, "expert map changed")
	StoreHistoryLost         = declare(1205, hclog.Info, "store history no longer available: listing again")
	TargetInvalid            = declare(1206, hclog.Warn, "list of targets contains an invalid target")
	DataCentreServiceChanged = declare(1207, hclog.Info, "data centre taken out of service or returned to service")
	StoreWriteFailed         = declare(1208, hclog.Warn, "write to the store failed")
	ReadinessChanged         = declare(1209, hclog.Info, "readiness changed")
	EntryListUnreadable      = declare(1210, hclog.Warn, "list of entries could not be read: the last known count stays in force")
	EntryRemoved             = declare(1211, hclog.Warn, "entry no longer responds: removed from the list of entries")
	StoreReadsRelayed        = declare(1212, hclog.Warn, "reads of the store relayed through other entries, or direct again")
	EntryInvalid             = declare(1213, hclog.Warn, "list of entries contains an invalid entry")
	StoreRestored            = declare(1214, hclog.Warn, "store was restored from a copy: what was written since may be gone")
	ConfigLost               = declare(1215, hclog.Warn, "store has an older configuration than the one in force")
	ObjectsRestored          = declare(1218, hclog.Warn, "platform's objects restored from a copy: what was written since may be gone")
	ClaimsRewritten          = declare(1219, hclog.Info, "claims written again after a restore")
	ClaimHeldByAnother       = declare(1220, hclog.Error, "claim lost in a restore: another attempt holds its key and may have run as well")
	ConfigRewritten          = declare(1221, hclog.Warn, "configuration written again that the platform's objects had lost")
	ConfigNotRewritten       = declare(1222, hclog.Warn, "configuration that the platform's objects have lost could not be written again, will retry")
	MapNotStored             = declare(1223, hclog.Warn, "expert map in force is not stored: planning from the default one")
	ConfigTrusted            = declare(1224, hclog.Info, "newest version of the configuration known since the start or a restore")
	ConfirmationNotRecorded  = declare(1225, hclog.Warn, "record of the confirmed configuration could not be read or written")
	WatchMissedChange        = declare(1226, hclog.Warn, "watch of a list has not brought a change: watching again")
	ListUnknown              = declare(1227, hclog.Warn, "list has not been confirmed for too long: it may be out of date")
	ListKnown                = declare(1228, hclog.Info, "list confirmed again")
	AppliedVersionUnknown    = declare(1216, hclog.Warn, "other entries have not told the newest version of the configuration: nothing is confirmed yet")
	RequestEnded             = declare(2101, hclog.Info, "request ended")
	SlowClientsClosed        = declare(2103, hclog.Info, "connections closed: request headers incomplete after the time limit")
	Quarantined              = declare(2104, hclog.Warn, "quarantined: a request, or a part of prompts, crashes its targets")
	QuarantineEnded          = declare(2105, hclog.Info, "quarantine ended: a target has answered")
	ListNotExchanged         = declare(2106, hclog.Info, "list of another entry could not be read, or the entry not told of a change")
	QuarantineNotStored      = declare(2107, hclog.Warn, "quarantined keys could not be read from the store or written to it")
	ServiceOverloaded        = declare(2110, hclog.Warn, "overload: requests of the service are refused for lack of capacity")
	RefusalsNotSent          = declare(2108, hclog.Info, "refused requests could not be sent to another entry of the data centre")
	RefusalMessageDropped    = declare(2109, hclog.Warn, "message about refused requests dropped: not valid, late, or from an unknown entry")
	SecondRequestSent        = declare(2111, hclog.Info, "second request sent: the first target is slow or suspect")
	SecondRequestWon         = declare(2112, hclog.Info, "answer to a second request came first: the first attempt is ended")
	ClientsLimited           = declare(2113, hclog.Warn, "clients refused or closed: the memory or the connections for clients are short")
	AnswerSkipped            = declare(2114, hclog.Warn, "answer skipped: it belongs to another request")
	RequestUnanswered        = declare(2115, hclog.Error, "a request ended without an answer: its connection is closed")
	AttemptFailed            = declare(2102, hclog.Info, "attempt at a target failed")
	TargetAnnouncedLeaving   = declare(3010, hclog.Info, "target announced in an answer that it is leaving: it gets no new requests")
	TargetBackoff            = declare(3011, hclog.Info, "target asked for no requests for a time")
	TargetLimitChanged       = declare(3012, hclog.Info, "target named another limit on its requests, or none any more")
	TargetLimitInvalid       = declare(3013, hclog.Warn, "target named a limit that is no number of requests: the last one stays in force")
	SilentConnectionsClosed  = declare(3014, hclog.Info, "connection to a target went silent: idle ones that carried nothing since are closed")
	LoanFailed               = declare(3015, hclog.Info, "another entry could not be asked for an attempt at a target that names a limit")
	PaceNoticeInvalid        = declare(3016, hclog.Warn, "notice of slow engines is invalid: ignored")
	TargetRefused            = declare(3017, hclog.Info, "target refused a request without running it")
	EngineSlow               = declare(3007, hclog.Info, "engine reports a slowdown")
	SwitchStarted            = declare(3205, hclog.Info, "change of the expert map started")
	SwitchEnded              = declare(3206, hclog.Info, "change of the expert map ended")
	SwitchFailed             = declare(3207, hclog.Warn, "change of the expert map abandoned")
	HeldGroupTakenOver       = declare(3209, hclog.Warn, "taking over a rank group that another leader left held")
	SwitchStepChosen         = declare(3210, hclog.Info, "step chosen on which the ranks switch to another expert map")
	SwitchHoldLost           = declare(3211, hclog.Error, "held step released by an order of another change before all ranks were armed")
	MapsDiffer               = declare(3212, hclog.Error, "ranks of a group use different expert maps: changing all to one")
	PaceChanged              = declare(3213, hclog.Info, "pace of a rank changed: the expert map is planned accordingly")
	EntriesNotNotified       = declare(3215, hclog.Info, "an entry could not be told which engines of the group are slow")
	PaceInvalid              = declare(3214, hclog.Warn, "rank reported a pace that is negative, no number or too large")
	EngineUnreachable        = declare(3208, hclog.Warn, "engine does not respond")
	ClaimAbandonFailed       = declare(3102, hclog.Warn, "claim could not be marked as abandoned, will retry")
)

// Log writes the event to l with its number and the given key and value pairs.
func (e Event) Log(l hclog.Logger, pairs ...any) {
	l.Log(e.level, e.text, append([]any{"event", e.number}, pairs...)...)
}

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Row returns the event's row of the table in docs/EVENTS.md.
func (e Event) Row() string {
	return fmt.Sprintf("| %d | %s | %s |", e.number, e.level, e.text)
}

// All returns every event in the order of declaration.
func All() []Event { return catalogue }

package logevent

import "fmt"

// Code is the number of a log event. The hundreds digit is the subject of the
// event: 1 process, 2 upstreams, 3 requests, 4 peers, 5 configuration, 6 agreement,
// 7 ledger, 8 permits.
type Code int

// Level is the severity of a log event.
type Level uint8

// Levels, in ascending order of severity.
const (
	LevelInfo Level = iota
	LevelWarn
	LevelError
)

// String returns the name of the level as written to the log.
func (l Level) String() string {
	switch l {
	case LevelInfo:
		return "info"
	case LevelWarn:
		return "warn"
	case LevelError:
		return "error"
	}
	return "unknown"
}

// Field is a named value attached to a log event.
type Field struct {
	Name  string
	Value any
}

// F returns a Field with the name and the value.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Log events.
const (
	ProcessStarted  Code = 101
	ProcessStopping Code = 102
	ProcessStopped  Code = 103
	InvariantFailed Code = 104
	EventsDumped    Code = 105
	ListenerFailed  Code = 106
	// SettingsReloaded and ReloadFailed report the outcome of a reload of the
	// settings file.
	SettingsReloaded Code = 107
	ReloadFailed     Code = 108
	LinesSkipped     Code = 109
	ProcessPaused    Code = 110
	// ConnectionsClosed reports how many accepted connections were closed or refused for one
	// reason since the last report.
	ConnectionsClosed Code = 111

	UpstreamRegistered Code = 201
	UpstreamDraining   Code = 202
	UpstreamLeft       Code = 203
	UpstreamExpired    Code = 204
	UpstreamTakenOver  Code = 205
	StatementMalformed Code = 206
	UpstreamStated     Code = 207
	// RecordInvalid reports an announcement, an item or a record of another instance
	// that is not used.
	RecordInvalid Code = 208
	// RegistrationsNotSaved reports that the file with registrations could not be read
	// or written.
	RegistrationsNotSaved Code = 209

	RequestRejected Code = 301
	RequestRepeated Code = 302
	SendFailed      Code = 303
	RequestPanicked Code = 304

	PeerConnected  Code = 401
	PeerLost       Code = 402
	PeerBadMessage Code = 403
	PeerQueueFull  Code = 404

	MemberSuspected Code = 405
	MemberDead      Code = 406

	SubscriptionsChanged Code = 407
	PeerNotReached       Code = 408

	ConfigInForce     Code = 501
	ConfigSaveFailed  Code = 502
	ConfigFileBroken  Code = 503
	OperatorChange    Code = 504
	CommandApplied    Code = 505
	CallFailed        Code = 506
	ReadinessChanged  Code = 507
	RecordsPulled     Code = 508
	ItemsRead         Code = 509
	ConfirmationAsked Code = 510

	AgreementStorageFailed Code = 601
	AgreementLeader        Code = 602
	AgreementSteppedDown   Code = 603
	AgreementFounded       Code = 604
	AgreementMembers       Code = 605
	AgreementLeaderless    Code = 606
	AgreementMemberLost    Code = 607
	// AgreementStorageRecovered reports the end of an AgreementStorageFailed.
	AgreementStorageRecovered Code = 608
)

// Info describes a log event in log lines and in docs/log-events.md.
type Info struct {
	Code    Code
	Name    string
	Level   Level
	Message string
}

// Table lists all log events in ascending order of their numbers.
var Table = []Info{
	{ProcessStarted, "process_started", LevelInfo, "instance started"},
	{ProcessStopping, "process_stopping", LevelInfo, "a graceful stop began"},
	{ProcessStopped, "process_stopped", LevelInfo, "instance stopped"},
	{InvariantFailed, "invariant_failed", LevelError, "an invariant of the reducer failed"},
	{EventsDumped, "events_dumped", LevelWarn, "the recorded events were written to a file"},
	{ListenerFailed, "listener_failed", LevelError, "a listener failed"},
	{SettingsReloaded, "settings_reloaded", LevelInfo, "the settings file was reloaded"},
	{ReloadFailed, "reload_failed", LevelError, "the settings file could not be reloaded; the previous settings stay in force"},
	{LinesSkipped, "lines_skipped", LevelWarn, "log lines were dropped by the rate limit of the log"},
	{ProcessPaused, "process_paused", LevelWarn, "the process did not run for some time, or the clock was set; orders of unknown age are rejected for 1 s"},
	{ConnectionsClosed, "connections_closed", LevelWarn, "accepted connections were closed or refused, because they and the others hold too much memory or too many descriptors, or because their clients read nothing"},
	{UpstreamRegistered, "upstream_registered", LevelInfo, "an upstream registered with this instance"},
	{UpstreamDraining, "upstream_draining", LevelInfo, "an upstream is draining"},
	{UpstreamLeft, "upstream_left", LevelInfo, "an upstream deregistered"},
	{UpstreamExpired, "upstream_expired", LevelWarn, "the lease of an upstream expired"},
	{UpstreamTakenOver, "upstream_taken_over", LevelWarn, "this instance took over an upstream from another instance; its slots count as in use until a handover or until the longest deadline of its service has passed"},
	{StatementMalformed, "statement_malformed", LevelWarn, "an upstream's statement about itself in a response is malformed and was ignored"},
	{UpstreamStated, "upstream_stated", LevelInfo, "an upstream's statement about itself changed what this instance assumes: it is leaving, wants a pause, or states another request limit"},
	{RecordInvalid, "record_invalid", LevelWarn, "an announcement or a record that another instance sent cannot be read or contains an invalid value and is not used"},
	{RegistrationsNotSaved, "registrations_not_saved", LevelWarn, "the file with the registrations of upstreams could not be read or written; after a restart this instance learns them from heartbeats"},
	{RequestRejected, "request_rejected", LevelInfo, "a routed request ended with an error response of this instance"},
	{RequestRepeated, "request_repeated", LevelInfo, "a routed request is retried at another upstream"},
	{SendFailed, "send_failed", LevelInfo, "a send to an upstream ended without a complete response"},
	{RequestPanicked, "request_panicked", LevelError, "the goroutine that serves a request panicked; the caller's connection was closed and the request ended with an unknown outcome"},
	{PeerConnected, "peer_connected", LevelInfo, "a connection to another instance was established"},
	{PeerLost, "peer_lost", LevelWarn, "a connection to another instance was lost"},
	{PeerBadMessage, "peer_bad_message", LevelWarn, "a message from another instance could not be decoded"},
	{PeerQueueFull, "peer_queue_full", LevelWarn, "a message to another instance was dropped because its queue is full"},
	{MemberSuspected, "member_suspected", LevelInfo, "an instance did not answer probes and is suspected to have failed"},
	{MemberDead, "member_dead", LevelWarn, "a suspected instance did not refute the suspicion in time and is considered dead"},
	{SubscriptionsChanged, "subscriptions_changed", LevelInfo, "this entry instance receives changes from other control instances than before"},
	{PeerNotReached, "peer_not_reached", LevelWarn, "a peer hears nothing from this instance although its own messages arrive; the connection to it is opened again"},
	{ConfigInForce, "config_in_force", LevelInfo, "a configuration came into force"},
	{ConfigSaveFailed, "config_save_failed", LevelError, "a configuration could not be saved; it is in force nevertheless"},
	{ConfigFileBroken, "config_file_broken", LevelError, "the saved configuration is damaged and was ignored; the configuration is fetched from peers"},
	{OperatorChange, "operator_change", LevelInfo, "an operator's change completed with a result"},
	{CommandApplied, "command_applied", LevelInfo, "a command of the replicated log was applied"},
	{CallFailed, "call_failed", LevelWarn, "a call of an upstream or operator failed or has an unknown outcome"},
	{ReadinessChanged, "readiness_changed", LevelInfo, "this instance became ready for clients or is no longer ready"},
	{RecordsPulled, "records_pulled", LevelInfo, "another instance answered a pull with the records that this instance lacked"},
	{ItemsRead, "items_read", LevelInfo, "a call that reads the configuration was answered"},
	{ConfirmationAsked, "confirmation_asked", LevelInfo, "an operator's order may be older than others that were applied; its caller was asked to send it again"},
	{AgreementStorageFailed, "agreement_storage_failed", LevelError, "the data folder cannot be used; this member of the control group no longer votes"},
	{AgreementLeader, "agreement_leader", LevelInfo, "this instance leads the control group"},
	{AgreementSteppedDown, "agreement_stepped_down", LevelWarn, "this instance no longer leads the control group"},
	{AgreementFounded, "agreement_founded", LevelInfo, "this instance founded the control group"},
	{AgreementMembers, "agreement_members", LevelInfo, "the member list of the control group changed"},
	{AgreementLeaderless, "agreement_leaderless", LevelWarn, "this member knows no leader and a vote did not end with one"},
	{AgreementMemberLost, "agreement_member_lost", LevelWarn, "the leader removes a member of the control group that stopped answering"},
	{AgreementStorageRecovered, "agreement_storage_recovered", LevelInfo, "the data folder can be used again; this member of the control group votes again"},
}

var byCode = func() map[Code]*Info {
	m := make(map[Code]*Info, len(Table))
	for i := range Table {
		m[Table[i].Code] = &Table[i]
	}
	return m
}()

// Lookup returns the description of the log event with the code. A code that is not
// in Table gets a description with the name "unlisted" and the level LevelError.
func Lookup(c Code) Info {
	if info, ok := byCode[c]; ok {
		return *info
	}
	return Info{Code: c, Name: "unlisted", Level: LevelError, Message: fmt.Sprintf("unlisted event %d", int(c))}
}

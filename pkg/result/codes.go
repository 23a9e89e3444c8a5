package result

import "fmt"

// Code is the number of a result. The thousands digit is the category of the
// result: 0 success, 1 invalid input, 2 refusal, 3 unknown outcome of a request, 4
// configuration change, 5 internal error.
type Code int

// Class states whether a request with a result code was executed, or whether a
// change with a result code took effect.
type Class string

const (
	// OK means that the request was executed or that the change took effect.
	OK Class = "ok"
	// NotRun means that the request was provably not executed or that the change was
	// provably not applied, so a retry is safe.
	NotRun Class = "not_run"
	// OutcomeUnknown means that the request may have been executed or that the change
	// may have taken effect. A retry of the request may execute it a second time.
	OutcomeUnknown Class = "outcome_unknown"
	// Conflict means that another change took effect instead of the requested one.
	Conflict Class = "conflict"
)

// Result codes.
const (
	// Success is the code of a request, change, append, claim or announcement that
	// succeeded. Its name in responses is "answered".
	Success Code = 0

	MalformedAnnouncement Code = 1001
	MalformedRequest      Code = 1002
	UnknownService        Code = 1003
	MalformedKey          Code = 1004
	KeyFromFuture         Code = 1005
	KeyReused             Code = 1006
	BodyTooLarge          Code = 1007
	Unauthorized          Code = 1008
	MalformedChange       Code = 1009
	NotFound              Code = 1010
	HeaderTooLarge        Code = 1011

	QueueFull         Code = 2001
	DeadlineTooShort  Code = 2002
	ControlQueueFull  Code = 2003
	NoUpstream        Code = 2004
	DeadlineInQueue   Code = 2005
	NoConfiguration   Code = 2006
	Stopping          Code = 2007
	RefusedByUpstream Code = 2008
	CanceledByCaller  Code = 2009
	ConnectionFailed  Code = 2010
	MemoryFull        Code = 2011

	UpstreamLost          Code = 3001
	KeyInProgress         Code = 3002
	AnswerNotKept         Code = 3003
	KeyExpired            Code = 3004
	LedgerNoMajority      Code = 3005
	DeadlineAfterDispatch Code = 3006
	KeyForgotten          Code = 3007
	CanceledAfterDispatch Code = 3008

	VersionConflict    Code = 4001
	NotLeader          Code = 4002
	ChangeUnknown      Code = 4003
	ChangeIDReused     Code = 4004
	InvalidChange      Code = 4005
	MembershipBusy     Code = 4006
	NotCurrent         Code = 4007
	ControlUnavailable Code = 4008
	ChangeOvertaken    Code = 4009
	ChangeAgeUnknown   Code = 4010
	ConfirmationNeeded Code = 4011

	Internal Code = 5001
)

// Info describes a result code in responses and in docs/results.md.
type Info struct {
	Code    Code
	Name    string
	Class   Class
	Status  int // HTTP status
	Message string
}

// Table lists all result codes in ascending order of their numbers.
var Table = []Info{
	{Success, "answered", OK, 200, "the request was answered"},
	{MalformedAnnouncement, "malformed_announcement", NotRun, 400, "the announcement is malformed"},
	{MalformedRequest, "malformed_request", NotRun, 400, "the request is malformed"},
	{UnknownService, "unknown_service", NotRun, 404, "no such service is configured"},
	{MalformedKey, "malformed_key", NotRun, 400, "the idempotency key is malformed"},
	{KeyFromFuture, "key_from_future", NotRun, 400, "the idempotency key was issued too far in the future"},
	{KeyReused, "key_reused", NotRun, 422, "the idempotency key was used for another request; this request did not run"},
	{BodyTooLarge, "body_too_large", NotRun, 413, "the request body is too large"},
	{Unauthorized, "unauthorized", NotRun, 401, "the token is missing or lacks the role"},
	{MalformedChange, "malformed_change", NotRun, 400, "the change is malformed"},
	{NotFound, "not_found", NotRun, 404, "no such resource"},
	{HeaderTooLarge, "header_too_large", NotRun, 431, "the request header is too large"},
	{QueueFull, "queue_full", NotRun, 503, "the queue of the service is full"},
	{DeadlineTooShort, "deadline_too_short", NotRun, 503, "the work cannot finish before the deadline"},
	{ControlQueueFull, "control_queue_full", NotRun, 503, "the instance is overloaded"},
	{NoUpstream, "no_upstream", NotRun, 503, "no upstream of the service is available"},
	{DeadlineInQueue, "deadline_in_queue", NotRun, 503, "the deadline passed before the request was dispatched"},
	{NoConfiguration, "no_configuration", NotRun, 503, "the instance has no configuration yet"},
	{Stopping, "stopping", NotRun, 503, "the instance is stopping"},
	{RefusedByUpstream, "refused_by_upstream", NotRun, 503, "every permitted upstream refused the request before running it"},
	{CanceledByCaller, "canceled_by_caller", NotRun, 503, "the caller went away before the request was dispatched"},
	{ConnectionFailed, "connection_failed", NotRun, 503, "no connection to an upstream could be made"},
	{MemoryFull, "memory_full", NotRun, 503, "the instance holds as many bytes of other requests as its memory permits"},
	{UpstreamLost, "upstream_lost", OutcomeUnknown, 502, "the upstream was lost after dispatch; the request may have run"},
	{KeyInProgress, "key_in_progress", OutcomeUnknown, 502, "an earlier request with this key may have run and has no recorded outcome yet"},
	{AnswerNotKept, "answer_not_kept", OutcomeUnknown, 502, "the request with this key ran; its answer was not kept"},
	{KeyExpired, "key_expired", OutcomeUnknown, 502, "the idempotency key is older than the retention; the request was not run again"},
	{LedgerNoMajority, "ledger_no_majority", OutcomeUnknown, 502, "the ledger of the key has no reachable majority; this attempt was not dispatched, earlier ones are unknown"},
	{DeadlineAfterDispatch, "deadline_after_dispatch", OutcomeUnknown, 504, "the deadline passed after dispatch; the request may have run"},
	{KeyForgotten, "key_forgotten", OutcomeUnknown, 502, "the ledger lost its memory of the time the key was issued; the request was not run again"},
	{CanceledAfterDispatch, "canceled_after_dispatch", OutcomeUnknown, 502, "the caller ended its side of the connection after dispatch; the request may have run"},
	{VersionConflict, "version_conflict", Conflict, 409, "another change replaced the expected version"},
	{NotLeader, "not_leader", NotRun, 503, "this instance does not lead the control group; the change was not accepted"},
	{ChangeUnknown, "change_unknown", OutcomeUnknown, 504, "the change may still be committed; send it again with the same change id"},
	{ChangeIDReused, "change_id_reused", Conflict, 422, "the change id was used for another change"},
	{InvalidChange, "invalid_change", NotRun, 422, "the resulting configuration would be invalid"},
	{MembershipBusy, "membership_busy", NotRun, 409, "another membership change is in progress"},
	{NotCurrent, "not_current", NotRun, 503, "this instance cannot confirm that its answer is current"},
	{ControlUnavailable, "control_unavailable", NotRun, 503, "no member of the control group is reachable"},
	{ChangeOvertaken, "change_overtaken", NotRun, 503, "another change was applied since this one arrived; this one was not applied"},
	{ChangeAgeUnknown, "change_age_unknown", NotRun, 503, "the process did not run for some time and cannot tell how old the change is; it was not applied"},
	{ConfirmationNeeded, "confirmation_needed", NotRun, 307, "the change may be older than others that were applied; it was not applied; send it to the address in Location if it still holds"},
	{Internal, "internal", OutcomeUnknown, 500, "internal error"},
}

var byCode = func() map[Code]*Info {
	m := make(map[Code]*Info, len(Table))
	for i := range Table {
		m[Table[i].Code] = &Table[i]
	}
	return m
}()

// Lookup returns the description of the result code. For a code that is not in
// Table, it returns the description of Internal.
func Lookup(c Code) *Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[Internal]
}

// Class returns the class of the result code.
func (c Code) Class() Class { return Lookup(c).Class }

// String returns the number and the name of the result code.
func (c Code) String() string { return fmt.Sprintf("%d %s", int(c), Lookup(c).Name) }

// Error is an error with a result code and an optional detail.
type Error struct {
	Code   Code
	Detail string
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d: %s", int(e.Code), Lookup(e.Code).Message)
	}
	return fmt.Sprintf("%d: %s: %s", int(e.Code), Lookup(e.Code).Message, e.Detail)
}

// Errorf returns an *Error with the result code and a formatted detail.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

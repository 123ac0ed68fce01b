package eventlog

// Kind names what a line is about.
type Kind string

// The kinds of lines.
const (
	KindStart       Kind = "start"
	KindStop        Kind = "stop"
	KindReload      Kind = "reload"
	KindLost        Kind = "dependency_lost"
	KindRegained    Kind = "dependency_regained"
	KindManifest    Kind = "manifest"
	KindLeftOut     Kind = "lines_left_out"
	KindAdmitted    Kind = "admitted"
	KindRefused     Kind = "refused"
	KindJoined      Kind = "joined"
	KindRepeated    Kind = "repeated"
	KindTaskFreed   Kind = "task_freed"
	KindAnswered    Kind = "answered"
	KindFailed      Kind = "job_failed"
	KindMalformed   Kind = "malformed"
	KindOrderFailed Kind = "order_unanswered"
	KindTaken       Kind = "order_taken"
	KindOrderRefuse Kind = "order_refused"
	KindRunEnd      Kind = "run_ended"
	KindRunBadEnd   Kind = "run_ended_badly"
	KindStopOrder   Kind = "run_stopped"
	KindMinion      Kind = "minion"
	KindSuspect     Kind = "minion_suspect"
	KindTrusted     Kind = "minion_trusted"
	KindEntryLost   Kind = "entry_silent"
	KindSession     Kind = "session"
	KindRoom        Kind = "room"
	KindFence       Kind = "fence_raised"
)

// The fields of lines.
const (
	FieldProcess  = "process"
	FieldKind     = "event"
	FieldJob      = "job"
	FieldTask     = "task"
	FieldRun      = "run"
	FieldOutcome  = "outcome"
	FieldReason   = "reason"
	FieldPeer     = "peer"
	FieldWait     = "expected_wait"
	FieldAge      = "state_age"
	FieldTargets  = "targets"
	FieldCount    = "count"
	FieldVersion  = "version"
	FieldManifest = "manifest"
	FieldZones    = "evacuated"
	FieldTook     = "took"
	FieldEstimate = "estimate"
	FieldFence    = "fence"
	FieldPace     = "pace"
	FieldFree     = "free_millicpu"
	FieldMinion   = "minion"
	FieldName     = "dependency"
	FieldError    = "error"
	FieldOpen     = "open"
)

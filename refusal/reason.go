package refusal

import "net/http"

// Reason says why a request was refused or failed. Metrics count each reason.
type Reason string

// The reasons. The table below gives the outcome and HTTP status of each.
const (
	BadRequest           Reason = "bad_request"
	TooLarge             Reason = "too_large"
	BodyTimeout          Reason = "body_timeout"
	NoKey                Reason = "no_key"
	WrongKey             Reason = "wrong_key"
	NotAllowed           Reason = "not_allowed"
	UnknownModel         Reason = "unknown_model"
	UnknownService       Reason = "unknown_service"
	UnknownRequest       Reason = "unknown_request"
	UnknownResource      Reason = "unknown_resource"
	Conflict             Reason = "conflict"
	KeyReused            Reason = "key_reused"
	Draining             Reason = "draining"
	NotReady             Reason = "not_ready"
	BoxFull              Reason = "box_full"
	QuotaRequests        Reason = "quota_requests"
	QuotaTokens          Reason = "quota_tokens"
	QueueFull            Reason = "queue_full"
	WaitTooLong          Reason = "wait_too_long"
	OverShare            Reason = "over_share"
	Deadline             Reason = "deadline"
	NoUpstream           Reason = "no_upstream"
	UpstreamCold         Reason = "upstream_cold"
	UpstreamLimited      Reason = "upstream_limited"
	UpstreamResting      Reason = "upstream_resting"
	UpstreamLost         Reason = "upstream_lost"
	GenerationLost       Reason = "generation_lost"
	GenerationCancel     Reason = "generation_cancelled"
	StreamReleaseGone    Reason = "stream_release_gone"
	StreamReleaseUnknown Reason = "stream_release_unknown"
	StoreDown            Reason = "store_down"
	StoreUnsettled       Reason = "store_unsettled"
	InProgress           Reason = "in_progress"
	DispatcherGone       Reason = "dispatcher_gone"
	AnswerNotKept        Reason = "answer_not_kept"
	UnknownOutcome       Reason = "unknown_outcome"
	HomeUnreachable      Reason = "home_unreachable"
	StaleConfiguration   Reason = "stale_configuration"
	UnknownRoute         Reason = "unknown_route"
	UpstreamFull         Reason = "upstream_full"
	Quarantined          Reason = "quarantined"
	NoAnswer             Reason = "no_answer"
	TimedOut             Reason = "timed_out"
	CallerGone           Reason = "caller_gone"
	InternalUnexpected   Reason = "internal"
)

// Outcome says whether a request has run.
type Outcome string

// The outcomes. NotRun means certainly not run; Unknown means it may have run.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Failed  Outcome = "failed"
	Unknown Outcome = "unknown"
)

type reasonDefaults struct {
	outcome Outcome
	status  int
}

var defaults = map[Reason]reasonDefaults{
	BadRequest:           {NotRun, http.StatusBadRequest},
	TooLarge:             {NotRun, http.StatusRequestEntityTooLarge},
	BodyTimeout:          {NotRun, http.StatusRequestTimeout},
	NoKey:                {NotRun, http.StatusUnauthorized},
	WrongKey:             {NotRun, http.StatusUnauthorized},
	NotAllowed:           {NotRun, http.StatusForbidden},
	UnknownModel:         {NotRun, http.StatusNotFound},
	UnknownService:       {NotRun, http.StatusNotFound},
	UnknownRequest:       {NotRun, http.StatusNotFound},
	UnknownResource:      {NotRun, http.StatusNotFound},
	Conflict:             {NotRun, http.StatusConflict},
	KeyReused:            {NotRun, http.StatusUnprocessableEntity},
	Draining:             {NotRun, http.StatusServiceUnavailable},
	NotReady:             {NotRun, http.StatusServiceUnavailable},
	BoxFull:              {NotRun, http.StatusServiceUnavailable},
	QuotaRequests:        {NotRun, http.StatusTooManyRequests},
	QuotaTokens:          {NotRun, http.StatusTooManyRequests},
	QueueFull:            {NotRun, http.StatusServiceUnavailable},
	WaitTooLong:          {NotRun, http.StatusServiceUnavailable},
	OverShare:            {NotRun, http.StatusServiceUnavailable},
	Deadline:             {NotRun, http.StatusServiceUnavailable},
	NoUpstream:           {NotRun, http.StatusServiceUnavailable},
	UpstreamCold:         {NotRun, http.StatusServiceUnavailable},
	UpstreamLimited:      {NotRun, http.StatusServiceUnavailable},
	UpstreamResting:      {NotRun, http.StatusServiceUnavailable},
	UpstreamLost:         {Failed, http.StatusBadGateway},
	GenerationLost:       {Failed, http.StatusGone},
	GenerationCancel:     {Failed, http.StatusGone},
	StreamReleaseGone:    {NotRun, http.StatusServiceUnavailable},
	StreamReleaseUnknown: {NotRun, http.StatusServiceUnavailable},
	StoreDown:            {NotRun, http.StatusServiceUnavailable},
	StoreUnsettled:       {NotRun, http.StatusServiceUnavailable},
	InProgress:           {Unknown, http.StatusConflict},
	DispatcherGone:       {Unknown, http.StatusBadGateway},
	AnswerNotKept:        {Unknown, http.StatusBadGateway},
	UnknownOutcome:       {Unknown, http.StatusBadGateway},
	HomeUnreachable:      {NotRun, http.StatusServiceUnavailable},
	StaleConfiguration:   {NotRun, http.StatusServiceUnavailable},
	UnknownRoute:         {NotRun, http.StatusNotFound},
	UpstreamFull:         {NotRun, http.StatusServiceUnavailable},
	Quarantined:          {NotRun, http.StatusServiceUnavailable},
	NoAnswer:             {Unknown, http.StatusBadGateway},
	TimedOut:             {Unknown, http.StatusGatewayTimeout},
	CallerGone:           {Unknown, http.StatusBadGateway},
	InternalUnexpected:   {Failed, http.StatusInternalServerError},
}

// Reasons returns all reasons, in no particular order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(defaults))
	for r := range defaults {
		all = append(all, r)
	}
	return all
}

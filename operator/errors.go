package operator

import (
	"errors"
	"time"

	"github.com/figring/figring/common/problem"
	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/rollout"
)

// Values of the Retry-After header.
const (
	storeRetryAfter = 2 * time.Second
	busyRetryAfter  = 1 * time.Second
)

// problemDetails converts an error of the rollout or bundle package into a
// problem. The outcome not_run says that the change is known not to have been
// made.
func problemDetails(err error) problem.Details {
	details := problem.From(toRefusal(err))
	var conflict *bundle.ConflictError
	if errors.As(err, &conflict) {
		details.CurrentVersion = &conflict.Current
	}
	return details
}

func toRefusal(err error) *model.Refusal {
	var refusal *model.Refusal
	var invalid *bundle.InvalidError
	var conflict *bundle.ConflictError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, rollout.ErrOutcomeUnknown):
		return &model.Refusal{Code: model.CodeStoreUnavailable, Outcome: model.Unknown, Detail: err.Error(), RetryAfter: storeRetryAfter}
	case errors.As(err, &invalid):
		return model.NewRefusal(model.CodeInvalid, 0, "%v", err)
	case errors.As(err, &conflict), errors.Is(err, bundle.ErrWrongState):
		return model.NewRefusal(model.CodeVersionConflict, 0, "%v", err)
	case errors.Is(err, bundle.ErrSameOperator), errors.Is(err, rollout.ErrSignOffNeeded):
		return model.NewRefusal(model.CodeForbidden, 0, "%v", err)
	case errors.Is(err, rollout.ErrNotFound):
		return model.NewRefusal(model.CodeNotFound, 0, "%v", err)
	case errors.Is(err, rollout.ErrUnavailable):
		return model.NewRefusal(model.CodeStoreUnavailable, storeRetryAfter, "%v", err)
	case errors.Is(err, rollout.ErrTooManyConflicts):
		return model.NewRefusal(model.CodeOverloaded, busyRetryAfter, "%v", err)
	default:
		return model.NewRefusal(model.CodeInternal, 0, "%v", err)
	}
}

func invalidRequest(format string, args ...any) error {
	return model.NewRefusal(model.CodeInvalid, 0, format, args...)
}

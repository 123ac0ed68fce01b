package problem

import (
	"net/http"

	"github.com/figring/figring/model"
)

// statuses maps each code to its HTTP status. The mapping is part of the HTTP
// interfaces for callers and operators.
var statuses = map[model.Code]int{
	model.CodeInvalid:          http.StatusBadRequest,
	model.CodeUnauthenticated:  http.StatusUnauthorized,
	model.CodeForbidden:        http.StatusForbidden,
	model.CodeNotFound:         http.StatusNotFound,
	model.CodeKeyConflict:      http.StatusConflict,
	model.CodeKeyExpired:       http.StatusGone,
	model.CodeInProgress:       http.StatusConflict,
	model.CodeOverloaded:       http.StatusServiceUnavailable,
	model.CodeQuota:            http.StatusTooManyRequests,
	model.CodeNoCapacity:       http.StatusServiceUnavailable,
	model.CodeUnrunnable:       http.StatusUnprocessableEntity,
	model.CodeDeadline:         http.StatusGatewayTimeout,
	model.CodeCancelled:        http.StatusConflict,
	model.CodeTaskFailed:       http.StatusBadGateway,
	model.CodeTaskUnknown:      http.StatusBadGateway,
	model.CodeStoreUnavailable: http.StatusServiceUnavailable,
	model.CodeDraining:         http.StatusServiceUnavailable,
	model.CodeOwnerMoved:       http.StatusServiceUnavailable,
	model.CodeOwnerUnreachable: http.StatusServiceUnavailable,
	model.CodeVersionConflict:  http.StatusConflict,
	model.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	model.CodeAnswerGone:       http.StatusGone,
	model.CodeInternal:         http.StatusInternalServerError,
}

// Status returns the HTTP status of a code. An unknown code is an internal error.
func Status(code model.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

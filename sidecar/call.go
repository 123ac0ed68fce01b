package sidecar

import (
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// call is an open Run or Attach call. request is nil for Attach.
type call struct {
	entry   model.Incarnation
	request *wire.RunRequest
	replyTo chan wire.RunReply
}

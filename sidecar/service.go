package sidecar

import "github.com/figring/figring/wire"

// service is the receiver of the net/rpc calls. An error from it means that
// the outcome is unknown to the entry, so it returns one only at the end of
// the process.
type service struct{ mailbox *mailbox }

// Run holds the call open until the task has ended or is handed back.
func (s *service) Run(request *wire.RunRequest, reply *wire.RunReply) error {
	replyTo := make(chan wire.RunReply, 1)
	result, err := ask(s.mailbox, runMessage{request: request, replyTo: replyTo}, replyTo)
	*reply = result
	return err
}

// Attach waits for the end of a task and starts nothing.
func (s *service) Attach(request *wire.AttachRequest, reply *wire.RunReply) error {
	replyTo := make(chan wire.RunReply, 1)
	result, err := ask(s.mailbox, attachMessage{request: request, replyTo: replyTo}, replyTo)
	*reply = result
	return err
}

// Lookup lists the records of jobs.
func (s *service) Lookup(request *wire.LookupRequest, reply *wire.LookupReply) error {
	replyTo := make(chan wire.LookupReply, 1)
	result, err := ask(s.mailbox, lookupMessage{request: request, replyTo: replyTo}, replyTo)
	*reply = result
	return err
}

// Withdraw hands back what is queued of a job.
func (s *service) Withdraw(request *wire.WithdrawRequest, reply *wire.WithdrawReply) error {
	replyTo := make(chan wire.WithdrawReply, 1)
	result, err := ask(s.mailbox, withdrawMessage{request: request, replyTo: replyTo}, replyTo)
	*reply = result
	return err
}

// Revoke ends the permit of an entry.
func (s *service) Revoke(request *wire.RevokeRequest, reply *wire.RevokeReply) error {
	replyTo := make(chan wire.RevokeReply, 1)
	result, err := ask(s.mailbox, revokeMessage{request: request, replyTo: replyTo}, replyTo)
	*reply = result
	return err
}

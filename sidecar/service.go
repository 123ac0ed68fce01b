package sidecar

import "github.com/figring/figring/wire"

// service implements the net/rpc methods. To the entry an error means that the
// outcome is unknown, so a method returns one only when the sidecar stops.
type service struct{ mailbox *mailbox }

// Run dispatches a task and returns when the task has ended or is handed back.
func (s *service) Run(request *wire.RunRequest, reply *wire.RunReply) error {
	replyTo := make(chan wire.RunReply, 1)
	result, err := ask(s.mailbox, runMessage{request: request, replyTo: replyTo}, replyTo)
	*reply = result
	return err
}

// Attach waits for the end of a task without starting it.
func (s *service) Attach(request *wire.AttachRequest, reply *wire.RunReply) error {
	replyTo := make(chan wire.RunReply, 1)
	result, err := ask(s.mailbox, attachMessage{request: request, replyTo: replyTo}, replyTo)
	*reply = result
	return err
}

// Lookup returns the records of the tasks of jobs.
func (s *service) Lookup(request *wire.LookupRequest, reply *wire.LookupReply) error {
	replyTo := make(chan wire.LookupReply, 1)
	result, err := ask(s.mailbox, lookupMessage{request: request, replyTo: replyTo}, replyTo)
	*reply = result
	return err
}

// Withdraw hands back queued tasks of a job and, if requested, asks the minion to
// stop the running ones.
func (s *service) Withdraw(request *wire.WithdrawRequest, reply *wire.WithdrawReply) error {
	replyTo := make(chan wire.WithdrawReply, 1)
	result, err := ask(s.mailbox, withdrawMessage{request: request, replyTo: replyTo}, replyTo)
	*reply = result
	return err
}

// Revoke ends the permit of an entry and hands back its queued tasks.
func (s *service) Revoke(request *wire.RevokeRequest, reply *wire.RevokeReply) error {
	replyTo := make(chan wire.RevokeReply, 1)
	result, err := ask(s.mailbox, revokeMessage{request: request, replyTo: replyTo}, replyTo)
	*reply = result
	return err
}

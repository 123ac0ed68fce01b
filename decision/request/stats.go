package request

// Stats counts the retries, hedges and unusual events of a request.
type Stats struct {
	// Retries counts dispatches made after another one failed or ended with an
	// unknown outcome.
	Retries int
	// Hedges counts second dispatches allowed while another one was open.
	Hedges int
	// Refused counts the retries and hedges that the budget did not allow.
	Refused int
	// Wasted counts the other dispatches that were open when the request
	// completed.
	Wasted int
	// Ignored counts events that did not apply in the current state.
	// Mismatched counts results whose body did not match its digest or that
	// belonged to another task.
	Ignored    int
	Mismatched int
}

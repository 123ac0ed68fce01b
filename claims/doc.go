// Package claims records durably which job keys are taken. Claims of many jobs
// share one write, and a claim counts only once its write is known to have
// taken effect while the claimer's fence row was still there.
package claims

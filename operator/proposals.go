package operator

import (
	"net/http"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
)

func (a *api) propose(r *http.Request) (response, error) {
	raw, err := readBody(r)
	if err != nil {
		return response{}, err
	}
	next, err := decodeBundle(raw)
	if err != nil {
		return response{}, err
	}
	operator := operatorOf(r)
	proposal, err := a.options.Editor.Propose(r.Context(), operator, next.Version, next)
	return createdProposal(proposal), err
}

// setCaller proposes a change to one caller's quota, weight or token.
func (a *api) setCaller(r *http.Request) (response, error) {
	raw, err := readBody(r)
	if err != nil {
		return response{}, err
	}
	name := r.PathValue("name")
	caller := model.Caller{Name: name}
	if err := decodeStrict(raw, &caller); err != nil {
		return response{}, err
	}
	if caller.Name != name {
		return response{}, invalidRequest("name: %q is not the name in the path", caller.Name)
	}
	operator := operatorOf(r)
	proposal, err := a.options.Editor.ProposeEdit(r.Context(), operator, bundle.SetCaller{Caller: caller})
	return createdProposal(proposal), err
}

func createdProposal(proposal bundle.Proposal) response {
	return response{status: http.StatusCreated, location: "/v1/bundles/" + proposal.ID, body: proposal}
}

func (a *api) signOff(r *http.Request) (response, error) {
	if err := a.requireEmptyBody(r); err != nil {
		return response{}, err
	}
	operator := operatorOf(r)
	proposal, err := a.options.Editor.SignOff(r.Context(), operator, r.PathValue("id"))
	return ok(proposal), err
}

func (a *api) reject(r *http.Request) (response, error) {
	if err := a.requireEmptyBody(r); err != nil {
		return response{}, err
	}
	operator := operatorOf(r)
	proposal, err := a.options.Editor.Reject(r.Context(), operator, r.PathValue("id"))
	return ok(proposal), err
}

func (a *api) rollOut(r *http.Request) (response, error) {
	if err := a.requireEmptyBody(r); err != nil {
		return response{}, err
	}
	operator := operatorOf(r)
	accepted, err := a.options.Editor.RollOut(r.Context(), operator, r.PathValue("id"))
	return ok(accepted), err
}

// requireEmptyBody returns an error for a request with a body, because the
// operator would expect it to have an effect. An empty object is accepted.
func (a *api) requireEmptyBody(r *http.Request) error {
	raw, err := readBody(r)
	if err != nil || len(raw) == 0 {
		return err
	}
	return decodeStrict(raw, &struct{}{})
}

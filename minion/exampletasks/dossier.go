package exampletasks

import "slices"

// requiredDocuments are the documents of a complete dossier.
var requiredDocuments = []string{"cv", "publications", "laudation", "references"}

// dossier asks whether a candidate's documents are complete.
type dossier struct {
	Candidate string   `json:"candidate"`
	Documents []string `json:"documents"`
}

type dossierResult struct {
	Candidate string   `json:"candidate"`
	Complete  bool     `json:"complete"`
	Missing   []string `json:"missing,omitempty"`
}

func (d dossier) valid() bool { return d.Candidate != "" }

func (d dossier) result() any {
	var missing []string
	for _, document := range requiredDocuments {
		if !slices.Contains(d.Documents, document) {
			missing = append(missing, document)
		}
	}
	return dossierResult{Candidate: d.Candidate, Complete: len(missing) == 0, Missing: missing}
}

package exampletasks

import "slices"

// wantedDocuments are the documents of a whole dossier.
var wantedDocuments = []string{"cv", "publications", "laudation", "references"}

// dossier asks for a candidate's documents to be compiled.
type dossier struct {
	Candidate string   `json:"candidate"`
	Documents []string `json:"documents"`
}

type dossierResult struct {
	Candidate string   `json:"candidate"`
	Complete  bool     `json:"complete"`
	Missing   []string `json:"missing,omitempty"`
}

func (d dossier) known() bool { return d.Candidate != "" }

func (d dossier) result() any {
	var missing []string
	for _, document := range wantedDocuments {
		if !slices.Contains(d.Documents, document) {
			missing = append(missing, document)
		}
	}
	return dossierResult{Candidate: d.Candidate, Complete: len(missing) == 0, Missing: missing}
}

package exampletasks_test

import (
	"testing"

	"github.com/figring/figring/minion/exampletasks"
	"github.com/shoenig/test/must"
)

func TestAnswer(t *testing.T) {
	cases := []struct{ class, payload, want string }{
		{"eligibility", `{"candidate":"C-1","earlierNominations":2}`, `{"candidate":"C-1","eligible":true}`},
		{"eligibility", `{"candidate":"C-1","earlierNominations":3}`, `{"candidate":"C-1","eligible":false,"reason":"was nominated too often"}`},
		{"eligibility", `{"candidate":"C-1","holdsSameDegree":true}`, `{"candidate":"C-1","eligible":false,"reason":"holds the same degree"}`},
		{"eligibility", `{"candidate":"C-1","memberOfTheUniversity":true}`, `{"candidate":"C-1","eligible":false,"reason":"is a member of the university"}`},
		{"dossier", `{"candidate":"C-1","documents":["cv","publications","laudation","references"]}`, `{"candidate":"C-1","complete":true}`},
		{"dossier", `{"candidate":"C-1","documents":["cv","laudation"]}`, `{"candidate":"C-1","complete":false,"missing":["publications","references"]}`},
		{"conflict", `{"candidate":"C-1","reviewer":"R-1","candidateBodies":["B-1"],"reviewerBodies":["B-2"]}`, `{"candidate":"C-1","reviewer":"R-1","conflict":false}`},
		{"conflict", `{"candidate":"C-1","reviewer":"R-1","candidateBodies":["B-1","B-2"],"reviewerBodies":["B-2"]}`, `{"candidate":"C-1","reviewer":"R-1","conflict":true,"shared":["B-2"]}`},
		{"renewal", `{"subscription":"S-1","nextIssue":88,"paidUntilIssue":90}`, `{"subscription":"S-1","renewed":true,"issuesLeft":3}`},
		{"renewal", `{"subscription":"S-1","nextIssue":88,"paidUntilIssue":87}`, `{"subscription":"S-1","renewed":false,"issuesLeft":0}`},
		{"gift", `{"subscription":"S-1","firstIssue":88,"issues":12}`, `{"subscription":"S-1","enrolled":true,"lastIssue":99}`},
		{"gift", `{"subscription":"S-1","firstIssue":88}`, `{"subscription":"S-1","enrolled":false}`},
		{"address", `{"subscription":"S-1","town":"Arima","postcode":"300111"}`, `{"subscription":"S-1","confirmed":true}`},
		{"address", `{"subscription":"S-1","town":"Arima","postcode":"30011"}`, `{"subscription":"S-1","confirmed":false}`},
	}
	for _, tc := range cases {
		t.Run(tc.class, func(t *testing.T) {
			body, ok := exampletasks.Answer(tc.class, []byte(tc.payload))
			must.True(t, ok)
			must.EqOp(t, tc.want, string(body))
		})
	}
}

func TestAnswerRejectsUnknownClassesAndPayloads(t *testing.T) {
	cases := []struct{ class, payload string }{
		{"other", `{"candidate":"C-1"}`},
		{"eligibility", `{"runMs":5}`},
		{"conflict", `{"candidate":"C-1"}`},
		{"renewal", `[1]`},
		{"gift", `{"subscription":7}`},
		{"address", ``},
	}
	for _, tc := range cases {
		_, ok := exampletasks.Answer(tc.class, []byte(tc.payload))
		must.False(t, ok, must.Sprint(tc))
	}
}

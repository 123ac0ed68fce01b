package command

import (
	"encoding/base64"
	"fmt"
	"io"

	"github.com/figring/figring/api"
)

// maxBodyShown bounds the part of a result's body in a table, in bytes.
const maxBodyShown = 100

// answerTable returns a writer of an answer as a table.
func answerTable(answer *api.JobResponse) func(io.Writer) {
	return func(out io.Writer) {
		row(out, fmt.Sprintf("job %s: %s, outcome %s, %d results", answer.Key, answer.State, answer.Outcome, len(answer.Results)))
		if answer.Code != "" {
			row(out, fmt.Sprintf("%s: %s", answer.Code, answer.Detail))
		}
		if len(answer.Results) == 0 {
			return
		}
		row(out, "TASK", "STATUS", "RUN", "WORKER", "ANSWER")
		for _, result := range answer.Results {
			row(out, result.Index, result.Status, fmt.Sprintf("%.0f ms", result.RunMs), result.Worker, bodyText(result))
		}
	}
}

func bodyText(result api.TaskResponse) string {
	text := string(result.Body)
	if len(result.Body) == 0 {
		text = "base64:" + base64.StdEncoding.EncodeToString(result.BodyBase64)
	}
	if len(text) > maxBodyShown {
		return text[:maxBodyShown] + "..."
	}
	return text
}

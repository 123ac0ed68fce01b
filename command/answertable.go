package command

import (
	"encoding/base64"
	"fmt"
	"io"

	"github.com/figring/figring/api"
)

// maxDisplayedBody is the length in bytes to which a result body is truncated in
// a table.
const maxDisplayedBody = 100

// answerTable returns a function that writes the answer to a job as a table.
func answerTable(answer *api.JobResponse) func(io.Writer) {
	return func(out io.Writer) {
		writeRow(out, fmt.Sprintf("job %s: %s, outcome %s, %d results", answer.Key, answer.State, answer.Outcome, len(answer.Results)))
		if answer.Code != "" {
			writeRow(out, fmt.Sprintf("%s: %s", answer.Code, answer.Detail))
		}
		if len(answer.Results) == 0 {
			return
		}
		writeRow(out, "TASK", "STATUS", "RUN", "WORKER", "ANSWER")
		for _, result := range answer.Results {
			writeRow(out, result.Index, result.Status, fmt.Sprintf("%.0f ms", result.RunMs), result.Worker, formatBody(result))
		}
	}
}

// formatBody returns the body of a result as text, truncated to
// maxDisplayedBody. A body that is not JSON is shown in base64.
func formatBody(result api.TaskResponse) string {
	text := string(result.Body)
	if len(result.Body) == 0 {
		text = "base64:" + base64.StdEncoding.EncodeToString(result.BodyBase64)
	}
	if len(text) > maxDisplayedBody {
		return text[:maxDisplayedBody] + "..."
	}
	return text
}

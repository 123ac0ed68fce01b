package admission

import (
	"time"

	"github.com/figring/figring/model"
)

// longestDeclared returns the longest declared run time, or zero if no task
// declares one.
func longestDeclared(tasks []model.TaskSpec) time.Duration {
	longest := time.Duration(0)
	for i := range tasks {
		longest = max(longest, tasks[i].DeclaredRun)
	}
	return longest
}

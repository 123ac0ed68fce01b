package admission

import (
	"time"

	"github.com/figring/figring/model"
)

// longestDeclared returns the longest declared run time; zero without any.
func longestDeclared(tasks []model.TaskSpec) time.Duration {
	longest := time.Duration(0)
	for i := range tasks {
		longest = max(longest, tasks[i].DeclaredRun)
	}
	return longest
}

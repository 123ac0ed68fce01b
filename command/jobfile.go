package command

import (
	"fmt"
	"os"

	"github.com/figring/figring/api"
	"github.com/figring/figring/common/strictjson"
	"github.com/figring/figring/model"
)

// loadJob reads a job from a file. Its key is the given one if it is not empty,
// else the key in the file, else a new one.
func loadJob(path, key string) (*api.JobRequest, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, usageError(err)
	}
	defer func() { _ = file.Close() }()
	var job api.JobRequest
	if err := strictjson.Decode(file, api.MaxBodyBytes, &job); err != nil {
		return nil, usageError(fmt.Errorf("%s: %w", path, err))
	}
	job.Key = firstNonEmpty(key, job.Key, model.NewJobKey("").ID.String())
	return &job, nil
}

// firstNonEmpty returns the first of values that is not empty, or "".
func firstNonEmpty(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}

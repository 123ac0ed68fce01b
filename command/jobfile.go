package command

import (
	"fmt"
	"os"

	"github.com/figring/figring/api"
	"github.com/figring/figring/common/strictjson"
	"github.com/figring/figring/model"
)

// loadJob reads a job from a file. Its key is the given one, or that of the
// file, or else a fresh one.
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
	job.Key = firstOf(key, job.Key, model.NewJobKey("").ID.String())
	return &job, nil
}

// firstOf returns the first text that isn't empty.
func firstOf(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

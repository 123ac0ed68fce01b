// Package soak runs figring as separate processes, injects faults from outside
// and checks its guarantees from what callers and minions observe. The faults
// are drawn from seeds:
//
//	go test ./soak -run 'TestSoak$' -count 1               # a short seeded run
//	go test ./soak -run TestSoakWithDeadlyTasks -count 1   # with tasks that crash their minions
//	go test ./soak -run TestSoakWithStoredJobs -count 1    # with stored jobs of several steps, and cancels
//	FIGRING_SOAK=1-50 FIGRING_SOAK_TIME=20s go test ./soak -timeout 1h -run 'TestSoak$'
package soak

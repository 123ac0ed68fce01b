// Package soak runs the real programs as separate processes, injects faults
// from outside of them, and checks the promises from what callers and minions
// see. Its tests take seeds:
//
//	go test ./soak -run TestSoak -count 1                          # a short seeded run
//	FIGRING_SOAK=1-50 FIGRING_SOAK_TIME=20s go test ./soak -timeout 1h -run TestSoak
package soak

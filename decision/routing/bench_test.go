package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/figring/figring/wire"
)

// BenchmarkPick measures Pick in fleets of several sizes, without an ejected target
// and with one.
func BenchmarkPick(b *testing.B) {
	for _, ejected := range []bool{false, true} {
		for _, size := range []int{11, 64, 1800} {
			b.Run(fmt.Sprintf("ejected=%v/targets=%d", ejected, size), func(b *testing.B) {
				router := NewShortestExpectedDelay(newSource())
				addTargets(router, size)
				for i := range size {
					measure(router, i, testRunTime+time.Duration(i)*time.Millisecond)
					router.Upsert(testTarget(i), wire.Load{Running: 3, Sequence: 1}, testStart)
				}
				if ejected {
					failed := succeeded(time.Millisecond)
					failed.TaskStatus = 500
					for range 20 {
						router.Finished(testTarget(0).Incarnation, failed, testStart)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					router.Pick(testRequest, testStart)
				}
			})
		}
	}
}

// BenchmarkTask measures the three calls made for each task.
func BenchmarkTask(b *testing.B) {
	router := NewShortestExpectedDelay(newSource())
	addTargets(router, 11)
	result := succeeded(testRunTime)
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := router.Pick(testRequest, testStart)
		router.Dispatched(choice.Incarnation, testStart)
		router.Finished(choice.Incarnation, result, testStart)
	}
}

// BenchmarkSaturated measures the two calls of a dispatch round that finds every
// target full: a Pick that returns no target, and Capacity.
func BenchmarkSaturated(b *testing.B) {
	for _, size := range []int{11, 1800} {
		router := NewShortestExpectedDelay(newSource())
		addTargets(router, size)
		for i := range size {
			dispatch(router, i, 2*testSlots, testStart)
		}
		b.Run(fmt.Sprintf("pick/targets=%d", size), func(b *testing.B) {
			for b.Loop() {
				router.Pick(testRequest, testStart)
			}
		})
		b.Run(fmt.Sprintf("capacity/targets=%d", size), func(b *testing.B) {
			for b.Loop() {
				router.Capacity(testStart)
			}
		})
	}
}

package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/figring/figring/wire"
)

// BenchmarkPick measures Pick alone over fleets of several sizes, with one
// target ejected in the second group.
func BenchmarkPick(b *testing.B) {
	for _, ejected := range []bool{false, true} {
		for _, size := range []int{11, 64, 1800} {
			b.Run(fmt.Sprintf("ejected=%v/targets=%d", ejected, size), func(b *testing.B) {
				router := NewShortestExpectedDelay(source())
				fill(router, size)
				for i := range size {
					teach(router, i, testRun+time.Duration(i)*time.Millisecond)
					router.Upsert(testTarget(i), wire.Load{Running: 3, Sequence: 1}, testStart)
				}
				if ejected {
					failed := done(time.Millisecond)
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

// BenchmarkTask measures all three calls that a task costs.
func BenchmarkTask(b *testing.B) {
	router := NewShortestExpectedDelay(source())
	fill(router, 11)
	report := done(testRun)
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := router.Pick(testRequest, testStart)
		router.Dispatched(choice.Incarnation, testStart)
		router.Finished(choice.Incarnation, report, testStart)
	}
}

// BenchmarkSaturated measures what a round of dispatching costs that finds
// every target full: a Pick in vain and the look at the room.
func BenchmarkSaturated(b *testing.B) {
	for _, size := range []int{11, 1800} {
		router := NewShortestExpectedDelay(source())
		fill(router, size)
		for i := range size {
			send(router, i, 2*testSlots, testStart)
		}
		b.Run(fmt.Sprintf("pick/targets=%d", size), func(b *testing.B) {
			for b.Loop() {
				router.Pick(testRequest, testStart)
			}
		})
		b.Run(fmt.Sprintf("room/targets=%d", size), func(b *testing.B) {
			for b.Loop() {
				router.Capacity(testStart)
			}
		})
	}
}

package ideal

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/loadgen/trace"
)

const ms = time.Millisecond

func job(at time.Duration, runs ...time.Duration) trace.Job {
	one := trace.Job{At: at}
	for _, run := range runs {
		one.Tasks = append(one.Tasks, trace.Task{Run: run})
	}
	return one
}

func cancelled(one trace.Job, after time.Duration) trace.Job {
	one.CancelAfter = after
	return one
}

func TestSchedule(t *testing.T) {
	one := []Worker{{Slots: 1, Speed: 1}}
	two := []Worker{{Slots: 2, Speed: 1}}
	mixed := []Worker{{Slots: 1, Speed: 1}, {Slots: 1, Speed: 2}}
	leaving := []Worker{{Slots: 1, Speed: 1, OutFrom: 5 * ms, OutUntil: 20 * ms}}
	cases := []struct {
		name    string
		workers []Worker
		jobs    []trace.Job
		want    []time.Duration
	}{
		{"single job", one, []trace.Job{job(5*ms, 10*ms)}, []time.Duration{15 * ms}},
		{"queues behind a running task", one, []trace.Job{job(0, 10*ms), job(4*ms, 10*ms)}, []time.Duration{10 * ms, 20 * ms}},
		{"idle gap between jobs", one, []trace.Job{job(0, 10*ms), job(30*ms, 10*ms)}, []time.Duration{10 * ms, 40 * ms}},
		{"longest first", two, []trace.Job{job(0, 2*ms, 3*ms, 5*ms)}, []time.Duration{5 * ms}},
		{"fastest first", mixed, []trace.Job{job(0, 10*ms)}, []time.Duration{5 * ms}},
		{"waits for the faster", mixed, []trace.Job{job(0, 10*ms), job(0, 14*ms)}, []time.Duration{5 * ms, 12 * ms}},
		{"takes the slower", mixed, []trace.Job{job(0, 10*ms), job(0, 8*ms)}, []time.Duration{5 * ms, 8 * ms}},
		{"running task continues during an outage", leaving, []trace.Job{job(4*ms, 10*ms), job(6*ms, 1*ms)}, []time.Duration{14 * ms, 21 * ms}},
		{"cancelled while it runs", one, []trace.Job{cancelled(job(0, 10*ms), 4*ms), job(0, 10*ms)}, []time.Duration{4 * ms, 14 * ms}},
		{"cancelled before it runs", one, []trace.Job{job(0, 10*ms), cancelled(job(0, 10*ms), 4*ms), job(0, 1*ms)}, []time.Duration{10 * ms, 4 * ms, 11 * ms}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, Schedule(c.jobs, c.workers))
		})
	}
}

func TestPlace(t *testing.T) {
	workers := []Worker{{Slots: 1, Speed: 1}, {Slots: 1, Speed: 2}}
	must.Eq(t, []Placement{
		{Job: 0, Worker: 1, Start: 0, End: 5 * ms},
		{Job: 0, Worker: 0, Start: 0, End: 8 * ms},
	}, Place([]trace.Job{job(0, 8*ms, 10*ms)}, workers))
}

func TestCapacity(t *testing.T) {
	must.Eq(t, 8*1.5+4*0.5, Capacity([]Worker{{Slots: 8, Speed: 1.5}, {Slots: 4, Speed: 0.5}}))
}

package classload

import "time"

const (
	// rateTime is the time constant of the rates of offered work.
	rateTime = time.Second
	// usualTime is the time constant of the usual demand of a class, and scarceUsualTime
	// that while capacity is scarce, so that a burst does not become usual before it is
	// over.
	usualTime       = 20 * time.Second
	scarceUsualTime = 5 * time.Minute
	// paceTime is the time constant of the ratio of measured to declared run time.
	paceTime = 5 * time.Second
	// maxRatio bounds the run time of one run as a multiple of its declared one.
	maxRatio = 10
	// minPaceWork is the declared work, in thousandths of a core times seconds, that a
	// class counts as having ended at its declared run time before any was measured.
	minPaceWork = 10_000
	// maxReportAge is the age up to which a reported rate or sum is used.
	maxReportAge = time.Second
	// sumWarmup is the time after the first report in which a sidecar's sum may lack
	// entries.
	sumWarmup = 400 * time.Millisecond
	// minFallbackTime is how long a fallback lasts before it is reported: an entry that
	// has just started has no answers yet.
	minFallbackTime = 2 * time.Second
	// minAmpleTime is how long capacity is no longer scarce before that is reported.
	minAmpleTime = 2 * time.Second
	// usableShare is the share of the capacity that is used without long queues.
	usableShare = 0.88
	// scarceShare is the share of the capacity above which the demand makes it scarce.
	// Somewhat below it, waits are longer but all classes are served.
	scarceShare = 0.97
	// backlogShare is the share of the capacity below which free capacity, less what is
	// queued, counts as a backlog.
	backlogShare = 0.15
	// maxCorrection is the largest share of the capacity by which the division falls
	// short of the usable one.
	maxCorrection = 0.5
	// floorShare is the share of the usable capacity that each class keeps if it has
	// the demand.
	floorShare = 0.05
	// bucketTime is the time in which an empty bucket fills.
	bucketTime = 100 * time.Millisecond
	// ampleShare is the share of the capacity from which on free capacity, less what is
	// queued, ends scarcity although the demand exceeds the usable capacity.
	ampleShare = 0.25
	// maxDebtTime is the time in which the largest debt of a bucket is made up for.
	maxDebtTime = 2 * time.Second
	// spareShare is the share of the capacity that has to be free for a job to be
	// admitted without room in its bucket.
	spareShare = 0.2
	// refreshInterval is the least time between two divisions of the capacity.
	refreshInterval = 50 * time.Millisecond
	// maxWaitFactor bounds the wait factor.
	maxWaitFactor = 4.0
	// retryShare is the share of a class's capacity that is promised to jobs that were
	// told to retry.
	retryShare = 0.5
	// maxRetrySeconds is the longest Retry-After.
	maxRetrySeconds = 10
	// retryEarly and retryLate bound how far from its second a promised job may come.
	retryEarly = 100 * time.Millisecond
	retryLate  = 1500 * time.Millisecond
	// maxPromises bounds the promises that are kept.
	maxPromises = 2048
)

package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/rollout"
)

const (
	// changesInARow is the number of changes that two operators make.
	changesInARow = 1000
	// watchInterval is the interval at which an entry's bundle is looked at.
	watchInterval = 20 * time.Millisecond
)

// sighting is a version that an entry acted on at a time.
type sighting struct {
	at      time.Time
	version int64
}

// bundleWatch notes which versions an entry acts on.
type bundleWatch struct {
	name  string
	stop  chan struct{}
	ended chan struct{}
	seen  []sighting
}

func (c *cluster) watchBundle(index int) *bundleWatch {
	w := &bundleWatch{name: entryName(index), stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		for {
			asked := time.Now()
			if status, err := c.status(index); err == nil {
				w.seen = append(w.seen, sighting{asked, status.BundleVersion})
			}
			select {
			case <-w.stop:
				return
			case <-time.After(watchInterval):
			}
		}
	}()
	return w
}

func (w *bundleWatch) end() []sighting {
	close(w.stop)
	<-w.ended
	return w.seen
}

// accepts collects what operators were told.
type accepts struct {
	mu   sync.Mutex
	list []sighting
}

func (a *accepts) add(version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, sighting{time.Now(), version})
}

// check compares what operators were told with what an entry acted on.
func (a *accepts) check(t *testing.T, name string, seen []sighting) {
	t.Helper()
	must.Positive(t, len(seen))
	for i := 1; i < len(seen); i++ {
		if seen[i].version < seen[i-1].version {
			t.Errorf("%s went from version %d back to %d", name, seen[i-1].version, seen[i].version)
		}
	}
	for _, accepted := range a.list {
		for _, one := range seen {
			if one.at.Sub(accepted.at) > changeBound && one.version < accepted.version {
				t.Errorf("%s acted on version %d %v after %d was accepted", name, one.version, one.at.Sub(accepted.at), accepted.version)
				break
			}
		}
	}
}

// operator makes changes at an entry, one after the other.
func (c *cluster) makeChanges(entry int, token, target string, count int, told *accepts) {
	made := 0
	for made < count {
		action := [2]string{"drain", "undrain"}[made%2]
		var accepted rollout.ChangeResult
		status, err := c.operate(c.entryList()[entry], token, http.MethodPost, fmt.Sprintf("/v1/targets/%s/%s", target, action), nil, &accepted)
		if err != nil || status != http.StatusOK {
			time.Sleep(watchInterval)
			continue // Refused, or the outcome is unknown: the same change again.
		}
		told.add(accepted.Version)
		made++
	}
}

// TestThousandBundleChanges lets two operators race at two entries.
func TestThousandBundleChanges(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 3, minions: 0})
	watches := []*bundleWatch{c.watchBundle(0), c.watchBundle(1), c.watchBundle(2)}
	told := c.race(changesInARow / 2)
	c.settleBundle(t, watches, told)
}

// TestBundleChangesWithLostReplies does so while the store loses writes and
// replies, and while replies are late, so that older reads arrive after newer.
func TestBundleChangesWithLostReplies(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, minions: 0})
	watches := []*bundleWatch{c.watchBundle(0), c.watchBundle(1)}
	c.fault(`{"replyLoss":0.2,"writeLoss":0.1}`)
	told := c.race(40)
	c.fault(`{"afterMillis":400}`)
	told.list = append(told.list, c.race(5).list...)
	c.fault(`{}`)
	c.settleBundle(t, watches, told)
}

// race lets anna and bert make that many changes each at the same time.
func (c *cluster) race(count int) *accepts {
	told := &accepts{}
	var wait sync.WaitGroup
	wait.Go(func() { c.makeChanges(0, annaToken, "target-a", count, told) })
	wait.Go(func() { c.makeChanges(1, bertToken, "target-b", count, told) })
	wait.Wait()
	return told
}

// settleBundle waits out the bound and checks every watch.
func (c *cluster) settleBundle(t *testing.T, watches []*bundleWatch, told *accepts) {
	t.Helper()
	time.Sleep(changeBound + 5*watchInterval)
	var highest int64
	for _, one := range told.list {
		highest = max(highest, one.version)
	}
	must.GreaterEq(t, int64(len(told.list))/2, highest)
	for _, watch := range watches {
		seen := watch.end()
		told.check(t, watch.name, seen)
		must.GreaterEq(t, highest, seen[len(seen)-1].version)
	}
	t.Logf("%d changes accepted, highest version %d", len(told.list), highest)
}

// TestEntryRestartedWithStoreDown kills both entries while a zone is closed and
// the store is down, and starts one again: it acts on no bundle, and on the
// newest one once the store is back.
func TestEntryRestartedWithStoreDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 1, minions: 2})
	caller := newCaller(c)
	accepted, at := c.change(0, closeZone(closedZone))
	c.entries[0].kill()
	c.fault(`{"outage":true}`)
	c.restartEntry(0)
	answer, err := caller.submit(t.Context(), c.entryList()[0], caller.newJob(4, 10))
	must.Nil(t, answer)
	must.Error(t, err)
	status, err := c.status(0)
	must.NoError(t, err)
	must.False(t, status.Ready)
	must.SliceEmpty(t, c.starts())

	c.fault(`{}`)
	c.awaitTargets(0, 2)
	status, err = c.status(0)
	must.NoError(t, err)
	must.EqOp(t, accepted.Version, status.BundleVersion)
	done, err := caller.submitUntil(caller.newJob(16, 10), finalLimit, c.onlyEntry(0))
	must.NoError(t, err)
	must.Len(t, 16, done.Results)
	must.SliceEmpty(t, startsSince(c.startsIn(closedZone), at))
	caller.judge()
}

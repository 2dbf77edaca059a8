package owner_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/place"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// memoryLog is a store that keeps all records. It refuses the appends of fenced writers.
type memoryLog struct {
	mu      sync.Mutex
	records map[port.Stream][]port.Record
	epochs  map[string]int64
	// appended is closed and replaced by each append.
	appended chan struct{}
}

func newMemoryLog() *memoryLog {
	return &memoryLog{records: map[port.Stream][]port.Record{}, epochs: map[string]int64{}, appended: make(chan struct{})}
}

func (l *memoryLog) Append(_ context.Context, s port.Stream, records []port.Record, w *port.Writer, _ int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w != nil && w.Epoch < l.epochs[w.Name] {
		return 0, port.ErrFenced
	}
	if w != nil {
		l.epochs[w.Name] = w.Epoch
	}
	for _, r := range records {
		r.Offset = int64(len(l.records[s]))
		l.records[s] = append(l.records[s], r)
	}
	close(l.appended)
	l.appended = make(chan struct{})
	return int64(len(l.records[s])), nil
}

func (l *memoryLog) from(s port.Stream, offset int64) ([]port.Record, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if offset >= int64(len(l.records[s])) {
		return nil, l.appended
	}
	return slices.Clone(l.records[s][offset:]), l.appended
}

func (l *memoryLog) Read(ctx context.Context, s port.Stream, from int64, wait time.Duration) (port.Page, error) {
	end := time.After(wait)
	for {
		records, appended := l.from(s, from)
		if len(records) > 0 {
			return port.Page{Records: records, End: from + int64(len(records))}, nil
		}
		select {
		case <-appended:
		case <-end:
			return port.Page{End: from}, nil
		case <-ctx.Done():
			return port.Page{}, ctx.Err()
		}
	}
}

func (l *memoryLog) Newest(_ context.Context, s port.Stream, _ string) (port.Page, error) {
	records, _ := l.from(s, 0)
	page := port.Page{End: int64(len(records))}
	for i, r := range records {
		if r.Value != nil && !slices.ContainsFunc(records[i+1:], func(later port.Record) bool { return later.Key == r.Key }) {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

// installation runs the owners of several pools over one store. Its methods are the links between them.
type installation struct {
	t     *testing.T
	log   *memoryLog
	place place.Registry
	mu    sync.Mutex
	// owners holds the owners that can be reached.
	owners map[string]*owner.Owner
	// questions and registrations count the calls that moved queues cost.
	questions, registrations atomic.Int64
	// onCancel is called before a cancellation reaches another pool, unless it is nil.
	onCancel func()
}

func newInstallation(t *testing.T) *installation {
	log := newMemoryLog()
	return &installation{t: t, log: log, place: place.Registry{Log: log}, owners: map[string]*owner.Owner{}}
}

func (in *installation) Register(ctx context.Context, places []place.Place) ([]place.Place, error) {
	others, err := in.place.Register(ctx, places)
	in.registrations.Add(1)
	return others, err
}

func (in *installation) find(pool string) *owner.Owner {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.questions.Add(1)
	return in.owners[pool]
}

func (in *installation) JobStatus(ctx context.Context, pool string, q port.Queue, id string) (owner.Answer, bool) {
	if o := in.find(pool); o != nil {
		return o.JobStatus(ctx, id, owner.OfQueue(q)), true
	}
	return owner.Answer{}, false
}

func (in *installation) Cancel(ctx context.Context, pool string, q port.Queue, id, tenant string) (owner.Answer, bool) {
	if in.onCancel != nil {
		in.onCancel()
	}
	if o := in.find(pool); o != nil {
		return o.Cancel(ctx, id, owner.OfQueue(q), owner.OfTenant(tenant)), true
	}
	return owner.Answer{}, false
}

func (in *installation) Pending(ctx context.Context, pool string, q port.Queue) (owner.Answer, bool) {
	if o := in.find(pool); o != nil {
		return o.Pending(ctx, q.Name, owner.OfQueue(q)), true
	}
	return owner.Answer{}, false
}

// start starts an owner of a pool with a configuration. An earlier one is replaced.
func (in *installation) start(pool string, config *port.Config) *owner.Owner {
	in.t.Helper()
	acquired, err := claim.Acquire(in.t.Context(), in.log, pool, "e", 1, 24)
	require.NoError(in.t, err)
	stored, err := owner.ReadState(in.t.Context(), acquired)
	require.NoError(in.t, err)
	require.Empty(in.t, stored.Unreadable)
	o := owner.Start(
		owner.Settings{Partitions: 24, Timing: shard.Timing{Lease: 5 * time.Second, Grace: 6 * time.Second, Retention: time.Minute}},
		owner.Deps{Log: in.log, Machines: noMachines{}, Places: in, OtherPools: in, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))},
		acquired, stored, config, nil)
	in.t.Cleanup(o.Close)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.owners[pool] = o
	return o
}

// cut makes the owner of a pool unreachable for others.
func (in *installation) cut(pool string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.owners, pool)
}

// holds reports whether the owner of a pool itself knows a job.
func (in *installation) holds(o *owner.Owner, id string) bool {
	a := o.JobStatus(in.t.Context(), id, owner.OfQueue(port.Queue{Name: "settle", Pool: "observer"}))
	require.Contains(in.t, []owner.Outcome{owner.Found, owner.Missing}, a.Outcome, a.Reason)
	return a.Outcome == owner.Found
}

// settleIn returns the queue as a configuration sends it to a pool.
func settleIn(pool string, version int64) port.Queue {
	return port.Queue{Name: "settle", Pool: pool, Version: version}
}

func configured(queues ...port.Queue) *port.Config {
	return &port.Config{Version: queues[0].Version, Queues: queues}
}

var movedSpec = batch.Spec{Queue: "settle", Steps: []batch.Step{{Count: 1}}}

// newMoved returns an installation in which a queue has moved from the pool wages, which has accepted the job
// old, to the pool docs.
func newMoved(t *testing.T) (in *installation, wages, docs *owner.Owner) {
	t.Helper()
	in = newInstallation(t)
	wages = in.start("wages", configured(settleIn("wages", 3)))
	require.Equal(t, owner.Accepted, wages.Submit(t.Context(), settleIn("wages", 3), "old", movedSpec).Outcome)
	docs = in.start("docs", configured(settleIn("docs", 14)))
	return in, wages, docs
}

// Guards against a second run of work units (TWICE). A queue was removed and added again with another pool, whose
// owner accepted the caller's repeated request while the job ran in the earlier pool.
func TestAJobOfAMovedQueueIsNotAcceptedByBothPools(t *testing.T) {
	in, wages, docs := newMoved(t)
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "old", movedSpec).Outcome)
	require.False(t, in.holds(docs, "old"))
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome)
	require.True(t, in.holds(docs, "new"))
	require.False(t, in.holds(wages, "new"))
}

// Guards against status 410 for an accepted job whose queue has moved to another pool (LOST).
func TestAJobOfAMovedQueueIsKnown(t *testing.T) {
	_, _, docs := newMoved(t)
	q := owner.OfQueue(settleIn("docs", 14))
	require.Eventually(t, func() bool { return docs.JobStatus(t.Context(), "old", q).Outcome == owner.Found }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, owner.Missing, docs.JobStatus(t.Context(), "none", q).Outcome)
	require.Equal(t, 1, docs.Pending(t.Context(), "settle", q).Pending)
}

// Guards against work that runs on after its cancellation was confirmed (UNASKED): the new pool of its queue took
// the job for one that was not submitted yet.
func TestAJobOfAMovedQueueIsCancelled(t *testing.T) {
	_, wages, docs := newMoved(t)
	q := owner.OfQueue(settleIn("docs", 14))
	require.Eventually(t, func() bool { return docs.Cancel(t.Context(), "old", q).Outcome == owner.Accepted }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, shard.Cancelled, wages.JobStatus(t.Context(), "old").Phase)
	require.Equal(t, owner.Accepted, docs.Cancel(t.Context(), "late", q).Outcome)
	require.Equal(t, shard.Cancelled, docs.Submit(t.Context(), settleIn("docs", 14), "late", movedSpec).Phase)
}

// Guards against a cancelled job that runs (UNASKED): its cancellation came before the queue moved, its submission
// after.
func TestAJobThatWasCancelledInTheEarlierPoolDoesNotRunInTheNewOne(t *testing.T) {
	in := newInstallation(t)
	wages := in.start("wages", configured(settleIn("wages", 3)))
	require.Equal(t, owner.Accepted, wages.Submit(t.Context(), settleIn("wages", 3), "old", movedSpec).Outcome)
	require.Equal(t, owner.Accepted, wages.Cancel(t.Context(), "late", owner.OfQueue(settleIn("wages", 3))).Outcome)
	docs := in.start("docs", configured(settleIn("docs", 14)))
	a := docs.Submit(t.Context(), settleIn("docs", 14), "late", movedSpec)
	require.Equal(t, owner.Accepted, a.Outcome)
	require.Equal(t, shard.Cancelled, a.Phase)
}

// Guards against a second run (TWICE) by an entry that has not seen the newer configuration and hands a job to the
// earlier pool that the new one has accepted, whoever owns the earlier pool then.
func TestTheEarlierPoolTakesNoJobOnceTheNewOneHasAskedIt(t *testing.T) {
	in, wages, docs := newMoved(t)
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome)
	require.Equal(t, owner.Refused, wages.Submit(t.Context(), settleIn("wages", 3), "new", movedSpec).Outcome)
	require.Equal(t, owner.Accepted, wages.Submit(t.Context(), settleIn("wages", 3), "old", movedSpec).Outcome)
	wages.Close()
	wages = in.start("wages", configured(settleIn("wages", 3)))
	require.Equal(t, owner.Refused, wages.Submit(t.Context(), settleIn("wages", 3), "new", movedSpec).Outcome)
	require.True(t, in.holds(wages, "old"))
}

// Guards against a second run (TWICE) by an owner of the earlier pool under an outdated configuration, after another
// one has seen that the queue is still elsewhere.
func TestTheEarlierPoolStaysClosedWhileTheQueueIsElsewhere(t *testing.T) {
	in, wages, docs := newMoved(t)
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome)
	wages.Close()
	wages = in.start("wages", configured(settleIn("docs", 20)))
	require.True(t, in.holds(wages, "old"))
	require.Never(t, func() bool { return in.registrations.Load() > 2 }, 300*time.Millisecond, 10*time.Millisecond, "it would be open again")
	wages.Close()
	wages = in.start("wages", configured(settleIn("wages", 3)))
	require.Equal(t, owner.Refused, wages.Submit(t.Context(), settleIn("wages", 3), "new", movedSpec).Outcome)
}

// Guards against a second run (TWICE) by an earlier pool whose first job of the queue comes after the new pool has
// been registered.
func TestAPoolThatRegistersUnderAnOlderConfigurationTakesNoJob(t *testing.T) {
	in := newInstallation(t)
	docs := in.start("docs", configured(settleIn("docs", 14)))
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome)
	wages := in.start("wages", configured(settleIn("wages", 3)))
	require.Equal(t, owner.Refused, wages.Submit(t.Context(), settleIn("wages", 3), "new", movedSpec).Outcome)
	require.False(t, in.holds(wages, "new"))
}

// Guards against answers that are wrong if the earlier pool holds the job, while its owner cannot be asked.
func TestNothingIsDecidedWhileTheEarlierPoolCannotBeAsked(t *testing.T) {
	in, wages, docs := newMoved(t)
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome)
	in.cut("wages")
	q := owner.OfQueue(settleIn("docs", 14))
	require.Equal(t, owner.Refused, docs.Submit(t.Context(), settleIn("docs", 14), "old", movedSpec).Outcome)
	require.Equal(t, owner.Refused, docs.JobStatus(t.Context(), "old", q).Outcome)
	require.Equal(t, owner.Unknown, docs.Cancel(t.Context(), "old", q).Outcome)
	require.False(t, in.holds(docs, "old"))
	require.Equal(t, owner.Found, docs.JobStatus(t.Context(), "new", q).Outcome)
	require.Equal(t, shard.Open, wages.JobStatus(t.Context(), "old").Phase)
}

// Guards against a second run (TWICE) after a queue has come back to its first pool.
func TestAQueueThatComesBackFindsTheJobsOfBothPools(t *testing.T) {
	in, wages, docs := newMoved(t)
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome)
	back := settleIn("wages", 20)
	require.NoError(t, wages.Configure(t.Context(), configured(back)))
	require.Equal(t, owner.Accepted, wages.Submit(t.Context(), back, "new", movedSpec).Outcome)
	require.False(t, in.holds(wages, "new"))
	require.Equal(t, owner.Found, wages.JobStatus(t.Context(), "new", owner.OfQueue(back)).Outcome)
	require.Equal(t, owner.Accepted, wages.Submit(t.Context(), back, "newest", movedSpec).Outcome)
	require.True(t, in.holds(wages, "newest"))
	require.Equal(t, owner.Refused, docs.Submit(t.Context(), settleIn("docs", 14), "newest", movedSpec).Outcome)
}

// Guards against a second run (TWICE) of a job that was left in the inbox of the new pool.
func TestTheInboxOfTheNewPoolIsCheckedAgainstTheEarlierOne(t *testing.T) {
	in, _, docs := newMoved(t)
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome)
	value, err := codec.EncodeFrame(movedSpec)
	require.NoError(t, err)
	inbox := owner.InboxStream("docs", 24)
	_, err = in.log.Append(t.Context(), inbox, []port.Record{{Key: "docs/old", Value: value}, {Key: "docs/left", Value: value}}, nil, -1)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return in.holds(docs, "left") }, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		page, err := in.log.Newest(t.Context(), inbox, "")
		return err == nil && len(page.Records) == 0
	}, 5*time.Second, 5*time.Millisecond, "the inbox is emptied")
	require.False(t, in.holds(docs, "old"))
}

// failingRegistry is a registry that cannot reach the store.
type failingRegistry struct{}

func (failingRegistry) Register(context.Context, []place.Place) ([]place.Place, error) {
	return nil, errors.New("the store is away")
}

// Guards against a job that is accepted before the pool is known to hold jobs of the queue.
func TestAPoolThatIsNotRegisteredTakesNoJob(t *testing.T) {
	in := newInstallation(t)
	acquired, err := claim.Acquire(t.Context(), in.log, "docs", "e", 1, 24)
	require.NoError(t, err)
	o := owner.Start(
		owner.Settings{Partitions: 24, Timing: shard.Timing{Lease: 5 * time.Second, Grace: 6 * time.Second}},
		owner.Deps{Log: in.log, Machines: noMachines{}, Places: failingRegistry{}, OtherPools: in, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))},
		acquired, &owner.StoredState{}, configured(settleIn("docs", 14)), nil)
	t.Cleanup(o.Close)
	a := o.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec)
	require.Equal(t, owner.Refused, a.Outcome)
	require.True(t, a.StoreUnavailable)
	require.Equal(t, owner.Refused, o.JobStatus(t.Context(), "new", owner.OfQueue(settleIn("docs", 14))).Outcome)
}

// Guards against a second run (TWICE) of a job that a release without places has accepted. Its queue was removed
// before the upgrade and added with another pool after it.
func TestAPoolRegistersForTheJobsThatItFinds(t *testing.T) {
	in := newInstallation(t)
	value, err := codec.EncodeFrame(movedSpec)
	require.NoError(t, err)
	_, err = in.log.Append(t.Context(), claim.StateStream("wages", 24), []port.Record{{Key: "wages/j/old", Value: value}}, nil, -1)
	require.NoError(t, err)
	in.start("wages", &port.Config{Version: 11})
	require.Eventually(t, func() bool { return in.registrations.Load() == 1 }, 5*time.Second, 5*time.Millisecond)
	docs := in.start("docs", configured(settleIn("docs", 14)))
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "old", movedSpec).Outcome)
	require.False(t, in.holds(docs, "old"))
}

// Guards against calls that callers of queues pay which have never moved.
func TestAQueueThatHasNeverMovedCostsOneRegistration(t *testing.T) {
	in := newInstallation(t)
	q := settleIn("docs", 3)
	for i := range 3 {
		docs := in.start("docs", configured(settleIn("docs", 3+int64(i))))
		require.Equal(t, owner.Accepted, docs.Submit(t.Context(), q, "job", movedSpec).Outcome)
		require.Equal(t, owner.Missing, docs.JobStatus(t.Context(), "none", owner.OfQueue(q)).Outcome)
		require.Equal(t, owner.Accepted, docs.Cancel(t.Context(), "none-2", owner.OfQueue(q)).Outcome)
		require.Equal(t, 1, docs.Pending(t.Context(), "settle", owner.OfQueue(q)).Pending)
		docs.Close()
	}
	require.EqualValues(t, 1, in.registrations.Load())
	require.Zero(t, in.questions.Load())
}

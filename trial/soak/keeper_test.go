package soak

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/fake"
)

// Once, a reload came a few milliseconds after an entry had been started again, and ended it.
func TestAProcessIsReloadedAndStoppedOnlyOnceItListens(t *testing.T) {
	var sent []syscall.Signal
	listens := false
	c := &keeperCore{
		recorder: startRecorder(time.Now().Add(-time.Hour)), opened: startOpened(), entry: &fake.Entry{Name: "entry-0"}, exited: make(chan struct{}),
		beforeStop: func() {}, looks: func() bool { return listens },
		send: func(s syscall.Signal) error {
			sent = append(sent, s)
			return nil
		},
	}
	t.Cleanup(c.recorder.task.Close)
	t.Cleanup(c.opened.task.Close)
	c.handle(keeperMessage{kind: Reload})
	c.handle(keeperMessage{kind: Term})
	// The stop does not wait for requests.
	c.stopBy = 0
	c.attempt(t.Context())
	require.Empty(t, sent)
	require.NotNil(t, c.poll)
	listens = true
	c.attempt(t.Context())
	require.Equal(t, []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}, sent)
	require.Nil(t, c.poll)
	require.Equal(t, Term, c.cause)
}

func TestAPlannedStopWaitsForOpenRequests(t *testing.T) {
	var sent []syscall.Signal
	c := &keeperCore{
		recorder: startRecorder(time.Now().Add(-time.Hour)), opened: startOpened(), entry: &fake.Entry{Name: "entry-0"}, exited: make(chan struct{}),
		beforeStop: func() {}, looks: func() bool { return true },
		send: func(s syscall.Signal) error {
			sent = append(sent, s)
			return nil
		},
	}
	t.Cleanup(c.recorder.task.Close)
	t.Cleanup(c.opened.task.Close)
	c.handle(keeperMessage{kind: Term})
	c.stopBy = c.recorder.now() + time.Hour
	c.attempt(t.Context())
	require.Empty(t, sent)
	// The times leave the test half a minute to look.
	now := c.recorder.now()
	c.opened.begin(&openRequest{entry: "entry-0", verb: Submit, beginAt: now + time.Minute, sentAt: now - time.Second})
	c.opened.begin(&openRequest{entry: "entry-0", verb: Submit, beginAt: now + time.Minute, drips: true})
	require.Eventually(t, func() bool {
		c.attempt(t.Context())
		return len(sent) > 0
	}, 30*time.Second, pollInterval)
	require.Equal(t, []syscall.Signal{syscall.SIGTERM}, sent)
}

// Guards against a breach of stop-in-time that is none: the soak had stood still at the end of a process, and took the grace period
// for over first.
func TestAProcessThatHasEndedInItsGracePeriodIsNotKilled(t *testing.T) {
	for _, ended := range []bool{false, true} {
		var sent []syscall.Signal
		exited := make(chan struct{})
		c := &keeperCore{
			recorder: startRecorder(time.Now()), opened: startOpened(), entry: &fake.Entry{Name: "entry-0"}, exited: exited, cause: Term,
			send: func(s syscall.Signal) error {
				sent = append(sent, s)
				return nil
			},
			result: func() error { return nil },
		}
		t.Cleanup(c.recorder.task.Close)
		t.Cleanup(c.opened.task.Close)
		if ended {
			close(exited)
		}
		c.graceOver()
		require.Equal(t, !ended, c.overdue)
		require.Equal(t, !ended, len(sent) == 1)
		h, err := c.recorder.finish()
		require.NoError(t, err)
		require.Equal(t, ended, len(h.Exits) == 1)
	}
}

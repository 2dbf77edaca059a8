package intake

import (
	"context"
	"sync"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

const (
	// maxInboxRecords is the number of submissions that one append carries at most.
	maxInboxRecords = 256
	// inboxQueue is the number of submissions that may wait for the task.
	inboxQueue = 1024
)

// InboxWriter is the task that appends submissions to the inboxes of pools. One append to an inbox is in flight at a time, and the
// next one carries all submissions that have come meanwhile. The store carries out the appends to a stream one after the other:
// while it is slow, an append for each submission of each entry would take it longer than callers wait.
type InboxWriter struct {
	log      port.Log
	maxBytes int
	task     *task.Task[inboxMessage]
}

// inboxMessage is a submission to append, or the end of an append.
type inboxMessage struct {
	stream port.Stream
	// submission is nil for the end of an append.
	submission *inboxSubmission
}

type inboxSubmission struct {
	ctx    context.Context
	record port.Record
	reply  chan<- error
}

// inboxState is what the task knows of the inboxes.
type inboxState struct {
	writer *InboxWriter
	// waiting holds the submissions of each inbox in their order. Inboxes without an append in flight have no entry.
	waiting map[port.Stream][]*inboxSubmission
	// appends counts the appends in flight.
	appends sync.WaitGroup
}

// StartInboxWriter starts a writer. maxBytes is the limit of the store on the records of one append; 0 means no limit.
func StartInboxWriter(log port.Log, maxBytes int) *InboxWriter {
	w := &InboxWriter{log: log, maxBytes: maxBytes}
	task.StartInto(&w.task, w.run, task.WithInbox(inboxQueue))
	return w
}

// Append appends a record to an inbox. The error is that of the append that carried the record. If ctx ends first, the record may
// still be appended.
func (w *InboxWriter) Append(ctx context.Context, stream port.Stream, record port.Record) error {
	err, failed := task.Call(ctx, w.task, func(reply chan<- error) inboxMessage {
		return inboxMessage{stream, &inboxSubmission{ctx, record, reply}}
	})
	if failed != nil {
		return failed
	}
	return err
}

// Close stops the task. Appends in flight are abandoned.
func (w *InboxWriter) Close() { w.task.Close() }

func (w *InboxWriter) run(ctx context.Context, inbox <-chan inboxMessage) {
	s := inboxState{writer: w, waiting: map[port.Stream][]*inboxSubmission{}}
	defer s.appends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			s.handle(ctx, m)
		}
	}
}

func (s *inboxState) handle(ctx context.Context, m inboxMessage) {
	waiting, inFlight := s.waiting[m.stream]
	switch {
	case m.submission != nil && inFlight:
		s.waiting[m.stream] = append(waiting, m.submission)
		return
	case m.submission != nil:
		waiting = []*inboxSubmission{m.submission}
	}
	batch, rest := s.nextBatch(waiting)
	if len(batch) == 0 {
		delete(s.waiting, m.stream)
		return
	}
	s.waiting[m.stream] = rest
	s.appends.Go(func() { s.writer.append(ctx, m.stream, batch) })
}

// nextBatch splits the submissions that wait into those of the next append and the rest. It leaves out those whose callers wait
// no more: nothing of them was sent.
func (s *inboxState) nextBatch(waiting []*inboxSubmission) (batch, rest []*inboxSubmission) {
	size := 0
	for i, submission := range waiting {
		if submission.ctx.Err() != nil {
			continue
		}
		size += submission.record.StoredBytes()
		if len(batch) == maxInboxRecords || (len(batch) > 0 && s.writer.maxBytes > 0 && size > s.writer.maxBytes) {
			return batch, waiting[i:]
		}
		batch = append(batch, submission)
	}
	return batch, nil
}

// append appends a batch, replies to its submissions and reports its end to the task.
func (w *InboxWriter) append(ctx context.Context, stream port.Stream, batch []*inboxSubmission) {
	records := make([]port.Record, len(batch))
	for i, submission := range batch {
		records[i] = submission.record
	}
	appendCtx, cancel := context.WithTimeout(ctx, inboxTimeout)
	defer cancel()
	_, err := w.log.Append(appendCtx, stream, records, nil, -1)
	for _, submission := range batch {
		submission.reply <- err
	}
	// An error means that the writer is closed.
	_ = w.task.Send(ctx, inboxMessage{stream: stream})
}

// appendToInbox appends a record to an inbox.
func (n *Intake) appendToInbox(ctx context.Context, stream port.Stream, record port.Record) error {
	if n.Inbox != nil {
		return n.Inbox.Append(ctx, stream, record)
	}
	_, err := n.Log.Append(ctx, stream, []port.Record{record}, nil, -1)
	return err
}

const (
	// inboxTimeout limits one append to the inbox.
	inboxTimeout = 900 * time.Millisecond
	// inboxWait limits the time that a submission waits for the append in flight and its own.
	inboxWait = 2 * inboxTimeout
)

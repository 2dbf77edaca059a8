package claim

import (
	"context"
	"sync"

	"carawaymux.dev/fleet/port"
)

// loading is one reading of a state. Its sections are read side by side, since most of the time of a page is spent waiting for
// the store.
type loading struct {
	reader *StateReader
	take   func(port.Record)
	// splits holds the keys at which the sections after the first one begin.
	splits   []string
	sections []*section
	pages    chan sectionPage
	inFlight int
	fetches  sync.WaitGroup
}

// section is a range of keys that is read page by page.
type section struct {
	// from is the key after which the section begins, and after the last one that has been read.
	from, after string
	// next is the section that begins where this one ends; nil for the last one.
	next *section
	// began is set when a page has shown that the store has keys in this section.
	began bool
}

func newSection(from string) *section { return &section{from: from, after: from} }

// sectionPage is a page of a section.
type sectionPage struct {
	section *section
	page    port.Page
	err     error
}

// run reads all that follows the first page.
func (l *loading) run(ctx context.Context, first port.Page) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.fetches.Wait()
	defer cancel()
	l.sections = []*section{{}}
	if first.More {
		for _, key := range l.splits {
			l.sections = append(l.sections, newSection(l.reader.name+"/"+key))
			l.sections[len(l.sections)-2].next = l.sections[len(l.sections)-1]
		}
	}
	l.pages = make(chan sectionPage, len(l.sections))
	for _, s := range l.sections[1:] {
		l.fetch(ctx, s)
	}
	if !l.add(ctx, l.sections[0], first) {
		return l.startOver(ctx)
	}
	for l.inFlight > 0 {
		p := <-l.pages
		l.inFlight--
		if p.err != nil {
			return p.err
		}
		if !l.add(ctx, p.section, p.page) {
			return l.startOver(ctx)
		}
	}
	return nil
}

// fetch requests the next page of a section.
func (l *loading) fetch(ctx context.Context, s *section) {
	l.inFlight++
	after := s.after
	l.fetches.Go(func() {
		page, err := l.reader.newest(ctx, after)
		l.pages <- sectionPage{s, page, err}
	})
}

// add takes a page and requests the next one, unless the section ends. It reports false if the store does not return its
// keys in their order, on which the sections rely.
func (l *loading) add(ctx context.Context, s *section, page port.Page) bool {
	l.reader.Cost.Pages++
	for _, e := range page.Records {
		if e.Key <= s.after && len(l.sections) > 1 {
			return false
		}
		s.after, s.began = e.Key, true
		if e.Value != nil {
			l.reader.pass(e, l.take)
		}
	}
	// A section that shows no keys may mean that the store knows no order.
	ends := s.next != nil && s.next.began && s.after >= s.next.from
	if page.More && len(page.Records) > 0 && !ends {
		l.fetch(ctx, s)
	}
	return true
}

// startOver reads all pages one after the other.
func (l *loading) startOver(ctx context.Context) error {
	first, err := l.reader.newest(ctx, "")
	if err != nil {
		return err
	}
	sequential := loading{reader: l.reader, take: l.take}
	return sequential.run(ctx, first)
}

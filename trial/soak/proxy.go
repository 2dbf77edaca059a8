package soak

import (
	"context"
	"time"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/trial/proxy"
)

// proxies are the proxies on the links of a run, by the names of the links. Links are added before the run starts.
type proxies map[string]*proxy.Link

// LinkName names the link from an entry to a service or machine. Links to machines are shared by all entries.
func LinkName(from, to string) string { return from + ">" + to }

// add starts the proxy of a link and returns its address.
func (p proxies) add(from, to, address string) (string, error) {
	l, err := proxy.Start(address)
	if err != nil {
		return "", err
	}
	p[LinkName(from, to)] = l
	return l.Address, nil
}

const (
	// linkDelay and linkJitter are the delay of each direction of a slow link and its variation.
	linkDelay, linkJitter = 120 * time.Millisecond, 80 * time.Millisecond
	// linkLate is the delay of a late link.
	linkLate = 2500 * time.Millisecond
	// dripPause is the time between two bytes.
	dripPause = 200 * time.Microsecond
)

// Toxics returns what carries out a fault of a link. Only the direction of cut links depends on the number.
func Toxics(k Kind, number int) []proxy.Toxic {
	switch k {
	case LinkDelay:
		return proxy.Both(proxy.Impairment{Latency: linkDelay, Jitter: linkJitter})
	case LinkReset:
		return []proxy.Toxic{{Direction: proxy.Upstream, Impairment: proxy.Impairment{Reset: true}}}
	case LinkCut:
		return []proxy.Toxic{{Direction: proxy.Direction(number % int(proxy.Directions)), Impairment: proxy.Impairment{Drop: true}}}
	case LinkSilent:
		return proxy.Both(proxy.Impairment{Drop: true})
	case LinkLate:
		return []proxy.Toxic{{Direction: proxy.Upstream, Impairment: proxy.Impairment{Latency: linkLate}}}
	case LinkDrip:
		return proxy.Both(proxy.Impairment{Pause: dripPause})
	}
	return nil
}

// droppedAnswers returns what drops the answers on a link and ends its connections later than lossSlack after that.
func droppedAnswers() []proxy.Toxic {
	return []proxy.Toxic{{Direction: proxy.Downstream, Impairment: proxy.Impairment{Drop: true, Closing: 2 * lossSlack}}}
}

// inject starts a fault of a link and returns the function that ends it.
func (p proxies) inject(ctx context.Context, link, name string, list []proxy.Toxic) (heal func(context.Context) error, err error) {
	l := p[link]
	if l == nil {
		return nil, fault.New("inject", link, "there is no such link")
	}
	return func(ctx context.Context) error { return l.Heal(ctx, name) }, l.Inject(ctx, name, list)
}

// close stops all proxies and ends their connections.
func (p proxies) close() {
	for _, l := range p {
		l.Close()
	}
}

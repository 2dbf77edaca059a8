package soak

import (
	"context"
	"encoding/json"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"carawaymux.dev/fleet/fault"
)

// proxies are the proxies on the links of a run. Links are added before the run starts.
type proxies struct {
	server *toxiproxy.ApiServer
	links  map[string]*toxiproxy.Proxy
}

func newProxies() *proxies {
	return &proxies{toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()), map[string]*toxiproxy.Proxy{}}
}

// linkName names the link from an entry to a service or machine. Links to machines are shared by all entries.
func linkName(from, to string) string { return from + ">" + to }

// add starts the proxy of a link and returns its address.
func (p *proxies) add(from, to, address string) (string, error) {
	name := linkName(from, to)
	proxy := toxiproxy.NewProxy(p.server, name, "127.0.0.1:0", address)
	if err := proxy.Start(); err != nil {
		return "", fault.At("start-proxy", name, err)
	}
	p.links[name] = proxy
	return proxy.Listen, nil
}

// toxic is a fault of one direction of a link.
type toxic struct {
	Name       string         `json:"name"`
	Type       string         `json:"type"`
	Stream     string         `json:"stream"`
	Attributes map[string]any `json:"attributes"`
}

const (
	upstream, downstream = "upstream", "downstream"
	// linkDelayMS and linkJitterMS are the delay of each direction of a slow link and its variation.
	linkDelayMS, linkJitterMS = 120, 80
	// linkLateMS is the delay of a late link.
	linkLateMS = 2500
	// dripMicroseconds is the time between two bytes.
	dripMicroseconds = 200
)

// toxics returns what carries out a fault of a link. Only the direction of cut links depends on the number.
func toxics(k Kind, number int) []toxic {
	switch k {
	case LinkDelay:
		delay := map[string]any{"latency": linkDelayMS, "jitter": linkJitterMS}
		return []toxic{{"up", "latency", upstream, delay}, {"down", "latency", downstream, delay}}
	case LinkReset:
		return []toxic{{"up", "reset_peer", upstream, map[string]any{"timeout": 0}}}
	case LinkCut:
		direction := []string{upstream, downstream}[number%2]
		return []toxic{{"cut", "timeout", direction, map[string]any{"timeout": 0}}}
	case LinkSilent:
		drop := map[string]any{"timeout": 0}
		return []toxic{{"up", "timeout", upstream, drop}, {"down", "timeout", downstream, drop}}
	case LinkLate:
		return []toxic{{"up", "latency", upstream, map[string]any{"latency": linkLateMS}}}
	case LinkDrip:
		drip := map[string]any{"average_size": 1, "size_variation": 0, "delay": dripMicroseconds}
		return []toxic{{"up", "slicer", upstream, drip}, {"down", "slicer", downstream, drip}}
	}
	return nil
}

// droppedAnswers returns what drops the answers on a link and ends its connections later than lossSlack after that.
func droppedAnswers() []toxic {
	return []toxic{
		{"drop", "timeout", downstream, map[string]any{"timeout": 0}},
		{"close", "slow_close", downstream, map[string]any{"delay": 2 * lossSlack.Milliseconds()}},
	}
}

// inject starts a fault of a link and returns the function that ends it.
func (p *proxies) inject(link, name string, list []toxic) (heal func(context.Context) error, err error) {
	proxy := p.links[link]
	if proxy == nil {
		return nil, fault.New("inject", link, "there is no such link")
	}
	for i, t := range list {
		list[i].Name = name + "-" + t.Name
		raw, err := json.Marshal(list[i])
		if err != nil {
			return nil, err
		}
		if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(string(raw))); err != nil {
			return nil, fault.At("inject", link, err)
		}
	}
	return func(ctx context.Context) error {
		for _, t := range list {
			if err := proxy.Toxics.RemoveToxic(ctx, t.Name); err != nil {
				return fault.At("heal", link, err)
			}
		}
		return nil
	}, nil
}

// heal ends all faults of a link.
func (p *proxies) heal(from, to string) {
	ctx, cancel := context.WithTimeout(context.Background(), healTimeout)
	defer cancel()
	p.links[linkName(from, to)].Toxics.ResetToxics(ctx)
}

// close stops all proxies and ends their connections.
func (p *proxies) close() {
	for _, proxy := range p.links {
		proxy.Stop()
	}
}

package fake

// WriteHostRecord appends a record to the list of hosts, as another writer may.
func (fp *Platform) WriteHostRecord(id string, value []byte) {
	fp.do(func(s *state) { s.store.partition("keyed.servers", "0").put(id, value) })
}

// HostRecords returns the newest record of each host of a pool, by host ID.
func (fp *Platform) HostRecords(pool string) map[string][]byte {
	return query(fp, func(s *state) map[string][]byte {
		p := s.store.partition("keyed.servers", "0")
		out := map[string][]byte{}
		for id, h := range s.hosts {
			if offset, ok := p.newest[id]; ok && h.pool == pool {
				out[id] = p.records[offset].value
			}
		}
		return out
	})
}

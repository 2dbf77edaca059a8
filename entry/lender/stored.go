package lender

import (
	"context"
	"errors"
	"strings"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
)

// keyAccount is the infix of the keys of accounts. The name of the tenant follows.
const keyAccount = "/t/"

// pageTimeout bounds the read of one page of the claims.
const pageTimeout = 900 * time.Millisecond

// readStored reads the accounts that earlier holders have stored. A tenant whose account cannot be read begins anew: each pool has to confirm
// what runs there before any of the cap is lent.
func readStored(ctx context.Context, acquired *claim.Claim, d Deps) ([]caps.Account, error) {
	accounts := map[string]caps.Account{}
	err := acquired.Load(ctx, func(e port.Record) {
		tenant, ok := strings.CutPrefix(e.Key, ClaimName+keyAccount)
		if !ok || e.Value == nil {
			return
		}
		a, err := codec.DecodeFrame[caps.Account](e.Value)
		if err != nil || a.Tenant != tenant {
			delete(accounts, tenant)
			d.Stats.Add("unreadable-records", 1, "pool", ClaimName)
			d.Logger.Error("stored budgets of a tenant cannot be read; all pools are asked what runs before any are lent", "tenant", tenant, "err", err)
			return
		}
		accounts[tenant] = a
	})
	var out []caps.Account
	for _, a := range accounts {
		out = append(out, a)
	}
	return out, err
}

// claimedPools returns the pools that have ever been claimed. They may run work of tenants.
func claimedPools(ctx context.Context, log port.Log) ([]string, error) {
	var out []string
	for after := ""; ; {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err := log.Newest(pageCtx, claim.Stream, after)
		cancel()
		if err != nil {
			return nil, fault.At("read claims", ClaimName, err)
		}
		for _, e := range page.Records {
			if after = e.Key; !duties.IsSingleton(e.Key) && e.Value != nil {
				out = append(out, e.Key)
			}
		}
		if !page.More || len(page.Records) == 0 {
			return out, nil
		}
	}
}

// write starts the next write if an account has changed and no write is in flight.
func (c *core) write() {
	if c.writeInFlight {
		return
	}
	if len(c.unwritten) == 0 {
		for _, a := range c.ledger.TakeChanged() {
			c.addRecord(a)
		}
	}
	if len(c.unwritten) == 0 {
		return
	}
	n, bytes := 0, 0
	for n < len(c.unwritten) {
		bytes += c.unwritten[n].StoredBytes()
		if n > 0 && c.settings.MaxRequestBytes > 0 && bytes > c.settings.MaxRequestBytes {
			break
		}
		n++
	}
	records := c.unwritten[:n:n]
	c.unwritten = c.unwritten[n:]
	c.writeInFlight = c.writer.Write(records)
}

// addRecord adds the record of an account. It is deleted if the account has no bounds.
func (c *core) addRecord(a caps.Account) {
	r := port.Record{Key: ClaimName + keyAccount + a.Tenant}
	var err error
	if len(a.Bounds) > 0 {
		r.Value, err = codec.EncodeFrame(a)
	}
	tooLarge := len(r.Key) > port.MaxKeyBytes || (c.settings.MaxRecordBytes > 0 && r.StoredBytes() > c.settings.MaxRecordBytes)
	if err == nil && !tooLarge {
		delete(c.unstorable, a.Tenant)
		c.unwritten = append(c.unwritten, r)
		return
	}
	if _, known := c.unstorable[a.Tenant]; !known {
		c.unstorable[a.Tenant] = struct{}{}
		c.logger.Error("budgets of a tenant exceed a record of the store; they stay as they are", "tenant", a.Tenant, "bytes", r.StoredBytes(), "err", err)
	}
}

func (m writeResult) handle(c *core) {
	c.writeInFlight = false
	switch {
	case m.Err == nil:
	case errors.Is(m.Err, claim.ErrLost):
		c.fenced = true
	default:
		// The writer gives up only when the task ends.
		c.logger.Debug("budgets not stored", "err", m.Err)
	}
}

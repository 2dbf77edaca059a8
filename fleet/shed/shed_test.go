package shed_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/shed"
)

// Guards against limits under which the largest legal request is never served on the smallest entry, and against
// connections that use up descriptors.
func TestLimitsFollowTheMemoryAndTheDescriptors(t *testing.T) {
	const mb, body, frame, largestJob = 1 << 20, 256 << 10, 8 << 20, 4<<10 + 256*256
	for _, memory := range []int64{0, 184 * mb, 284 * mb, 536 * mb} {
		l := shed.Derive(shed.Process{Memory: memory})
		require.Greater(t, l.Large, int64(frame+body))
		require.Greater(t, l.Decode, int64(body))
		require.Less(t, l.Large+l.Small, max(memory, 184*mb)/4)
		require.Less(t, l.Large+l.Small+l.Frames+l.Forwarded, max(memory, 184*mb)/4)
		require.LessOrEqual(t, l.Decode+l.DecodeLinks, max(memory, 184*mb)/20)
		require.Greater(t, l.Frames, int64(16*largestJob))
		require.Greater(t, l.Forwarded, int64(16*largestJob))
		require.Greater(t, l.Connections[shed.Callers], 512)
	}
	few := shed.Derive(shed.Process{Memory: 536 * mb, Descriptors: 300})
	sum := 0
	for _, n := range few.Connections {
		require.Positive(t, n)
		sum += n
	}
	require.LessOrEqual(t, sum, 75)
	require.Positive(t, shed.Derive(shed.Process{Memory: mb, Descriptors: 1}).Connections[shed.Callers])
	require.Greater(t, shed.Derive(shed.Process{Memory: mb, Largest: 64 * mb}).Large, int64(64*mb))
	plain, tls := shed.Derive(shed.Process{}), shed.Derive(shed.Process{TLS: true})
	require.Less(t, tls.Connections[shed.Callers], plain.Connections[shed.Callers])
}

// Guards against settings that are tiny or huge and lead to limits that refuse everything, or that are negative.
func TestLimitsOfTinyAndHugeSettings(t *testing.T) {
	for _, memory := range []int64{math.MinInt64, 1, 1 << 20, 1 << 40, math.MaxInt64} {
		for _, files := range []int{math.MinInt, 1, 200, 1 << 20, math.MaxInt} {
			l := shed.Derive(shed.Process{Memory: memory, Descriptors: files, Largest: 256 << 10})
			require.GreaterOrEqual(t, l.Large, int64(256<<10+1), "a body of the largest size")
			require.GreaterOrEqual(t, l.LargestHead(), int64(16<<10), "a head of the usual limit")
			for s := range shed.Shares {
				require.GreaterOrEqual(t, l.Size(s), int64(0))
			}
			require.GreaterOrEqual(t, min(l.Decode, l.DecodeLinks), int64(0))
			for name, places := range l.Connections {
				require.Positive(t, places, name)
			}
		}
	}
}

func TestAClientThatHoldsMuchAndMakesNoProgressIsShedFirst(t *testing.T) {
	second := time.Second
	clients := []shed.Client{
		{Phase: shed.Body, Held: 1 << 18, Received: 1 << 18, Age: second, Quiet: second},
		{Phase: shed.Body, Held: 1 << 12, Received: 1, Age: second, Quiet: second},
		{Phase: shed.Running, Held: 1 << 20, Age: 9 * second, Quiet: 9 * second},
		{Phase: shed.Body, Held: 1 << 18, Received: 1 << 18, Age: 100 * time.Millisecond},
		{Phase: shed.Link, Age: 99 * second, Quiet: 99 * second},
	}
	require.Equal(t, []int{0}, shed.LeastProgress{}.Holders(clients, 1<<18))
	require.Equal(t, []int{0, 1}, shed.LeastProgress{}.Holders(clients, 1<<30))
	require.Equal(t, 1, shed.LeastProgress{}.Connection(clients))
	require.Equal(t, -1, shed.LeastProgress{}.Connection(clients[2:]))
	require.Empty(t, shed.None{}.Holders(clients, 1))
	require.Equal(t, -1, shed.None{}.Connection(clients))
}

// Guards against silent clients that keep the places of a listener, and against callers that lose open connections to them.
func TestConnectionsThatCarriedNothingAreClosedFirst(t *testing.T) {
	ms, second := time.Millisecond, time.Second
	clients := []shed.Client{
		{Phase: shed.Waiting, Age: 30 * second, Quiet: 30 * second},
		{Phase: shed.Waiting, IsFresh: true, Age: 20 * ms, Quiet: 20 * ms},
		{Phase: shed.Waiting, IsFresh: true, Age: 30 * ms, Quiet: 30 * ms},
		{Phase: shed.Head, IsFresh: true, Received: 10, Age: 40 * ms, Quiet: 40 * ms},
		{Phase: shed.Body, IsFresh: true, Received: 10, Age: 400 * ms, Quiet: 400 * ms},
		{Phase: shed.Link, Age: 20 * second, Quiet: 20 * second},
	}
	var closed []shed.Client
	for {
		i := shed.LeastProgress{}.Connection(clients)
		if i < 0 {
			break
		}
		closed = append(closed, clients[i])
		clients = slices.Delete(clients, i, i+1)
	}
	require.Equal(t, []shed.Client{
		{Phase: shed.Head, IsFresh: true, Received: 10, Age: 40 * ms, Quiet: 40 * ms},
		{Phase: shed.Waiting, IsFresh: true, Age: 30 * ms, Quiet: 30 * ms},
		{Phase: shed.Waiting, Age: 30 * second, Quiet: 30 * second},
	}, closed)
	require.Len(t, clients, 3)
}

// Guards against clients within the limits that are shed: 256 KiB over the slowest link, and a head over 3 s.
func TestAClientThatMakesProgressIsNotShed(t *testing.T) {
	const slowest = 10e6 / 8
	for received := int64(1); received < 256<<10; received += 4096 {
		age := time.Duration(float64(received) / slowest * float64(time.Second))
		c := []shed.Client{{Phase: shed.Body, Held: 256 << 10, Received: received, Age: age, Quiet: 10 * time.Millisecond}}
		require.Empty(t, shed.LeastProgress{}.Holders(c, 1))
	}
	require.GreaterOrEqual(t, shed.BodyTime(256<<10), 3*time.Second)
}

// Guards against callers, and senders of parts of frames, that use up what requests of other entries need, and against the
// reverse.
func TestRequestsOfOtherEntriesHaveAShareOfTheirOwn(t *testing.T) {
	for _, bytes := range []int64{shed.SmallBytes, shed.SmallBytes + 1} {
		for _, use := range []shed.Use{shed.Request, shed.FirstFrame, shed.Frame} {
			require.NotContains(t, shed.SharesOf(use, 0, bytes), shed.ForwardShare)
		}
		require.Equal(t, []shed.Share{shed.FrameShare}, shed.SharesOf(shed.FirstFrame, 0, bytes))
		for use, own := range map[shed.Use]shed.Share{shed.Frame: shed.FrameShare, shed.Forwarded: shed.ForwardShare} {
			tried := shed.SharesOf(use, 0, bytes)
			require.Equal(t, own, tried[0])
			require.Equal(t, shed.SharesOf(shed.Request, 0, bytes), tried[1:])
		}
	}
}

// Guards against a choice that panics, repeats a client or takes one that is being served.
func FuzzHolders(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8}, int64(10))
	f.Fuzz(func(t *testing.T, raw []byte, need int64) {
		var clients []shed.Client
		for ; len(raw) >= 5; raw = raw[5:] {
			clients = append(clients, shed.Client{
				Phase: shed.Phase(raw[0] % 7), Held: int64(raw[1]) << 12, Received: int64(raw[2]) << 10,
				Age: time.Duration(raw[3]) * 50 * time.Millisecond, Quiet: time.Duration(raw[4]) * 50 * time.Millisecond,
			})
		}
		seen := map[int]bool{}
		for _, i := range (shed.LeastProgress{}).Holders(clients, need) {
			require.False(t, seen[i])
			require.NotContains(t, []shed.Phase{shed.Running, shed.Link}, clients[i].Phase)
			seen[i] = true
		}
		if i := (shed.LeastProgress{}).Connection(clients); i >= 0 {
			require.NotContains(t, []shed.Phase{shed.Running, shed.Link}, clients[i].Phase)
		}
	})
}

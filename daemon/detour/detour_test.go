package detour

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// fakeCluster has peers that answer by name; the others don't answer.
type fakeCluster struct {
	answers map[string]error
	joining bool
}

func (c fakeCluster) Alone() bool { return len(c.answers) == 0 && !c.joining }

func (c fakeCluster) View() *membership.View { return membership.NewView(1, "self", c.Peers()) }

func (c fakeCluster) Peers() []membership.Member {
	var peers []membership.Member
	for _, name := range []string{"a", "b", "c"} {
		if _, ok := c.answers[name]; ok {
			peers = append(peers, membership.Member{Name: name, Address: name, State: membership.Alive})
		}
	}
	return peers
}

var errNoAnswer = errors.New("no answer")

func (c fakeCluster) DialThrough(ctx context.Context, peerAddress, _ string) (net.Conn, error) {
	err := c.answers[peerAddress]
	if errors.Is(err, errNoAnswer) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	nc, _ := net.Pipe()
	return nc, nil
}

// The first instance that reaches the target is used, whatever the others answer, and what one finds
// out about the target counts.
func TestDialerAsksOneInstanceAfterTheOther(t *testing.T) {
	cases := map[string]struct {
		answers map[string]error
		through string
		err     error
		joining bool
	}{
		"alone":                      {map[string]error{}, "", forward.ErrNoDetour, false},
		"just started":               {map[string]error{}, "", forward.ErrNoPeerKnown, true},
		"one reaches it":             {map[string]error{"a": peer.ErrUnreachable, "b": nil, "c": peer.ErrBusy}, "b", nil, false},
		"others don't answer":        {map[string]error{"a": errNoAnswer, "b": errNoAnswer, "c": nil}, "c", nil, false},
		"nothing listens":            {map[string]error{"a": peer.ErrRefused, "b": peer.ErrUnreachable}, "", forward.ErrNothingListens, false},
		"none reaches it":            {map[string]error{"a": peer.ErrUnreachable, "b": peer.ErrUnreachable}, "", peer.ErrUnreachable, false},
		"none answers in the bound":  {map[string]error{"a": errNoAnswer}, "", context.DeadlineExceeded, false},
		"none of an earlier version": {map[string]error{"a": peer.ErrVersion}, "", peer.ErrVersion, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := NewDialer(fakeCluster{answers: c.answers, joining: c.joining}, tally.NoopScope)
			nc, through, err := d.Dial(t.Context(), "target")
			require.True(t, errors.Is(err, c.err), "%v", err)
			require.Equal(t, c.through, through)
			require.Equal(t, c.err == nil, nc != nil)
		})
	}
}

// Guards against an instance that is cut off itself and tells others that targets are down.
func TestServerTellsRefusalOnlyIfItReachesAnotherTarget(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for name, c := range map[string]struct {
		targets Targets
		cutOff  bool
		lost    bool
		refused bool
	}{
		"target is down":           {Targets{"t": "s", "other": "s"}, false, false, true},
		"only target":              {Targets{"t": "s"}, false, false, true},
		"cut off":                  {Targets{"t": "s", "other": "s"}, true, false, false},
		"cut off and knows it":     {Targets{"t": "s", "other": "s"}, true, true, false},
		"another service only":     {Targets{"t": "s", "other": "x"}, false, false, true},
		"service may be cut off":   {Targets{"t": "s", "t2": "s", "other": "x"}, false, false, false},
		"target isn't in its list": {Targets{"other": "s"}, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := Server{
				Dial: func(_ context.Context, address string) (net.Conn, error) {
					if c.cutOff || address == "t" || address == "t2" {
						return nil, refused
					}
					nc, _ := net.Pipe()
					return nc, nil
				},
				PathLost:      func(string) bool { return c.lost },
				PathSuspected: func(string) bool { return len(c.targets) > 2 },
				Targets:       func() Targets { return c.targets },
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := server.DialTarget(ctx, "t")
			require.Equal(t, c.refused, errors.Is(err, peer.ErrRefused), "%v", err)
			require.Error(t, err)
		})
	}
}

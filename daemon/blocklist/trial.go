package blocklist

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodTrial is the method by which an instance requests a run of a request on trial.
const methodTrial = "quarantine.trial"

const (
	// trialTimeout limits the request for a trial, since the caller waits for it.
	trialTimeout = 200 * time.Millisecond
	// Once a trial is granted, no other one is granted for the time that the run may take
	// plus trialMargin, so that the record of the run's end can reach the other instances.
	trialMargin = 2 * time.Second
	// maxTrialTime limits the time that a run may take.
	maxTrialTime = time.Minute
	// trialRetryInterval is the delay after which a caller may retry a request while
	// another run of it is on trial.
	trialRetryInterval = time.Second
)

// Admit decides whether a request with the remaining time may be sent to targets. A request of
// which a suspect is on trial may be sent if no other run with it is in progress on any instance.
func (b *Blocklist) Admit(ctx context.Context, s quarantine.Suspects, remaining time.Duration) quarantine.Verdict {
	v := b.Judge(s)
	if v.State != quarantine.OnTrial {
		return v
	}
	if !b.recentlyDenied(v.Digest) && b.requestTrial(ctx, v.Digest, remaining) {
		return v
	}
	b.deny(v.Digest)
	v.State, v.Remaining = quarantine.Blocked, trialRetryInterval
	return v
}

// recentlyDenied reports whether a trial of the request was denied within the last
// trialRetryInterval. It prevents a frequent request from causing a call to the owner each time.
func (b *Blocklist) recentlyDenied(digest quarantine.Digest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.deniedUntil[digest])
}

// deny records that a trial of the request was denied.
func (b *Blocklist) deny(digest quarantine.Digest) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !now.Before(b.deniedUntil[digest]) {
		b.deniedUntil[digest] = now.Add(trialRetryInterval)
	}
}

// requestTrial requests a trial from the owner of the request, which is the instance that
// decides on the request's trials and is chosen by hashing the digest.
func (b *Blocklist) requestTrial(ctx context.Context, digest quarantine.Digest, remaining time.Duration) bool {
	remaining = min(max(remaining, 0), maxTrialTime)
	owners := membership.Owners(b.cluster.View(), digest.String(), 1)
	if len(owners) == 0 || owners[0].Name == b.cluster.View().Self {
		return b.grantTrial(digest, remaining)
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	var response trialResponse
	body, err := msgpack.Marshal(&trialRequest{digest[:], uint32(remaining.Milliseconds())})
	if err == nil {
		body, err = b.cluster.Call(ctx, owners[0].Address, methodTrial, body)
	}
	if err == nil {
		err = msgpack.Unmarshal(body, &response)
	}
	if err != nil {
		telemetry.ErrorS(err, "Trial of a request not decided, it stays blocked", telemetry.Event{Digest: digest.String(), Peer: owners[0].Address})
		b.metrics.trials[trialUnanswered].Inc(1)
	}
	return response.Granted
}

func (b *Blocklist) handleTrial(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var request trialRequest
	var digest quarantine.Digest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if len(request.Digest) != len(digest) {
		return nil, errors.Newf("a digest of %d bytes", len(request.Digest))
	}
	copy(digest[:], request.Digest)
	remaining := min(time.Duration(request.LeftMillis)*time.Millisecond, maxTrialTime)
	return msgpack.Marshal(&trialResponse{b.grantTrial(digest, remaining)})
}

// grantTrial decides whether to allow a run that ends within the remaining time.
func (b *Blocklist) grantTrial(digest quarantine.Digest, remaining time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := b.table.GrantTrial(time.Now(), digest, remaining+trialMargin)
	outcome := trialDenied
	if granted {
		outcome = trialGranted
		telemetry.InfoS("Request on trial, one run is allowed", telemetry.Event{Digest: digest.String(), Remaining: remaining})
	}
	b.metrics.trials[outcome].Inc(1)
	return granted
}

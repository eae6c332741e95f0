package stages

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
)

// Prevents a field from being moved, added or removed. Instances of two builds run side by
// side for minutes, and each would read another value from the same position of the other's
// arrays.
func TestBytesOfStageMessages(t *testing.T) {
	run := runRequest{
		ID: "id", Route: "route", Key: "key", Priority: 1,
		Stages:    []stageRequest{{Service: "service", After: []int{2, 3}, Pieces: 4, ResultBytes: 5}},
		Objective: 6, Deadline: 7, Remaining: 8, DataCentre: "dc", KindPriority: 9,
	}
	response := runResponse{Handles: []string{"h1", "h2"}, Reason: string(gather.ReasonQueueTooLong), RetryAfter: 10}
	redirectable := redirectableRequest{Run: run, DeadlineShortened: true, Redirected: true, Avoided: []string{"p1", "p2"}}
	cases := []struct {
		name    string
		message any
		want    string
	}{
		{"run", &run, "9aa26964a5726f757465a36b6579019194a77365727669636592020304d30000000000000005d30000000000000006d30000" +
			"000000000007d30000000000000008a2646309"},
		{"run response", &response, "9392a26831a26832ae71756575655f746f6f5f6c6f6e67d3000000000000000a"},
		{"redirectable", &redirectable, "949aa26964a5726f757465a36b6579019194a77365727669636592020304d30000000000000005d30000000000000006d300" +
			"00000000000007d30000000000000008a2646309c3c392a27031a27032"},
		{"redirectable, only shortened", &redirectableRequest{DeadlineShortened: true}, "949aa0a0a000c0d30000000000000000d30000000000000000d30000000000000000a000c3c2c0"},
		{"redirectable response", &redirectableResponse{Run: response, MovedTo: "moved"}, "929392a26831a26832ae71756575655f746f6f5f6c6f6e67d3000000000000000aa56d6f766564"},
		{"assign", &assignRequest{Redirectable: redirectable, Prompt: placing.Prompt{
			Pool: "pool", Parts: []placing.Part{{ID: "part", Tokens: 11}}, Tokens: 12, Exclude: []string{"e1", "e2"},
		}}, "92949aa26964a5726f757465a36b6579019194a77365727669636592020304d30000000000000005d30000000000000006d3" +
			"0000000000000007d30000000000000008a2646309c3c392a27031a2703294a4706f6f6c9192a4706172740b0c92a26531a2" +
			"6532"},
		{"assign response", &assignResponse{Redirectable: redirectableResponse{Run: response, MovedTo: "moved"}, Engine: "engine"}, "92929392a26831a26832ae71756575655f746f6f5f6c6f6e67d3000000000000000aa56d6f766564a6656e67696e65"},
		{"schedule", &scheduleRequest{Account: "account", Fingerprint: "fingerprint", MaxRetryDelay: 43}, "9492949aa0a0a000c0d30000000000000000d30000000000000000d30000000000000000a000c2c2c094a0c000c0a7" +
			"6163636f756e74ab66696e6765727072696e74d3000000000000002b"},
		{"schedule response", &scheduleResponse{Reserved: true}, "9292929293c0a0d30000000000000000a0a0d30000000000000000c3"},
		{"handover, requests", &handoverPart{Number: 13, Last: true, State: gather.State{Requests: []gather.RequestState{{
			ID: "id", Route: "route", Key: "key", Priority: 1, KindPriority: 2,
			Stages:    []gather.Stage{{Service: "service", After: []int{3}, Pieces: 4, ResultBytes: 5}},
			Objective: 6, Deadline: 7, Remaining: 8, DataCentre: "dc", AdmittedAt: 9,
			Started: true, Boosted: true, DeadlineShortened: true, Completed: true,
			Progress: []gather.StageState{{
				Pending: []int{10, 11},
				Results: []gather.ResultState{{Index: 12, Handle: "handle", Target: 13, ExpiresAt: 14, Freed: true}},
				Resends: 15, ReadySince: 16, InputsReadAt: 17, SentAt: 18, EndedAt: 19,
			}},
		}}}}, "93cf000000000000000d9491dc0010a26964a5726f757465a36b657901029194a773657276696365910304d3000000000000" +
			"0005d30000000000000006d30000000000000007d30000000000000008a26463d30000000000000009c3c3c3c39197920a0b" +
			"91950ca668616e646c650dd3000000000000000ec30fd30000000000000010d30000000000000011d30000000000000012d3" +
			"0000000000000013c0c0c0c3"},
		{"handover, started request", &handoverPart{State: gather.State{Requests: []gather.RequestState{{Started: true}}}}, "93cf00000000000000009491dc0010a0a0a00000c0d30000000000000000d30000000000000000d30000000000000000a0d3" +
			"0000000000000000c3c2c2c2c0c0c0c0c2"},
		{"handover, boosted request", &handoverPart{State: gather.State{Requests: []gather.RequestState{{Boosted: true}}}}, "93cf00000000000000009491dc0010a0a0a00000c0d30000000000000000d30000000000000000d30000000000000000a0d3" +
			"0000000000000000c2c3c2c2c0c0c0c0c2"},
		{"handover, shortened request", &handoverPart{State: gather.State{Requests: []gather.RequestState{{DeadlineShortened: true}}}}, "93cf00000000000000009491dc0010a0a0a00000c0d30000000000000000d30000000000000000d30000000000000000a0d3" +
			"0000000000000000c2c2c3c2c0c0c0c0c2"},
		{"handover, calls", &handoverPart{Number: 20, State: gather.State{Calls: []gather.CallState{{
			ID: 21, Target: 22, Pieces: []gather.PieceState{{Request: "request", Stage: 23, Index: 24, Bytes: 25}}, Bytes: 26,
			StartedAt: 27, OverdueAt: 28, InputsReadAt: 29, TimeoutAt: 30, ExpectedDuration: 31, Hedged: true, InputsFreed: true,
		}}}}, "93cf000000000000001494c0919bcf0000000000000015169194a7726571756573741718d30000000000000019d300000000" +
			"0000001ad3000000000000001bd3000000000000001cd3000000000000001dd3000000000000001ed3000000000000001fc3" +
			"c3c0c0c2"},
		{"handover, hedged call", &handoverPart{State: gather.State{Calls: []gather.CallState{{Hedged: true}}}}, "93cf000000000000000094c0919bcf000000000000000000c0d30000000000000000d30000000000000000d3000000000000" +
			"0000d30000000000000000d30000000000000000d30000000000000000c3c2c0c0c2"},
		{"handover, targets and times", &handoverPart{Number: 32, State: gather.State{
			Targets: []gather.TargetState{{
				Service: "service", Incarnation: "incarnation", Name: "name", Address: "address", DataCentre: "dc",
				Replaced: true, Slowness: 1.5, Answered: true, DownUntil: 33, UnansweredCalls: 34, UnsuccessfulCalls: 35,
				Reserved: []gather.ReservedCapacity{{Bytes: 36, Until: 37}},
			}},
			Times: []gather.LearnedTimes{{
				Service: "timed", CallFactor: 2.5, Pieces: []gather.LearnedPieceTime{{Route: "route", Stage: 38, Factor: 3.5}},
			}},
		}}, "93cf000000000000002094c0c0919ca773657276696365ab696e6361726e6174696f6ea46e616d65a761646472657373a264" +
			"63c3cb3ff8000000000000c3d3000000000000002122239192d30000000000000024d300000000000000259193a574696d65" +
			"64cb40040000000000009193a5726f75746526cb400c000000000000c2"},
		{"handover, replaced target", &handoverPart{State: gather.State{Targets: []gather.TargetState{{Replaced: true}}}}, "93cf000000000000000094c0c0919ca0a0a0a0a0c3cb0000000000000000c2d300000000000000000000c0c0c2"},
		{"schedule of a handover", &schedulePart{Number: 44, State: gather.ScheduleState{
			Requests: []gather.ScheduledRequest{{ID: "id", Account: "account", Yields: true, KeyDelays: []time.Duration{45}}},
			Reservations: []gather.ReservationState{{
				Account: "account", Route: "route", Fingerprint: "fingerprint", Reserved: true, Rank: 4.5, Boosted: true, Due: 46, ToldAt: 47, ExpiresAt: 48,
				MaxRetryDelay: 49, Work: []gather.ReservedWorkState{{Service: "service", Pieces: 50, PieceTime: 51}},
			}},
		}}, "92cf000000000000002c929194a26964a76163636f756e74c391d3000000000000002d919ba76163636f756e74a5726f7574" +
			"65ab66696e6765727072696e74c3cb4012000000000000c3d3000000000000002ed3000000000000002fd300000000000000" +
			"30d300000000000000319193a77365727669636532d30000000000000033"},
		{"handover response", &handoverResponse{Accepted: true}, "91c3"},
		{"call end", &callEndReport{Call: 39, Outcome: uint8(gather.CallUnanswered), Results: []gather.PieceResult{
			{Handle: "handle", Failure: gather.PieceFailed},
		}}, "93cf0000000000000027cc039192a668616e646c65cc04"},
		{"caches", []placing.EngineCache{{
			Pool: "pool", Engine: "engine", Parts: []placing.Part{{ID: "part", Tokens: 40}},
		}}, "9193a4706f6f6ca6656e67696e659192a47061727428"},
		{"unreachable", &unreachableReport{Pool: "pool", Engine: "engine"}, "92a4706f6f6ca6656e67696e65"},
		{"request ends", []placing.RequestEnd{{Request: "request", Engine: "engine", FirstEvent: 41}}, "9193a772657175657374a6656e67696e65d30000000000000029"},
		{"request progress", []requestProgress{{
			Request: "request", Engine: "engine", FirstEvent: 52, Running: true, Duration: 53, Events: 54, Complete: true,
		}}, "9197a772657175657374a6656e67696e65d30000000000000034c3d3000000000000003536c3"},
		{"running requests", []placing.RunningRequest{{
			ID: "id", Pool: "pool", Engine: "engine", Route: "route", Account: "account", PromptTokens: 55, Uncached: 56, Age: 57, Began: true,
		}}, "9199a26964a4706f6f6ca6656e67696e65a5726f757465a76163636f756e743738d30000000000000039c3"},
		{"shorten", &shortenRequest{Remaining: 42, IDs: []string{"id1", "id2"}}, "92d3000000000000002a92a3696431a3696432"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body, err := encode(c.message)
			require.NoError(t, err)
			require.Equal(t, c.want, hex.EncodeToString(body))
		})
	}
	t.Run("schedule with an output estimate", func(t *testing.T) {
		body, err := encodeSchedule(&scheduleRequest{Account: "account"}, outputEstimate{Hint: 60, MaxOutput: 61})
		require.NoError(t, err)
		require.Equal(t, "9492949aa0a0a000c0d30000000000000000d30000000000000000d30000000000000000a000c2c2c094a0c000c0a7"+
			"6163636f756e74a0d30000000000000000"+"923c3d", hex.EncodeToString(body))
		var earlier scheduleRequest
		require.NoError(t, msgpack.Unmarshal(body, &earlier), "a decoder of an earlier version")
		require.Equal(t, "account", earlier.Account)
	})
	t.Run("drop", func(t *testing.T) {
		body, err := msgpack.Marshal([]string{"id1", "id2"})
		require.NoError(t, err)
		require.Equal(t, "92a3696431a3696432", hex.EncodeToString(body))
	})
}

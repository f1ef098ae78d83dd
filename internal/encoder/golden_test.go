package encoder_test

import (
	"flag"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/command/borrower"
	"github.com/hemlockport/hemlockport/internal/command/editor"
	"github.com/hemlockport/hemlockport/internal/command/replicator"
	"github.com/hemlockport/hemlockport/internal/comparer"
	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/internal/query/explainer"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/internal/query/timeliner"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/internal/standin/upstreamer"
	"github.com/hemlockport/hemlockport/internal/steerer"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/budgeter"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/command/recorder"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
	"github.com/hemlockport/hemlockport/pkg/query/locator"
	"github.com/hemlockport/hemlockport/pkg/query/merger"
	"github.com/hemlockport/hemlockport/pkg/query/watcher"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

var update = flag.Bool("update", false, "write the golden files again")

// The same instant as decoders of text and of CBOR return it.
var (
	moment = time.Date(2026, time.January, 2, 3, 4, 5, 0, time.UTC)
	unix   = time.Unix(moment.Unix(), 0)
)

// TestTexts holds the texts still that stand for constants in messages and stores.
func TestTexts(t *testing.T) {
	cases := []struct {
		got  string
		want string
	}{
		{
			got:  string(arbiter.UnknownService),
			want: "UnknownService",
		},
		{
			got:  string(arbiter.KeyMissing),
			want: "KeyMissing",
		},
		{
			got:  string(arbiter.KeyUnknown),
			want: "KeyUnknown",
		},
		{
			got:  string(arbiter.KeyWithdrawn),
			want: "KeyWithdrawn",
		},
		{
			got:  string(arbiter.KeyMoved),
			want: "KeyMoved",
		},
		{
			got:  string(arbiter.KeyExposed),
			want: "KeyExposed",
		},
		{
			got:  string(arbiter.KeyUnconfirmed),
			want: "KeyUnconfirmed",
		},
		{
			got:  string(arbiter.TeamNotAllowed),
			want: "TeamNotAllowed",
		},
		{
			got:  string(arbiter.TeamOverRate),
			want: "TeamOverRate",
		},
		{
			got:  string(arbiter.RequestAborted),
			want: "RequestAborted",
		},
		{
			got:  string(arbiter.InstanceStopping),
			want: "InstanceStopping",
		},
		{
			got:  string(arbiter.NoRoom),
			want: "NoRoom",
		},
		{
			got:  string(arbiter.NotReady),
			want: "NotReady",
		},
		{
			got:  string(arbiter.InstanceFull),
			want: "InstanceFull",
		},
		{
			got:  string(arbiter.RequestMalformed),
			want: "RequestMalformed",
		},
		{
			got:  string(arbiter.RequestTruncated),
			want: "RequestTruncated",
		},
		{
			got:  string(arbiter.DeadlineExceeded),
			want: "DeadlineExceeded",
		},
		{
			got:  string(arbiter.CallerGone),
			want: "CallerGone",
		},
		{
			got:  string(arbiter.UpstreamUnreached),
			want: "UpstreamUnreached",
		},
		{
			got:  string(arbiter.ConnectionEnded),
			want: "ConnectionEnded",
		},
		{
			got:  string(arbiter.UpstreamShed),
			want: "UpstreamShed",
		},
		{
			got:  string(arbiter.UpstreamBroken),
			want: "UpstreamBroken",
		},
		{
			got:  string(arbiter.AnswerMalformed),
			want: "AnswerMalformed",
		},
		{
			got:  string(arbiter.UpstreamFailed),
			want: "UpstreamFailed",
		},
		{
			got:  string(arbiter.UpstreamReplaced),
			want: "UpstreamReplaced",
		},
		{
			got:  string(arbiter.NotRunUnproved),
			want: "NotRunUnproved",
		},
		{
			got:  string(arbiter.BodyRead),
			want: "BodyRead",
		},
		{
			got:  string(arbiter.AnswerBroken),
			want: "AnswerBroken",
		},
		{
			got:  arbiter.MayHaveRun.String(),
			want: "MayHaveRun",
		},
		{
			got:  arbiter.NotRun.String(),
			want: "NotRun",
		},
		{
			got:  arbiter.Ran.String(),
			want: "Ran",
		},
		{
			got:  string(linker.KindHeartbeat),
			want: "Beat",
		},
		{
			got:  string(linker.KindCall),
			want: "Ask",
		},
		{
			got:  string(linker.KindSend),
			want: "Tell",
		},
		{
			got:  string(linker.KindAnswer),
			want: "Answer",
		},
		{
			got:  string(declarer.KindPlace),
			want: "Place",
		},
		{
			got:  string(declarer.KindService),
			want: "Service",
		},
		{
			got:  string(declarer.KindTeam),
			want: "Team",
		},
		{
			got:  string(declarer.KindKey),
			want: "Key",
		},
		{
			got:  string(declarer.KindVersion),
			want: "Version",
		},
		{
			got:  string(declarer.KindMove),
			want: "Move",
		},
		{
			got:  string(declarer.KindRoute),
			want: "Route",
		},
		{
			got:  string(declarer.ByMethod),
			want: "ByMethod",
		},
		{
			got:  string(declarer.Always),
			want: "Always",
		},
		{
			got:  string(declarer.Never),
			want: "Never",
		},
		{
			got:  string(mover.Running),
			want: "Running",
		},
		{
			got:  string(mover.Done),
			want: "Done",
		},
		{
			got:  string(mover.TakenBack),
			want: "TakenBack",
		},
		{
			got:  string(editor.Accepted),
			want: "Accepted",
		},
		{
			got:  string(editor.Refused),
			want: "Refused",
		},
		{
			got:  string(budgeter.Read),
			want: "read",
		},
		{
			got:  string(budgeter.Write),
			want: "write",
		},
		{
			got:  string(budgeter.Watch),
			want: "watch",
		},
		{
			got:  admitter.Live.String(),
			want: "Live",
		},
		{
			got:  admitter.Suspect.String(),
			want: "Suspect",
		},
		{
			got:  admitter.Leaving.String(),
			want: "Leaving",
		},
		{
			got:  configurer.AdapterOwn,
			want: "Own",
		},
		{
			got:  configurer.AdapterThimblegate,
			want: "Thimblegate",
		},
		{
			got:  publisher.HeadName,
			want: "Config/Head",
		},
		{
			got:  editor.SpecPrefix,
			want: "Specs/",
		},
		{
			got:  editor.StatusPrefix,
			want: "Status/",
		},
	}
	known := map[string]bool{}
	for _, c := range cases {
		known[c.got] = true
		if c.got != c.want {
			t.Errorf("the text is %q, want %q", c.got, c.want)
		}
	}
	for _, reason := range arbiter.Reasons() {
		if !known[string(reason)] {
			t.Errorf("reason %q is not in the table", reason)
		}
	}
}

// TestVerdicts holds still how verdicts are written and read.
func TestVerdicts(t *testing.T) {
	cases := []struct {
		verdict arbiter.Verdict
		text    string
	}{
		{
			verdict: arbiter.MayHaveRun,
			text:    "MayHaveRun",
		},
		{
			verdict: arbiter.NotRun,
			text:    "NotRun",
		},
		{
			verdict: arbiter.Ran,
			text:    "Ran",
		},
	}
	for _, c := range cases {
		written, err := c.verdict.MarshalText()
		if err != nil || string(written) != c.text {
			t.Errorf("verdict %d is written as %q with error %v, want %q", c.verdict, written, err, c.text)
		}
		if read := arbiter.ParseVerdict(c.text); read != c.verdict {
			t.Errorf("%q is read as %v, want %v", c.text, read, c.verdict)
		}
	}
}

// TestEncodingsMatchGoldenFiles checks that the encodings which other processes, callers
// and stores read have not changed. After an intended change, go test ./internal/encoder
// -run TestEncodingsMatchGoldenFiles -update writes the golden files again.
func TestEncodingsMatchGoldenFiles(t *testing.T) {
	cases := []comparer.Case{
		comparer.NewCase("frame.cbor", encoder.CBOR[linker.Frame]{}, linker.Frame{
			Kind:  linker.KindCall,
			ID:    2,
			Stamp: 3,
			Topic: "topic",
			Fault: "fault",
			Body:  []byte("body"),
		}),
		comparer.NewCase("beat.cbor", encoder.CBOR[linker.Heartbeat]{}, linker.Heartbeat{
			Revision:  2,
			Roster:    3,
			AgeMillis: 4,
			Leaving:   true,
			Feeds: [5]uint64{
				7,
				8,
				9,
				10,
				11,
			},
			StoreLost:   true,
			EveryMillis: 13,
			Seatless:    true,
		}).WithSparse(),
		comparer.NewCase("beat-era.cbor", encoder.CBOR[linker.Heartbeat]{}, linker.Heartbeat{
			Revision:  2,
			Roster:    3,
			AgeMillis: 4,
			Leaving:   true,
			Feeds: [5]uint64{
				7,
				8,
				9,
				10,
				11,
			},
			Eras: [5]uint64{
				14,
				15,
				16,
				17,
				18,
			},
			StoreLost:   true,
			EveryMillis: 13,
			Seatless:    true,
		}).WithSparse(),
		comparer.NewCase("beat-saturated.cbor", encoder.CBOR[linker.Heartbeat]{}, linker.Heartbeat{
			Revision:  2,
			Roster:    3,
			AgeMillis: 4,
			Leaving:   true,
			Feeds: [5]uint64{
				7,
				8,
				9,
				10,
				11,
			},
			Eras: [5]uint64{
				14,
				15,
				16,
				17,
				18,
			},
			StoreLost:   true,
			EveryMillis: 13,
			Seatless:    true,
			Saturated:   true,
		}),
		comparer.NewCase("member.cbor", encoder.CBOR[registrar.Member]{}, registrar.Member{
			Incarnation:   "incarnation",
			Name:          "name",
			Place:         "place",
			SeatPlace:     "seat place",
			Seat:          6,
			CallerAddress: "caller address",
			PeerAddress:   "peer address",
			Listed:        true,
			Leaving:       true,
		}).WithSparse(),
		comparer.NewCase("member-capacity.cbor", encoder.CBOR[registrar.Member]{}, registrar.Member{
			Incarnation:   "incarnation",
			Name:          "name",
			Place:         "place",
			SeatPlace:     "seat place",
			Seat:          6,
			CallerAddress: "caller address",
			PeerAddress:   "peer address",
			Listed:        true,
			Leaving:       true,
			Capacity: registrar.Capacity{
				Cores:       0.5,
				LinkMbits:   11,
				MemoryMB:    12,
				Descriptors: 13,
			},
		}),
		comparer.NewCase("vacant.cbor", encoder.CBOR[registrar.Member]{}, registrar.Vacant(registrar.Seat{
			Place:  "place",
			Number: 2,
		})).WithSparse(),
		comparer.NewCase("members.cbor", encoder.CBOR[[]registrar.Member]{}, []registrar.Member{
			{
				Incarnation:   "incarnation",
				Name:          "name",
				Place:         "place",
				SeatPlace:     "seat place",
				Seat:          6,
				CallerAddress: "caller address",
				PeerAddress:   "peer address",
				Listed:        true,
				Leaving:       true,
			},
		}).WithSparse(),
		comparer.NewCase("ask.cbor", encoder.CBOR[borrower.Ask]{}, borrower.Ask{
			Number:         2,
			Resource:       "resource",
			Units:          4,
			PatienceMillis: 5,
		}),
		comparer.NewCase("grant.cbor", encoder.CBOR[borrower.Grant]{}, borrower.Grant{
			Units: 2,
		}),
		comparer.NewCase("settlements.cbor", encoder.CBOR[[]borrower.Settlement]{}, []borrower.Settlement{
			{
				Number:   3,
				Resource: "resource",
				Unused:   5,
			},
		}),
		comparer.NewCase("settled.cbor", encoder.CBOR[borrower.Settled]{}, borrower.Settled{
			Loans: 2,
		}),
		comparer.NewCase("events.cbor", encoder.CBOR[[]recorder.Event]{}, []recorder.Event{
			{
				At:      3,
				Process: "process",
				Kind:    "kind",
				Object:  "object",
				Detail:  "detail",
			},
		}),
		comparer.NewCase("taken.cbor", encoder.CBOR[replicator.Acknowledgement]{}, replicator.Acknowledgement{
			Events: 2,
		}),
		comparer.NewCase("filter.cbor", encoder.CBOR[merger.Filter]{}, merger.Filter{
			Process: "process",
			Object:  "object",
			Since:   unix,
		}),
		comparer.NewCase("head.cbor", encoder.CBOR[publisher.Head]{}, publisher.Head{
			Revision: 2,
			Chunks: []string{
				"chunks1",
				"chunks2",
			},
			AcceptedMillis: 6,
			By:             "by",
		}),
		comparer.NewCase("bundle.cbor", encoder.CBOR[publisher.Bundle]{}, publisher.Bundle{
			Head: publisher.Head{
				Revision: 3,
				Chunks: []string{
					"chunks1",
					"chunks2",
				},
				AcceptedMillis: 7,
				By:             "by",
			},
			Document: declarer.Document{
				Place: []declarer.Place{
					{
						Name:   "name",
						Region: "region",
						Seats:  14,
						ClientBlocks: []string{
							"client blocks1",
							"client blocks2",
						},
						Links: []declarer.Link{
							{
								Region:         "region",
								LatencyMillis:  21,
								BytesPerSecond: 22,
							},
						},
						Evacuated: true,
					},
				},
				Service: []declarer.Service{
					{
						Name: "name",
						Hosts: []string{
							"hosts1",
							"hosts2",
						},
						Version:       "version",
						TimeoutMillis: 31,
						Registered:    true,
						Connections:   33,
						ColdPerSecond: 34.5,
						ColdMillis:    35,
						Routes: []declarer.PathRule{
							{
								Prefix:      "prefix",
								Open:        true,
								Idempotence: declarer.Always,
							},
						},
					},
				},
				Team: []declarer.Team{
					{
						Name:          "name",
						RatePerSecond: 43.5,
						Burst:         44,
						Services: []string{
							"services1",
							"services2",
						},
						Homes: []string{
							"homes1",
							"homes2",
						},
						Urgent:              true,
						Priority:            52,
						KeysStopAfterMillis: 53,
					},
				},
				Key: []declarer.Key{
					{
						Name:      "name",
						Team:      "team",
						Hash:      "hash",
						Withdrawn: true,
					},
				},
				Version: []declarer.Version{
					{
						Name:    "name",
						Service: "service",
						Upstreams: []declarer.Upstream{
							{
								Name:          "name",
								Incarnation:   "incarnation",
								Place:         "place",
								Address:       "address",
								Slots:         70,
								Connections:   71,
								Leaving:       true,
								ColdUntil:     unix,
								ColdPerSecond: 73.5,
								ColdMillis:    74,
							},
						},
					},
				},
				Move: []declarer.Move{
					{
						Name:          "name",
						Service:       "service",
						From:          "from",
						To:            "to",
						Deadline:      unix,
						Share:         81.5,
						CanaryPercent: 82.5,
					},
				},
				Route: []declarer.Route{
					{
						Name:   "name",
						Host:   "host",
						Prefix: "prefix",
						Backends: []declarer.Backend{
							{
								Service: "service",
								Weight:  91,
							},
						},
						Idempotence:     declarer.Always,
						TimeoutMillis:   92,
						ObjectiveMillis: 93,
						Priority:        94,
						Attempts:        95,
						Open:            true,
						Sticky:          true,
						Homes: []string{
							"homes1",
							"homes2",
						},
					},
				},
			},
		}),
		comparer.NewCase("document.cbor", encoder.CBOR[declarer.Document]{}, declarer.Document{
			Place: []declarer.Place{
				{
					Name:   "name",
					Region: "region",
					Seats:  6,
					ClientBlocks: []string{
						"client blocks1",
						"client blocks2",
					},
					Links: []declarer.Link{
						{
							Region:         "region",
							LatencyMillis:  13,
							BytesPerSecond: 14,
						},
					},
					Evacuated: true,
				},
			},
			Service: []declarer.Service{
				{
					Name: "name",
					Hosts: []string{
						"hosts1",
						"hosts2",
					},
					Version:       "version",
					TimeoutMillis: 23,
					Registered:    true,
					Connections:   25,
					ColdPerSecond: 26.5,
					ColdMillis:    27,
					Routes: []declarer.PathRule{
						{
							Prefix:      "prefix",
							Open:        true,
							Idempotence: declarer.Always,
						},
					},
				},
			},
			Team: []declarer.Team{
				{
					Name:          "name",
					RatePerSecond: 35.5,
					Burst:         36,
					Services: []string{
						"services1",
						"services2",
					},
					Homes: []string{
						"homes1",
						"homes2",
					},
					Urgent:              true,
					Priority:            44,
					KeysStopAfterMillis: 45,
				},
			},
			Key: []declarer.Key{
				{
					Name:      "name",
					Team:      "team",
					Hash:      "hash",
					Withdrawn: true,
				},
			},
			Version: []declarer.Version{
				{
					Name:    "name",
					Service: "service",
					Upstreams: []declarer.Upstream{
						{
							Name:          "name",
							Incarnation:   "incarnation",
							Place:         "place",
							Address:       "address",
							Slots:         62,
							Connections:   63,
							Leaving:       true,
							ColdUntil:     unix,
							ColdPerSecond: 65.5,
							ColdMillis:    66,
						},
					},
				},
			},
			Move: []declarer.Move{
				{
					Name:          "name",
					Service:       "service",
					From:          "from",
					To:            "to",
					Deadline:      unix,
					Share:         73.5,
					CanaryPercent: 74.5,
				},
			},
			Route: []declarer.Route{
				{
					Name:   "name",
					Host:   "host",
					Prefix: "prefix",
					Backends: []declarer.Backend{
						{
							Service: "service",
							Weight:  83,
						},
					},
					Idempotence:     declarer.Always,
					TimeoutMillis:   84,
					ObjectiveMillis: 85,
					Priority:        86,
					Attempts:        87,
					Open:            true,
					Sticky:          true,
					Homes: []string{
						"homes1",
						"homes2",
					},
				},
			},
		}),
		comparer.NewCase("since.cbor", encoder.CBOR[steerer.DeltaRequest]{}, steerer.DeltaRequest{
			Revision: 2,
		}).WithSparse(),
		comparer.NewCase("since-era.cbor", encoder.CBOR[steerer.DeltaRequest]{}, steerer.DeltaRequest{
			Revision: 2,
			Era:      3,
		}),
		comparer.NewCase("delta.cbor", encoder.CBOR[watcher.Delta[[]byte]]{}, watcher.Delta[[]byte]{
			After:    2,
			Revision: 3,
			Objects: []storer.Object[[]byte]{
				{
					Name:     "name",
					Revision: 7,
					Value:    []byte("value"),
				},
			},
			Removed: []string{
				"removed1",
				"removed2",
			},
		}).WithSparse(),
		comparer.NewCase("delta-era.cbor", encoder.CBOR[watcher.Delta[[]byte]]{}, watcher.Delta[[]byte]{
			Era:      4,
			After:    2,
			Revision: 3,
			Objects: []storer.Object[[]byte]{
				{
					Name:     "name",
					Revision: 7,
					Value:    []byte("value"),
				},
			},
			Removed: []string{
				"removed1",
				"removed2",
			},
		}).WithSparse(),
		comparer.NewCase("delta-gap.cbor", encoder.CBOR[watcher.Delta[[]byte]]{}, watcher.Delta[[]byte]{
			Era:      4,
			After:    2,
			Revision: 3,
			Objects: []storer.Object[[]byte]{
				{
					Name:     "name",
					Revision: 7,
					Value:    []byte("value"),
				},
			},
			Removed: []string{
				"removed1",
				"removed2",
			},
			Gap: true,
		}),
		comparer.NewCase("nothing.cbor", encoder.CBOR[reporter.Empty]{}, reporter.Empty{}),
		comparer.NewCase("editor-status.json", encoder.JSON[editor.Status]{}, editor.Status{
			State:        editor.Refused,
			Revision:     2,
			SpecRevision: 3,
			Faults: []checker.Fault{
				{
					Object: "object",
					Field:  "field",
					Value:  "value",
					Rule:   "rule",
				},
			},
		}),
		comparer.NewCase("change.json", encoder.JSON[publisher.Change]{}, publisher.Change{
			Document: declarer.Document{
				Place: []declarer.Place{
					{
						Name:   "name",
						Region: "region",
						Seats:  7,
						ClientBlocks: []string{
							"client blocks1",
							"client blocks2",
						},
						Links: []declarer.Link{
							{
								Region:         "region",
								LatencyMillis:  14,
								BytesPerSecond: 15,
							},
						},
						Evacuated: true,
					},
				},
				Service: []declarer.Service{
					{
						Name: "name",
						Hosts: []string{
							"hosts1",
							"hosts2",
						},
						Version:       "version",
						TimeoutMillis: 24,
						Registered:    true,
						Connections:   26,
						ColdPerSecond: 27.5,
						ColdMillis:    28,
						Routes: []declarer.PathRule{
							{
								Prefix:      "prefix",
								Open:        true,
								Idempotence: declarer.Always,
							},
						},
					},
				},
				Team: []declarer.Team{
					{
						Name:          "name",
						RatePerSecond: 36.5,
						Burst:         37,
						Services: []string{
							"services1",
							"services2",
						},
						Homes: []string{
							"homes1",
							"homes2",
						},
						Urgent:              true,
						Priority:            45,
						KeysStopAfterMillis: 46,
					},
				},
				Key: []declarer.Key{
					{
						Name:      "name",
						Team:      "team",
						Hash:      "hash",
						Withdrawn: true,
					},
				},
				Version: []declarer.Version{
					{
						Name:    "name",
						Service: "service",
						Upstreams: []declarer.Upstream{
							{
								Name:          "name",
								Incarnation:   "incarnation",
								Place:         "place",
								Address:       "address",
								Slots:         63,
								Connections:   64,
								Leaving:       true,
								ColdUntil:     moment,
								ColdPerSecond: 66.5,
								ColdMillis:    67,
							},
						},
					},
				},
				Move: []declarer.Move{
					{
						Name:          "name",
						Service:       "service",
						From:          "from",
						To:            "to",
						Deadline:      moment,
						Share:         74.5,
						CanaryPercent: 75.5,
					},
				},
				Route: []declarer.Route{
					{
						Name:   "name",
						Host:   "host",
						Prefix: "prefix",
						Backends: []declarer.Backend{
							{
								Service: "service",
								Weight:  84,
							},
						},
						Idempotence:     declarer.Always,
						TimeoutMillis:   85,
						ObjectiveMillis: 86,
						Priority:        87,
						Attempts:        88,
						Open:            true,
						Sticky:          true,
						Homes: []string{
							"homes1",
							"homes2",
						},
					},
				},
			},
			Remove: []declarer.Reference{
				{
					Kind: declarer.KindTeam,
					Name: "name",
				},
			},
			Withdraw: []string{
				"withdraw1",
				"withdraw2",
			},
			Prune:      true,
			IfRevision: 101,
			By:         "by",
			Above:      103,
			AtMillis:   104,
		}),
		comparer.NewCase("accepted.json", encoder.JSON[publisher.Accepted]{}, publisher.Accepted{
			Revision:  2,
			Unchanged: true,
			Objects:   4,
		}),
		comparer.NewCase("faults.json", encoder.JSON[[]checker.Fault]{}, []checker.Fault{
			{
				Object: "object",
				Field:  "field",
				Value:  "value",
				Rule:   "rule",
			},
		}),
		comparer.NewCase("fault.json", encoder.JSON[responder.ErrorBody]{}, responder.ErrorBody{
			Error: "error",
			Faults: []checker.Fault{
				{
					Object: "object",
					Field:  "field",
					Value:  "value",
					Rule:   "rule",
				},
			},
		}),
		comparer.NewCase("health.json", encoder.JSON[responder.Health]{}, responder.Health{
			Incarnation: "incarnation",
			Leaving:     true,
		}),
		comparer.NewCase("located.json", encoder.JSON[receiver.LookupAnswer]{}, receiver.LookupAnswer{
			Entries: []locator.Entry{
				{
					Address:     "address",
					Place:       "place",
					Incarnation: "incarnation",
				},
			},
			ValidUntil: moment,
			Revision:   7,
		}),
		comparer.NewCase("refused.json", encoder.JSON[translator.RefusalBody]{}, translator.RefusalBody{
			Verdict: arbiter.NotRun,
			Reason:  arbiter.UpstreamShed,
			Detail:  "detail",
			RetryAt: moment,
		}),
		comparer.NewCase("instances.json", encoder.JSON[[]storer.Instance]{}, []storer.Instance{
			{
				Incarnation: "incarnation",
				Leaving:     true,
			},
		}),
		comparer.NewCase("object.json", encoder.JSON[storer.Object[[]byte]]{}, storer.Object[[]byte]{
			Name:     "name",
			Revision: 3,
			Value:    []byte("value"),
		}),
		comparer.NewCase("changes.json", encoder.JSON[storer.Changes[[]byte]]{}, storer.Changes[[]byte]{
			Revision: 2,
			Objects: []storer.Object[[]byte]{
				{
					Name:     "name",
					Revision: 6,
					Value:    []byte("value"),
				},
			},
			Removed: []string{
				"removed1",
				"removed2",
			},
		}).WithSparse(),
		comparer.NewCase("changes-era.json", encoder.JSON[storer.Changes[[]byte]]{}, storer.Changes[[]byte]{
			Era:      5,
			Revision: 2,
			Objects: []storer.Object[[]byte]{
				{
					Name:     "name",
					Revision: 6,
					Value:    []byte("value"),
				},
			},
			Removed: []string{
				"removed1",
				"removed2",
			},
		}),
		comparer.NewCase("objects.json", encoder.JSON[reporter.Objects]{}, reporter.Objects{
			Revision: 2,
			Document: declarer.Document{
				Place: []declarer.Place{
					{
						Name:   "name",
						Region: "region",
						Seats:  8,
						ClientBlocks: []string{
							"client blocks1",
							"client blocks2",
						},
						Links: []declarer.Link{
							{
								Region:         "region",
								LatencyMillis:  15,
								BytesPerSecond: 16,
							},
						},
						Evacuated: true,
					},
				},
				Service: []declarer.Service{
					{
						Name: "name",
						Hosts: []string{
							"hosts1",
							"hosts2",
						},
						Version:       "version",
						TimeoutMillis: 25,
						Registered:    true,
						Connections:   27,
						ColdPerSecond: 28.5,
						ColdMillis:    29,
						Routes: []declarer.PathRule{
							{
								Prefix:      "prefix",
								Open:        true,
								Idempotence: declarer.Always,
							},
						},
					},
				},
				Team: []declarer.Team{
					{
						Name:          "name",
						RatePerSecond: 37.5,
						Burst:         38,
						Services: []string{
							"services1",
							"services2",
						},
						Homes: []string{
							"homes1",
							"homes2",
						},
						Urgent:              true,
						Priority:            46,
						KeysStopAfterMillis: 47,
					},
				},
				Key: []declarer.Key{
					{
						Name:      "name",
						Team:      "team",
						Hash:      "hash",
						Withdrawn: true,
					},
				},
				Version: []declarer.Version{
					{
						Name:    "name",
						Service: "service",
						Upstreams: []declarer.Upstream{
							{
								Name:          "name",
								Incarnation:   "incarnation",
								Place:         "place",
								Address:       "address",
								Slots:         64,
								Connections:   65,
								Leaving:       true,
								ColdUntil:     moment,
								ColdPerSecond: 67.5,
								ColdMillis:    68,
							},
						},
					},
				},
				Move: []declarer.Move{
					{
						Name:          "name",
						Service:       "service",
						From:          "from",
						To:            "to",
						Deadline:      moment,
						Share:         75.5,
						CanaryPercent: 76.5,
					},
				},
				Route: []declarer.Route{
					{
						Name:   "name",
						Host:   "host",
						Prefix: "prefix",
						Backends: []declarer.Backend{
							{
								Service: "service",
								Weight:  85,
							},
						},
						Idempotence:     declarer.Always,
						TimeoutMillis:   86,
						ObjectiveMillis: 87,
						Priority:        88,
						Attempts:        89,
						Open:            true,
						Sticky:          true,
						Homes: []string{
							"homes1",
							"homes2",
						},
					},
				},
			},
		}),
		comparer.NewCase("status.json", encoder.JSON[reporter.Status]{}, reporter.Status{
			Name:           "name",
			Incarnation:    "incarnation",
			Place:          "place",
			Seat:           5,
			Leaving:        true,
			Revision:       7,
			InForceSince:   moment,
			StoreLostSince: moment,
			ConfirmedAt:    moment,
			InFlight:       8,
			Peers: []reporter.PeerStatus{
				{
					Name:          "name",
					Place:         "place",
					CallerAddress: "caller address",
					Linked:        true,
					Leaving:       true,
					Revision:      16,
					ConfirmedAt:   moment,
				},
			},
			Upstreams: []reporter.UpstreamStatus{
				{
					Name:    "name",
					Place:   "place",
					Address: "address",
					Health:  "health",
					InUse:   23,
					Slots:   24,
				},
			},
		}),
		comparer.NewCase("timeline.json", encoder.JSON[timeliner.Timeline]{}, timeliner.Timeline{
			Events: []recorder.Event{
				{
					At:      4,
					Process: "process",
					Kind:    "kind",
					Object:  "object",
					Detail:  "detail",
				},
			},
			Missing: []string{
				"missing1",
				"missing2",
			},
		}),
		comparer.NewCase("explanation.json", encoder.JSON[explainer.Explanation]{}, explainer.Explanation{
			Request: "request",
			Found:   true,
			Ends: []explainer.Line{
				{
					Time:        moment,
					Message:     "message",
					Instance:    "instance",
					Request:     "request",
					Route:       "route",
					Service:     "service",
					Team:        "team",
					Upstream:    "upstream",
					Peer:        "peer",
					Attempts:    14,
					Status:      15,
					Revision:    16,
					TookMillis:  17,
					LimitMillis: 18,
					Verdict:     "verdict",
					Reason:      arbiter.UpstreamShed,
					Detail:      "detail",
					Cause:       "cause",

					Queue:               "queue",
					Priority:            31,
					WaitedMillis:        32,
					Ahead:               33,
					ExpectedMillis:      34,
					LevelShare:          35.5,
					Rank:                41,
					Copies:              42,
					ExpectedTime:        43.5,
					RefusedCopies:       44,
					RefusedExpectedTime: 45.5,
					CallerStatus:        46,
					Failures: []explainer.Failure{
						{
							Upstream:    "upstream",
							AfterMillis: 47,
							TookMillis:  48,
							Status:      49,
							Reason:      arbiter.UpstreamReplaced,
							Verdict:     "verdict",
							Detail:      "detail",
						},
					},
				},
			},
			Beliefs: []explainer.Belief{
				{
					Instance:  "instance",
					Message:   "message",
					Revision:  26,
					Subject:   "subject",
					AgeMillis: 28,
				},
			},
			Cause:   "cause",
			Foreign: 30,
		}),
		comparer.NewCase("line.json", encoder.JSON[explainer.Line]{}, explainer.Line{
			Time:        moment,
			Message:     "message",
			Instance:    "instance",
			Request:     "request",
			Route:       "route",
			Service:     "service",
			Team:        "team",
			Upstream:    "upstream",
			Peer:        "peer",
			Attempts:    10,
			Status:      11,
			Revision:    12,
			TookMillis:  13,
			LimitMillis: 14,
			Verdict:     "verdict",
			Reason:      arbiter.UpstreamShed,
			Detail:      "detail",
			Cause:       "cause",

			Queue:               "queue",
			Priority:            20,
			WaitedMillis:        21,
			Ahead:               22,
			ExpectedMillis:      23,
			LevelShare:          24.5,
			Rank:                41,
			Copies:              42,
			ExpectedTime:        43.5,
			RefusedCopies:       44,
			RefusedExpectedTime: 45.5,
			CallerStatus:        46,
			Failures: []explainer.Failure{
				{
					Upstream:    "upstream",
					AfterMillis: 47,
					TookMillis:  48,
					Status:      49,
					Reason:      arbiter.UpstreamReplaced,
					Verdict:     "verdict",
					Detail:      "detail",
				},
			},
		}),
		comparer.NewCase("keeper-faults.json", encoder.JSON[memstorer.Faults]{}, memstorer.Faults{
			Down:        true,
			DelayMillis: 3,
			LoseAnswers: 4,
		}),
		comparer.NewCase("keeper-calls.json", encoder.JSON[memstorer.Calls]{}, memstorer.Calls{
			Reads:   2,
			Writes:  3,
			Watches: 4,
			WatchesOf: map[string]int{
				"watches of name": 7,
			},
		}),
		comparer.NewCase("upstream-faults.json", encoder.JSON[upstreamer.Faults]{}, upstreamer.Faults{
			Fail:       true,
			Shed:       true,
			Leaving:    true,
			Silent:     true,
			Truncate:   true,
			DropBefore: true,
			DropAfter:  true,
			SlowMillis: 9,
			BadRoute:   "bad route",
		}),
		comparer.NewCase("upstream-health.json", encoder.JSON[upstreamer.Health]{}, upstreamer.Health{
			State: "state",
			InUse: 3,
			Slots: 4,
		}),
		comparer.NewCase("upstream-runs.json", encoder.JSON[map[string]int]{}, map[string]int{
			"run": 2,
		}),
		comparer.NewCase("settings.json", encoder.JSON[configurer.Settings]{}, configurer.Settings{
			Name:  "name",
			Place: "place",
			Places: []configurer.Place{
				{
					Name:   "name",
					Region: "region",
				},
			},
			Callers: configurer.Callers{
				Listen:          "listen",
				CertificateFile: "certificate file",
				KeyFile:         "key file",
				MaxInFlight:     12,
				MaxHeaderBytes:  13,
				HeaderMillis:    14,
				IdleMillis:      15,
				FinishMillis:    16,
			},
			Peers: configurer.Peers{
				Listen:     "listen",
				Secret:     "secret",
				SecretFile: "secret file",
				Seeds: []string{
					"seeds1",
					"seeds2",
				},
				CertificateFile: "certificate file",
				KeyFile:         "key file",
				AuthorityFile:   "authority file",
			},
			Operators: configurer.Operators{
				Listen:          "listen",
				KeyHash:         "key hash",
				CertificateFile: "certificate file",
				KeyFile:         "key file",
			},
			Platform: configurer.Platform{
				Adapter:         "adapter",
				Address:         "address",
				Token:           "token",
				TokenFile:       "token file",
				ReadsPerSecond:  37.5,
				WritesPerSecond: 38.5,
			},
			Upstreams: configurer.Upstreams{
				ProbeMillis:    40,
				DialMillis:     41,
				MaxConnections: 42,
				IdleMillis:     43,
				LapseMillis:    44,
			},
			Moves: configurer.Moves{
				SlowExcess: 45.5,
			},
			Retries: configurer.Retries{
				Attempts: 46,
				Ratio:    47.5,
				Reserve:  48,
				Slack:    57,
			},
			Lookups: configurer.Lookups{
				ValidMillis: 50,
				Listen:      "listen",
			},
			Drain: configurer.Drain{
				GraceMillis: 53,
				LimitMillis: 54,
				KillSeconds: 55.5,
			},
			Log: configurer.Log{
				Level: "level",
				Form:  "form",
			},
			Readiness: configurer.Readiness{
				Listen: "listen",
			},
			Placing: configurer.Placing{
				OtherPlace:  61.5,
				OtherRegion: 62.5,
				Choices:     63,
				FreeLoad:    64.5,
				LoadWeight:  65.5,

				ShiftPerWindow: 66.5,
			},
			Affinity: configurer.Affinity{
				ObjectsPerUpstream: 68,
				MaxCopies:          69,
				CountedObjects:     70,
			},
			Teams: configurer.Teams{
				Slack: 67,
			},
			Capacity: configurer.Capacity{
				Cores:       71.5,
				LinkMbits:   72.5,
				MemoryMB:    73.5,
				Descriptors: 74.5,
			},
			Machine: configurer.Machine{
				MemoryMB:          1.5,
				MemorySource:      "memory source",
				Descriptors:       2.5,
				DescriptorsSource: "descriptors source",
			},
			Duty: configurer.Duty{
				Address:        "address",
				WindowSeconds:  68.5,
				LateSeconds:    69.5,
				LeaseMillis:    70,
				CallsPerSecond: 71.5,
				Names:          []string{"names1", "names2"},
			},
			Queue: configurer.Queue{
				On:        true,
				Longest:   80,
				WaitShare: 81.5,
				Level:     true,
			},
		}),
		comparer.NewCase("settings.toml", encoder.TOML[configurer.Settings]{}, configurer.Settings{
			Name:  "name",
			Place: "place",
			Places: []configurer.Place{
				{
					Name:   "name",
					Region: "region",
				},
			},
			Callers: configurer.Callers{
				Listen:          "listen",
				CertificateFile: "certificate file",
				KeyFile:         "key file",
				MaxInFlight:     12,
				MaxHeaderBytes:  13,
				HeaderMillis:    14,
				IdleMillis:      15,
				FinishMillis:    16,
			},
			Peers: configurer.Peers{
				Listen:     "listen",
				Secret:     "secret",
				SecretFile: "secret file",
				Seeds: []string{
					"seeds1",
					"seeds2",
				},
				CertificateFile: "certificate file",
				KeyFile:         "key file",
				AuthorityFile:   "authority file",
			},
			Operators: configurer.Operators{
				Listen:          "listen",
				KeyHash:         "key hash",
				CertificateFile: "certificate file",
				KeyFile:         "key file",
			},
			Platform: configurer.Platform{
				Adapter:         "adapter",
				Address:         "address",
				Token:           "token",
				TokenFile:       "token file",
				ReadsPerSecond:  37.5,
				WritesPerSecond: 38.5,
			},
			Upstreams: configurer.Upstreams{
				ProbeMillis:    40,
				DialMillis:     41,
				MaxConnections: 42,
				IdleMillis:     43,
				LapseMillis:    44,
			},
			Moves: configurer.Moves{
				SlowExcess: 45.5,
			},
			Retries: configurer.Retries{
				Attempts: 46,
				Ratio:    47.5,
				Reserve:  48,
				Slack:    57,
			},
			Lookups: configurer.Lookups{
				ValidMillis: 50,
				Listen:      "listen",
			},
			Drain: configurer.Drain{
				GraceMillis: 53,
				LimitMillis: 54,
				KillSeconds: 55.5,
			},
			Log: configurer.Log{
				Level: "level",
				Form:  "form",
			},
			Readiness: configurer.Readiness{
				Listen: "listen",
			},
			Placing: configurer.Placing{
				OtherPlace:  61.5,
				OtherRegion: 62.5,
				Choices:     63,
				FreeLoad:    64.5,
				LoadWeight:  65.5,

				ShiftPerWindow: 66.5,
			},
			Affinity: configurer.Affinity{
				ObjectsPerUpstream: 68,
				MaxCopies:          69,
				CountedObjects:     70,
			},
			Teams: configurer.Teams{
				Slack: 67,
			},
			Capacity: configurer.Capacity{
				Cores:       71.5,
				LinkMbits:   72.5,
				MemoryMB:    73.5,
				Descriptors: 74.5,
			},
			Machine: configurer.Machine{
				MemoryMB:          1.5,
				MemorySource:      "memory source",
				Descriptors:       2.5,
				DescriptorsSource: "descriptors source",
			},
			Duty: configurer.Duty{
				Address:        "address",
				WindowSeconds:  68.5,
				LateSeconds:    69.5,
				LeaseMillis:    70,
				CallsPerSecond: 71.5,
				Names:          []string{"names1", "names2"},
			},
			Queue: configurer.Queue{
				On:        true,
				Longest:   80,
				WaitShare: 81.5,
				Level:     true,
			},
		}),
		comparer.NewCase("document.toml", encoder.TOML[declarer.Document]{}, declarer.Document{
			Place: []declarer.Place{
				{
					Name:   "name",
					Region: "region",
					Seats:  6,
					ClientBlocks: []string{
						"client blocks1",
						"client blocks2",
					},
					Links: []declarer.Link{
						{
							Region:         "region",
							LatencyMillis:  13,
							BytesPerSecond: 14,
						},
					},
					Evacuated: true,
				},
			},
			Service: []declarer.Service{
				{
					Name: "name",
					Hosts: []string{
						"hosts1",
						"hosts2",
					},
					Version:       "version",
					TimeoutMillis: 23,
					Registered:    true,
					Connections:   25,
					ColdPerSecond: 26.5,
					ColdMillis:    27,
					Routes: []declarer.PathRule{
						{
							Prefix:      "prefix",
							Open:        true,
							Idempotence: declarer.Always,
						},
					},
				},
			},
			Team: []declarer.Team{
				{
					Name:          "name",
					RatePerSecond: 35.5,
					Burst:         36,
					Services: []string{
						"services1",
						"services2",
					},
					Homes: []string{
						"homes1",
						"homes2",
					},
					Urgent:              true,
					Priority:            44,
					KeysStopAfterMillis: 45,
				},
			},
			Key: []declarer.Key{
				{
					Name:      "name",
					Team:      "team",
					Hash:      "hash",
					Withdrawn: true,
				},
			},
			Version: []declarer.Version{
				{
					Name:    "name",
					Service: "service",
					Upstreams: []declarer.Upstream{
						{
							Name:          "name",
							Incarnation:   "incarnation",
							Place:         "place",
							Address:       "address",
							Slots:         62,
							Connections:   63,
							Leaving:       true,
							ColdUntil:     moment,
							ColdPerSecond: 65.5,
							ColdMillis:    66,
						},
					},
				},
			},
			Move: []declarer.Move{
				{
					Name:          "name",
					Service:       "service",
					From:          "from",
					To:            "to",
					Deadline:      moment,
					Share:         73.5,
					CanaryPercent: 74.5,
				},
			},
			Route: []declarer.Route{
				{
					Name:   "name",
					Host:   "host",
					Prefix: "prefix",
					Backends: []declarer.Backend{
						{
							Service: "service",
							Weight:  83,
						},
					},
					Idempotence:     declarer.Always,
					TimeoutMillis:   84,
					ObjectiveMillis: 85,
					Priority:        86,
					Attempts:        87,
					Open:            true,
					Sticky:          true,
					Homes: []string{
						"homes1",
						"homes2",
					},
				},
			},
		}),
	}
	for _, c := range cases {
		t.Run(c.File(), c.Compare(*update))
	}
}

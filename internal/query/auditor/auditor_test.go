package auditor_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/hemlockport/hemlockport/internal/query/auditor"
)

// logText is what two instances log when the holder dies and the cloud is away for a while. The
// successor repeats the report of window 10, and later gives its repeats up.
const logText = `{"level":"info","Instance":"a","Token":1,"FirstCallMillis":7500,"time":"2026-12-06T13:00:00Z","message":"DutyAcquired"}
{"level":"info","Instance":"a","Window":10,"Token":1,"Requests":7,"Complete":true,"AgeMillis":2000,"time":"2026-12-06T13:00:07Z","message":"WindowRecorded"}
{"level":"info","Instance":"a","Window":10,"Token":1,"AgeMillis":2100,"Late":false,"Attempts":1,"time":"2026-12-06T13:00:08Z","message":"WindowReported"}
2026-12-06 {"level":"info","Instance":"b","Token":2,"Previous":"a","PreviousToken":1,"FirstCallMillis":3000,"time":"2026-12-06T13:00:20Z","message":"DutyAcquired"}
{"level":"info","Instance":"b","Window":11,"Token":2,"Requests":9,"Complete":true,"AgeMillis":8000,"time":"2026-12-06T13:00:20Z","message":"WindowRecorded"}
{"level":"warn","Instance":"b","Window":10,"Token":2,"error":"status 503","time":"2026-12-06T13:00:23Z","message":"ReportFailed"}
{"level":"warn","Instance":"b","Window":10,"Token":2,"AgeMillis":16000,"Late":true,"Attempts":1,"time":"2026-12-06T13:00:23Z","message":"WindowReported"}
{"level":"warn","Instance":"b","Window":11,"Token":2,"AgeMillis":11000,"Late":true,"Attempts":1,"time":"2026-12-06T13:00:23Z","message":"WindowReported"}
{"level":"info","Instance":"b","Window":12,"Token":2,"Requests":9,"Complete":true,"AgeMillis":2000,"time":"2026-12-06T13:00:24Z","message":"WindowRecorded"}
{"level":"warn","Instance":"b","Window":12,"Token":2,"error":"status 503","time":"2026-12-06T13:00:25Z","message":"ReportFailed"}
{"level":"info","Instance":"b","Token":2,"Reason":"PlatformUnreached","LastError":"status 503","time":"2026-12-06T13:00:28Z","message":"DutyReleased"}
{"level":"warn","Instance":"a","From":10,"Through":10,"Token":3,"time":"2026-12-06T13:00:40Z","message":"WindowsSkipped"}
{"level":"warn","Instance":"a","From":13,"Through":14,"Token":3,"time":"2026-12-06T13:00:40Z","message":"WindowsSkipped"}
a line of another program
`

// TestAudit checks that each window has its state and cause, and each holder its start and end.
func TestAudit(t *testing.T) {
	log, err := auditor.Read(strings.NewReader(logText))
	if err != nil {
		t.Fatal(err)
	}
	audit := auditor.Examine([]auditor.Log{log})
	var tenures []string
	for _, tenure := range audit.Tenures {
		tenures = append(tenures, strings.Join([]string{tenure.Holder, tenure.Start, tenure.End}, "|"))
	}
	wantTenures := []string{
		"a|nobody held it; first call after 7500 ms|",
		"b|a did not renew it; first call after 3000 ms|released: PlatformUnreached, status 503",
	}
	if !slices.Equal(tenures, wantTenures) {
		t.Errorf("got tenures %q, want %q", tenures, wantTenures)
	}
	cases := []struct {
		number int64
		state  string
		cause  string
	}{
		{
			number: 10,
			state:  "InTime",
		},
		{
			number: 11,
			state:  "Late",
			cause:  "recorded late; the holder then: a did not renew it",
		},
		{
			number: 12,
			state:  "Recorded",
			cause:  "a call failed: status 503",
		},
		{
			number: 13,
			state:  "Skipped",
			cause:  "given up",
		},
		{
			number: 14,
			state:  "Skipped",
			cause:  "given up",
		},
	}
	if len(audit.Windows) != len(cases) || audit.Foreign != 1 {
		t.Fatalf("got %d windows and %d foreign lines, want %d and 1", len(audit.Windows), audit.Foreign, len(cases))
	}
	for i, c := range cases {
		got := audit.Windows[i]
		if got.Number != c.number || got.State != c.state || !strings.HasPrefix(got.Cause, c.cause) || c.cause == "" && got.Cause != "" {
			t.Errorf("got %+v, want %+v", got, c)
		}
	}
}

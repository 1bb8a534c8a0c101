package wire

import (
	"bytes"
	"strings"
	"testing"
)

const settings = `{"group_size":4,"discovery":"pushed","unknown":{"a":1},"extra":{"class_cells":[[0,1]],` +
	`"clear_wait_ns":300000000,"t1_ns":500000000,"this_node":-1,"topology":"groups"},"grades":[{"aim_ns":` +
	`1500000000,"deadline_ns":9000000000,"effect":"free","late_value":0.25,"worth":1.0}],"limits":{` +
	`"max_attempts":6,"may_cancel":true,"retry_after":true,"max_retry_after_ns":2000000000},` +
	`"feedback":{"fields":["spare","total"]},"resolution_ns":5000000,"rules":{"cold_from":0.34,` +
	`"cold_ns":15000000000,"drain_grace_ns":1000000000,"fall_multiple":3.0,"fall_ns":1000000000}}`

const start = `["up","front-3",18446744073709551615,` + settings + `],` +
	`["list",0,[[0,1,51530247,0,0,null,"IN"],[0,1.5,747639282,1,0,6100000000,"IN"]]],` +
	`["endpoints","front-3","disk",41,0]`

const arrival = `["arrival","front-3","22bf67005d3a91c4",0,0,"91f03b7c55d20a64",8652250000,12000000,0,1,256,` +
	`false,false,false,false]`

func batch(events string) string { return `{"ts_ns":6412250000,"happened":[` + events + "]}\n" }

func TestReplies(t *testing.T) {
	for _, tc := range []struct{ name, in, want string }{
		{"empty batch", batch(""), `{"output":[]}` + "\n"},
		{"no input", "", ""},
		{"start", batch(start), `{"output":[]}` + "\n"},
		{"a call is sent", batch(start + "," + arrival),
			`{"output":[["relay","front-3","22bf67005d3a91c4",51530247,2228000000],["remind","front-3",0,100000000]]}` + "\n"},
		{"full: held", batch(start+","+arrival) + batch(`["returned","front-3","22bf67005d3a91c4",0,51530247,`+
			`"saturated",18500000,false,3,null],["mail","front-3",1,"aGk="]`),
			`{"output":[["relay","front-3","22bf67005d3a91c4",51530247,2228000000],["remind","front-3",0,100000000]]}` + "\n" +
				`{"output":[["remind","front-3",1,750000000]]}` + "\n"},
		{"unknown ids are ignored", batch(start + `,["ring","front-3",77],["aborted","front-3","cd46dafa0e6f2b19"]`),
			`{"output":[]}` + "\n"},
	} {
		var out bytes.Buffer
		if err := Serve(strings.NewReader(tc.in), &out); err != nil {
			t.Errorf("%s: %v", tc.name, err)
		}
		if out.String() != tc.want {
			t.Errorf("%s: got %s want %s", tc.name, out.String(), tc.want)
		}
	}
}

func TestErrorsNameTheFault(t *testing.T) {
	for _, tc := range []struct{ in, want string }{
		{"not json\n", "decoding"},
		{"{}\n", "ts_ns"},
		{batch(`["ring","front-9",1]`), `"front-9" was never started`},
		{batch(`["whistle","front-3"]`), "unknown event"},
		{batch(`["ring","front-3","x"]`), "tag"},
		{batch(`["up","front-3",1,{}]`), "no classes"},
		{batch(`["up","front-3",1]`), "params is missing"},
		{batch(start + `,["endpoints","front-3","diff",42,9]`), "list 9"},
		{batch(start + `,["endpoints","front-3","whole",42,0]`), "unknown scope"},
		{batch(`["list",0,[[0,1,5,0,0,null,"UP"]]]`), "readiness"},
		{batch(start + `,["returned","front-3","a",0,5,"lost",1,true,null,null]`), "unknown outcome"},
		{batch(`[7]`), "name"},
	} {
		var out bytes.Buffer
		err := Serve(strings.NewReader(tc.in), &out)
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got error %v, want it to name %q", tc.in, err, tc.want)
		}
		if out.Len() != 0 {
			t.Errorf("%s: unexpected output %q", tc.in, out.String())
		}
	}
}

func TestLongLine(t *testing.T) {
	var b strings.Builder
	b.WriteString(start)
	for range 20000 {
		b.WriteString(`,["ring","front-3",9]`)
	}
	var out bytes.Buffer
	if err := Serve(strings.NewReader(batch(b.String())), &out); err != nil || out.String() != "{\"output\":[]}\n" {
		t.Fatalf("error %v, output of %d bytes", err, out.Len())
	}
}

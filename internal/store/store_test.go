package store

import (
	"context"
	"database/sql"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"masthill/internal/exchange"
	"masthill/internal/netcase"
)

var taken = time.UnixMilli(1_700_000_000_000)

func record(id string) exchange.Record {
	return exchange.Record{ID: id, Owner: "sip", Class: "open-log", Tenant: "acme", Number: "17\x00\xff", AnswerKind: "stands",
		Attempts: 2, Server: 0xc41f7a, ReceivedAt: taken, AnsweredAt: taken.Add(50 * time.Millisecond)}
}

// run starts a store and returns a function that stops it.
func run(t *testing.T, driver, dsn string, final time.Duration) (*Store, func()) {
	s, err := Open(Options{Driver: driver, DSN: dsn, Instance: "n3", Log: netcase.DiscardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	s.finalTimeout = final
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	return s, func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func TestSQLite(t *testing.T) {
	file := filepath.Join(t.TempDir(), "calls.db")
	s, end := run(t, "sqlite", file, time.Minute)
	s.Put(record("a"))
	end()
	s, end = run(t, "sqlite", file, time.Minute) // the schema exists already
	ended := record("a")
	ended.EndedAt, ended.Cut = taken.Add(time.Second), true
	s.Put(ended)
	for k := range 2*maxBatch + 1 {
		s.Put(record(fmt.Sprint(k)))
	}
	end()
	if s.LostRecords() != 0 {
		t.Errorf("%d lost", s.LostRecords())
	}
	db, err := sql.Open("sqlite", file)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var n, version int
	if err := db.QueryRow("SELECT COUNT(*), (SELECT MAX(version) FROM masthill_schema) FROM masthill_calls").Scan(&n, &version); err != nil ||
		n != 2*maxBatch+2 || version != len(schema) {
		t.Errorf("%d rows, version %d, %v", n, version, err)
	}
	var got [14]any
	to := make([]any, len(got))
	for k := range got {
		to[k] = &got[k]
	}
	if err := db.QueryRow("SELECT " + strings.Join(columns, ", ") + " FROM masthill_calls WHERE call_id = 'a'").Scan(to...); err != nil {
		t.Fatal(err)
	}
	if s := fmt.Sprint(got); s != "[n3 a 1700000000000 sip open-log acme 17? stands 2 c41f7a 1700000000050 1700000001000 0 1]" {
		t.Error(s)
	}
}

func TestInvalidOptions(t *testing.T) {
	for _, o := range []Options{{Driver: "oracle", DSN: "x"}, {Driver: "sqlite"}, {Driver: "postgres"}} {
		if _, err := Open(o); err == nil || !strings.HasPrefix(err.Error(), "store.d") {
			t.Errorf("%+v: %v", o, err)
		}
	}
}

// A store that can't be reached never blocks Put: records are queued up to the limit, and the rest counts as lost.
func TestUnreachableStore(t *testing.T) {
	s, end := run(t, "sqlite", filepath.Join(t.TempDir(), "no", "such", "folder", "calls.db"), finalTimeout)
	n := 2*queueLimit + maxBatch
	for range n {
		s.Put(record("a"))
	}
	if s.LostRecords() == 0 {
		t.Error("the queue is not bounded")
	}
	end()
	if s.LostRecords() != int64(n) {
		t.Errorf("%d of %d counted as lost", s.LostRecords(), n)
	}
}

// fakePostgres is a server that speaks the PostgreSQL protocol and keeps the rows of committed transactions.
type fakePostgres struct {
	addr        string
	mu          sync.Mutex
	rows        map[string]string // by call; a conflict replaces the row, as a batch whose commit may have failed is written again
	failInserts int               // number of inserts that will fail
	silent      bool              // queries get no answer
	committed   chan struct{}
}

func newFakePostgres(t *testing.T, fail int, silent bool) *fakePostgres {
	p := &fakePostgres{failInserts: fail, silent: silent, rows: map[string]string{}, committed: make(chan struct{}, 1000)}
	p.addr = netcase.ServeConns(t, func(c net.Conn) {
		if err := p.serve(c); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Log("fake server:", err)
		}
	})
	return p
}

// serve handles one connection until it ends.
func (p *fakePostgres) serve(c net.Conn) error {
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return err
	}
	b.Send(&pgproto3.AuthenticationOk{})
	status := byte('I')
	b.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	if err := b.Flush(); err != nil {
		return err
	}
	var open []string // rows of the open transaction
	statements := map[string]string{}
	failed := false
	for {
		m, err := b.Receive()
		if err != nil {
			return nil // the client closed the connection
		}
		if p.silent {
			continue
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			if status = 'I'; strings.HasPrefix(m.String, "begin") {
				status, open = 'T', nil
			} else if m.String == "commit" {
				p.mu.Lock()
				for _, r := range open {
					p.rows[strings.Fields(r)[1]] = r
				}
				p.mu.Unlock()
				for range open {
					p.committed <- struct{}{}
				}
			}
			b.Send(&pgproto3.CommandComplete{CommandTag: []byte("OK")})
			b.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		case *pgproto3.Parse:
			statements[m.Name] = m.Query
			b.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Describe:
			p.describe(b, statements[m.Name])
		case *pgproto3.Bind:
			if text := statements[m.PreparedStatement]; strings.HasPrefix(text, "INSERT INTO masthill_calls") {
				p.mu.Lock()
				if failed = p.failInserts > 0; failed {
					p.failInserts--
				}
				p.mu.Unlock()
				open = append(open, row(m))
			}
			b.Send(&pgproto3.BindComplete{})
		case *pgproto3.Execute:
			if failed {
				status = 'E'
				b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "53100", Message: "disk full"})
			} else {
				b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("0")}})
				b.Send(&pgproto3.CommandComplete{CommandTag: []byte("OK 1")})
			}
			failed = false
		case *pgproto3.Sync:
			b.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		}
		if err := b.Flush(); err != nil {
			return err
		}
	}
}

const int8OID, textOID = 20, 25

// describe sends the types of a statement: those of its parameters, and of the one value that a SELECT returns here.
func (p *fakePostgres) describe(b *pgproto3.Backend, text string) {
	var oids []uint32
	if strings.HasPrefix(text, "INSERT INTO masthill_calls") {
		for _, c := range columns {
			oid := uint32(textOID)
			if strings.HasSuffix(c, "_ms") || c == "attempts" || c == "cut" {
				oid = int8OID
			}
			oids = append(oids, oid)
		}
	}
	b.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	if strings.HasPrefix(text, "SELECT") {
		b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: textOID,
			DataTypeSize: -1, TypeModifier: -1}}})
	} else {
		b.Send(&pgproto3.NoData{})
	}
}

// row formats the bound values of one record as text.
func row(m *pgproto3.Bind) string {
	var out []string
	for k, v := range m.Parameters {
		if len(m.ParameterFormatCodes) > k && m.ParameterFormatCodes[k] == 1 && len(v) == 8 &&
			(strings.HasSuffix(columns[k], "_ms") || columns[k] == "attempts" || columns[k] == "cut") {
			out = append(out, fmt.Sprint(binary.BigEndian.Uint64(v)))
		} else {
			out = append(out, string(v))
		}
	}
	return strings.Join(out, " ")
}

func dsn(p *fakePostgres) string {
	return "postgres://masthill@" + p.addr + "/calls?sslmode=disable"
}

func TestPostgreSQL(t *testing.T) {
	p := newFakePostgres(t, 1, false) // the first batch fails and is written again
	s, end := run(t, "postgres", dsn(p), time.Minute)
	s.Put(record("a"))
	s.Put(record("b"))
	for range 2 {
		<-p.committed
	}
	end()
	if s.LostRecords() != 0 || len(p.rows) != 2 ||
		p.rows["a"] != "n3 a 1700000000000 sip open-log acme 17? stands 2 c41f7a 1700000000050 0 0 0" {
		t.Errorf("%d lost, rows %q", s.LostRecords(), p.rows)
	}
}

// A database that accepts connections but never answers blocks the writer, never Put.
func TestSilentPostgreSQL(t *testing.T) {
	p := newFakePostgres(t, 0, true)
	s, end := run(t, "postgres", dsn(p), finalTimeout)
	for range queueLimit + maxBatch + 1 {
		s.Put(record("a"))
	}
	end()
	if s.LostRecords() != queueLimit+maxBatch+1 {
		t.Errorf("%d lost", s.LostRecords())
	}
}

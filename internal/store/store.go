// Package store keeps call records in SQLite or PostgreSQL. Nothing here decides anything, and no answer waits
// for it: records pass through a bounded queue, and what does not fit is counted and logged.
package store

import (
	"context"
	"database/sql"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	_ "github.com/jackc/pgx/v5/stdlib" // the driver "pgx"
	_ "modernc.org/sqlite"             // the driver "sqlite"

	"masthill/internal/exchange"
)

const (
	// queueMost bounds the records that wait for the store: a minute of one instance's busiest traffic.
	queueMost = 4096
	// batchMost and batchEvery make one transaction of what came in a moment: a commit costs a disk sync.
	batchMost, batchEvery = 256, 200 * time.Millisecond
	// writeFor is the deadline of one batch, lastFor of the one at the end.
	writeFor, lastFor = 5 * time.Second, time.Second
	// retryFirst and retryMost bound the wait after a failure.
	retryFirst, retryMost = 200 * time.Millisecond, 5 * time.Second
	// textMost cuts what callers may have made long.
	textMost = 256
)

// schema holds one step for each version; what has once been released is never changed.
var schema = []string{
	`CREATE TABLE IF NOT EXISTS masthill_calls (
		instance TEXT NOT NULL, call_id TEXT NOT NULL, taken_ms BIGINT NOT NULL, owner TEXT NOT NULL,
		class TEXT NOT NULL, tenant TEXT NOT NULL, number TEXT NOT NULL, verdict TEXT NOT NULL,
		attempts BIGINT NOT NULL, server TEXT NOT NULL, answered_ms BIGINT NOT NULL, ended_ms BIGINT NOT NULL,
		later_ms BIGINT NOT NULL, cut BIGINT NOT NULL,
		PRIMARY KEY (instance, call_id, taken_ms))`,
}

var columns = []string{"instance", "call_id", "taken_ms", "owner", "class", "tenant", "number", "verdict",
	"attempts", "server", "answered_ms", "ended_ms", "later_ms", "cut"}

// Options is what a Store is made from.
type Options struct {
	Driver   string // "sqlite" or "postgres"
	DSN      string // a file, or a connection string
	Instance string
	Log      *slog.Logger
}

// Store writes records in the background.
type Store struct {
	Options
	db    *sql.DB
	queue chan exchange.Record
	lost  atomic.Int64
	put   string
	final time.Duration // lastFor, but for tests
	ready bool          // the schema is up to date
}

// Open makes a store; it speaks to the database only in Run. The error names the key that is wrong.
func Open(o Options) (*Store, error) {
	driver, dsn, mark := "", o.DSN, ""
	switch o.Driver {
	case "sqlite":
		// One writer, each commit on disk before it counts.
		driver, mark = "sqlite", "?"
		sep := "?"
		if strings.Contains(dsn, "?") {
			sep = "&"
		}
		dsn = "file:" + strings.TrimPrefix(dsn, "file:") + sep +
			"_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)&_pragma=busy_timeout(3000)"
	case "postgres":
		driver, mark = "pgx", "$"
	default:
		return nil, fmt.Errorf("store.driver: %q is neither sqlite nor postgres", o.Driver)
	}
	if o.DSN == "" {
		return nil, fmt.Errorf("store.dsn: missing")
	}
	db, err := sql.Open(driver, dsn)
	if err != nil {
		return nil, fmt.Errorf("store.dsn: %w", err)
	}
	db.SetMaxOpenConns(1)
	return &Store{Options: o, db: db, queue: make(chan exchange.Record, queueMost), put: insert(mark),
		final: lastFor}, nil
}

// insert is the statement for one record. A record comes once when its call has its answer and, if that
// stands, again when it is over; a batch whose commit was in doubt may come twice.
func insert(mark string) string {
	marks := make([]string, len(columns))
	for k := range marks {
		if marks[k] = mark; mark == "$" {
			marks[k] += strconv.Itoa(k + 1)
		}
	}
	return "INSERT INTO masthill_calls (" + strings.Join(columns, ", ") + ") VALUES (" + strings.Join(marks, ", ") +
		") ON CONFLICT (instance, call_id, taken_ms) DO UPDATE SET ended_ms = excluded.ended_ms, cut = excluded.cut"
}

// Put queues a record and never blocks.
func (s *Store) Put(r exchange.Record) {
	select {
	case s.queue <- r:
	default:
		s.lost.Add(1)
	}
}

// Lost counts the records that never reached the database.
func (s *Store) LostRecords() int64 { return s.lost.Load() }

// Run writes batches until ctx ends, and then once more what is left.
func (s *Store) Run(ctx context.Context) error {
	defer s.db.Close()
	pause, told := retryFirst, int64(0)
	var batch []exchange.Record
	for ctx.Err() == nil {
		batch = s.collect(ctx, batch)
		if lost := s.lost.Load(); lost > told {
			s.Log.Error("call records lost", "reason", "queue_full", "lost", lost-told, "lost_in_all", lost)
			told = lost
		}
		if len(batch) == 0 {
			continue
		}
		err := s.write(ctx, batch, writeFor)
		if err == nil {
			batch, pause = batch[:0], retryFirst
			continue
		}
		s.Log.Error("store failed", "waiting", len(batch)+len(s.queue), "retry_ms", pause.Milliseconds(), "err", err)
		sleep(ctx, pause)
		pause = min(2*pause, retryMost)
	}
	return s.last(batch, told)
}

// last writes what is left at the end; what the time does not allow is lost, and said so.
func (s *Store) last(batch []exchange.Record, told int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.final)
	defer cancel()
	for {
		for len(batch) < batchMost && len(s.queue) > 0 {
			batch = append(batch, <-s.queue)
		}
		if len(batch) == 0 {
			return nil
		}
		if err := s.write(ctx, batch, s.final); err != nil {
			lost := s.lost.Add(int64(len(batch) + len(s.queue)))
			s.Log.Error("call records lost", "reason", "ended", "lost", lost-told, "lost_in_all", lost, "err", err)
			return nil
		}
		batch = batch[:0]
	}
}

// collect fills a batch with what comes within batchEvery.
func (s *Store) collect(ctx context.Context, batch []exchange.Record) []exchange.Record {
	timer := time.NewTimer(batchEvery)
	defer timer.Stop()
	for len(batch) < batchMost {
		select {
		case r := <-s.queue:
			batch = append(batch, r)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// write puts a batch into the database in one transaction.
func (s *Store) write(ctx context.Context, batch []exchange.Record, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if !s.ready {
		if err := s.migrate(ctx); err != nil {
			return fmt.Errorf("schema: %w", err)
		}
		s.ready = true
	}
	return s.within(ctx, func(tx *sql.Tx) error {
		put, err := tx.PrepareContext(ctx, s.put)
		if err != nil {
			return err
		}
		defer put.Close()
		for _, r := range batch {
			if _, err := put.ExecContext(ctx, s.row(r)...); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *Store) within(ctx context.Context, do func(tx *sql.Tx) error) error {
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return err
	}
	if err := do(tx); err != nil {
		tx.Rollback()
		return err
	}
	return tx.Commit()
}

func (s *Store) row(r exchange.Record) []any {
	cut := int64(0)
	if r.Cut {
		cut = 1
	}
	return []any{s.Instance, text(r.ID), ms(r.ReceivedAt), text(r.Owner), text(r.Class), text(r.Tenant), text(r.Number),
		r.Verdict, int64(r.Attempts), fmt.Sprintf("%x", r.Server), ms(r.AnsweredAt), ms(r.EndedAt),
		r.RetryAfter.Milliseconds(), cut}
}

func ms(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// text makes a value that both databases take: a single odd record would else hold up its batch for ever.
func text(v string) string {
	v = strings.ToValidUTF8(strings.ReplaceAll(v, "\x00", ""), "?")
	if len(v) > textMost {
		v = strings.ToValidUTF8(v[:textMost], "")
	}
	return v
}

// migrate brings the schema to this program's version; a newer one, of a later program, is left as it is.
func (s *Store) migrate(ctx context.Context) error {
	return s.within(ctx, func(tx *sql.Tx) error {
		if _, err := tx.ExecContext(ctx, `CREATE TABLE IF NOT EXISTS masthill_schema (version BIGINT PRIMARY KEY)`); err != nil {
			return err
		}
		var version int64
		if err := tx.QueryRowContext(ctx, `SELECT COALESCE(MAX(version), 0) FROM masthill_schema`).Scan(&version); err != nil {
			return err
		}
		for ; version < int64(len(schema)); version++ {
			if _, err := tx.ExecContext(ctx, schema[version]); err != nil {
				return err
			}
			if _, err := tx.ExecContext(ctx, fmt.Sprintf(`INSERT INTO masthill_schema (version) VALUES (%d)`, version+1)); err != nil {
				return err
			}
		}
		return nil
	})
}

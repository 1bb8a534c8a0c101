// Package store writes call records to SQLite or PostgreSQL. No answer to a caller waits for it: records pass through a
// bounded queue, and those that don't fit are dropped, counted and logged.
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
	// queueLimit limits the records that wait to be written; it is a minute of one instance's heaviest traffic.
	queueLimit = 4096
	// Up to maxBatch records that arrive within batchInterval form one transaction, as each commit costs a disk sync.
	maxBatch, batchInterval = 256, 200 * time.Millisecond
	// writeTimeout is the deadline of one batch, finalTimeout that of all remaining records at the end.
	writeTimeout, finalTimeout = 5 * time.Second, time.Second
	// minRetryPause and maxRetryPause limit the pause after a failure.
	minRetryPause, maxRetryPause = 200 * time.Millisecond, 5 * time.Second
	// maxTextBytes is the length to which texts are truncated, as callers choose some of them.
	maxTextBytes = 256
)

// schema holds one migration for each version. A released one must never be changed.
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

// Options are the options of Open.
type Options struct {
	Driver   string // "sqlite" or "postgres"
	DSN      string // a file name or a connection string
	Instance string
	Log      *slog.Logger
}

// Store writes records in the background.
type Store struct {
	Options
	db           *sql.DB
	queue        chan exchange.Record
	lost         atomic.Int64
	insertSQL    string
	finalTimeout time.Duration // finalTimeout, except in tests
	migrated     bool          // the schema is up to date
}

// Open makes a store; it connects to the database only in Run. The error names the settings key that is wrong.
func Open(o Options) (*Store, error) {
	driver, dsn, placeholder := "", o.DSN, ""
	switch o.Driver {
	case "sqlite":
		// There is one writer, and each commit is synced to disk.
		driver, placeholder = "sqlite", "?"
		sep := "?"
		if strings.Contains(dsn, "?") {
			sep = "&"
		}
		dsn = "file:" + strings.TrimPrefix(dsn, "file:") + sep +
			"_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)&_pragma=busy_timeout(3000)"
	case "postgres":
		driver, placeholder = "pgx", "$"
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
	return &Store{Options: o, db: db, queue: make(chan exchange.Record, queueLimit), insertSQL: insertStatement(placeholder),
		finalTimeout: finalTimeout}, nil
}

// insertStatement returns the statement that writes one record. A record is written when its call has its answer and, if
// the call is established, again when that ends; a batch whose commit may have failed is written twice.
func insertStatement(placeholder string) string {
	placeholders := make([]string, len(columns))
	for k := range placeholders {
		if placeholders[k] = placeholder; placeholder == "$" {
			placeholders[k] += strconv.Itoa(k + 1)
		}
	}
	return "INSERT INTO masthill_calls (" + strings.Join(columns, ", ") + ") VALUES (" + strings.Join(placeholders, ", ") +
		") ON CONFLICT (instance, call_id, taken_ms) DO UPDATE SET ended_ms = excluded.ended_ms, cut = excluded.cut"
}

// Put queues a record. It never blocks; if the queue is full, the record is lost and counted.
func (s *Store) Put(r exchange.Record) {
	select {
	case s.queue <- r:
	default:
		s.lost.Add(1)
	}
}

// LostRecords returns the number of records that were not written to the database.
func (s *Store) LostRecords() int64 { return s.lost.Load() }

// Run writes batches until ctx ends, and then the remaining records.
func (s *Store) Run(ctx context.Context) error {
	defer s.db.Close()
	pause, reported := minRetryPause, int64(0)
	var batch []exchange.Record
	for ctx.Err() == nil {
		batch = s.collect(ctx, batch)
		if lost := s.lost.Load(); lost > reported {
			s.Log.Error("call records lost", "reason", "queue_full", "lost", lost-reported, "lost_in_all", lost)
			reported = lost
		}
		if len(batch) == 0 {
			continue
		}
		err := s.write(ctx, batch, writeTimeout)
		if err == nil {
			batch, pause = batch[:0], minRetryPause
			continue
		}
		s.Log.Error("store failed", "waiting", len(batch)+len(s.queue), "retry_ms", pause.Milliseconds(), "err", err)
		sleep(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
	return s.writeRemaining(batch, reported)
}

// writeRemaining writes the remaining records at the end. Those that can't be written in time are counted and logged as
// lost.
func (s *Store) writeRemaining(batch []exchange.Record, reported int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.finalTimeout)
	defer cancel()
	for {
		for len(batch) < maxBatch && len(s.queue) > 0 {
			batch = append(batch, <-s.queue)
		}
		if len(batch) == 0 {
			return nil
		}
		if err := s.write(ctx, batch, s.finalTimeout); err != nil {
			lost := s.lost.Add(int64(len(batch) + len(s.queue)))
			s.Log.Error("call records lost", "reason", "ended", "lost", lost-reported, "lost_in_all", lost, "err", err)
			return nil
		}
		batch = batch[:0]
	}
}

// collect adds to a batch the records that arrive within batchInterval.
func (s *Store) collect(ctx context.Context, batch []exchange.Record) []exchange.Record {
	timer := time.NewTimer(batchInterval)
	defer timer.Stop()
	for len(batch) < maxBatch {
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// write writes a batch in one transaction, after migrating the schema if that is still to be done.
func (s *Store) write(ctx context.Context, batch []exchange.Record, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if !s.migrated {
		if err := s.migrate(ctx); err != nil {
			return fmt.Errorf("schema: %w", err)
		}
		s.migrated = true
	}
	return s.inTransaction(ctx, func(tx *sql.Tx) error {
		insert, err := tx.PrepareContext(ctx, s.insertSQL)
		if err != nil {
			return err
		}
		defer insert.Close()
		for _, r := range batch {
			if _, err := insert.ExecContext(ctx, s.row(r)...); err != nil {
				return err
			}
		}
		return nil
	})
}

// inTransaction runs do in a transaction, which it commits unless do fails.
func (s *Store) inTransaction(ctx context.Context, do func(tx *sql.Tx) error) error {
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

// row returns the values of a record in the order of columns.
func (s *Store) row(r exchange.Record) []any {
	cut := int64(0)
	if r.Cut {
		cut = 1
	}
	return []any{s.Instance, cleanText(r.ID), unixMilli(r.ReceivedAt), cleanText(r.Owner), cleanText(r.Class), cleanText(r.Tenant), cleanText(r.Number),
		r.AnswerKind, int64(r.Attempts), fmt.Sprintf("%x", r.Server), unixMilli(r.AnsweredAt), unixMilli(r.EndedAt),
		r.RetryAfter.Milliseconds(), cut}
}

func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// cleanText turns a text into one that both databases accept: a single invalid record would block its batch forever.
func cleanText(v string) string {
	v = strings.ToValidUTF8(strings.ReplaceAll(v, "\x00", ""), "?")
	if len(v) > maxTextBytes {
		v = strings.ToValidUTF8(v[:maxTextBytes], "")
	}
	return v
}

// migrate updates the schema to this program's version. A newer schema, of a later program, is left as it is.
func (s *Store) migrate(ctx context.Context) error {
	return s.inTransaction(ctx, func(tx *sql.Tx) error {
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

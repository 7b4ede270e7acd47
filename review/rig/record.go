//go:build review

package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that says what was sent, answered and run.
type Record struct {
	mut   sync.Mutex
	file  *os.File
	buf   *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, buf: bufio.NewWriter(file), start: time.Now()}, nil
}

// Note writes one line with the time since the start.
func (rec *Record) Note(format string, args ...any) {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	_, _ = fmt.Fprintf(rec.buf, "%8.3f %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes the file to its end.
func (rec *Record) Close() {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	_ = rec.buf.Flush()
	_ = rec.file.Close()
}

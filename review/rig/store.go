//go:build review

package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const maxPage = 500 // items

// item is one key with its last write.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a sound platform store: linearizable, with its whole history.
type Store struct {
	mut     sync.Mutex
	changed chan struct{} // closed at the next write
	writes  []item
	latest  map[string]item
	addr    string
}

// NewStore starts a store.
func NewStore() (*Store, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sto := &Store{changed: make(chan struct{}), latest: map[string]item{}, addr: lis.Addr().String()}
	go func() { _ = http.Serve(lis, sto) }()
	return sto, nil
}

// Addr returns the address of the store.
func (sto *Store) Addr() string { return sto.addr }

// Put writes a value as JSON.
func (sto *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	sto.add(item{Key: key, Value: data})
}

// Delete removes a key.
func (sto *Store) Delete(key string) { sto.add(item{Key: key, Tombstone: true}) }

func (sto *Store) add(itm item) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	itm.Revision = uint64(len(sto.writes) + 1)
	itm.Created = itm.Revision
	if old, ok := sto.latest[itm.Key]; ok {
		itm.Created = old.Created
	}
	sto.writes = append(sto.writes, itm)
	if itm.Tombstone {
		delete(sto.latest, itm.Key)
	} else {
		sto.latest[itm.Key] = itm
	}
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// ServeHTTP answers kv-key, kv-range and kv-watch.
func (sto *Store) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		sto.mut.Lock()
		body, status := sto.answer(req.URL.Path, query.Get("path_prefix"), query.Get("after"), query.Get("key"), time.Now().After(until))
		changed := sto.changed
		sto.mut.Unlock()
		if body != nil || status != http.StatusOK {
			wri.Header().Set("Content-Type", "application/json")
			wri.WriteHeader(status)
			_ = json.NewEncoder(wri).Encode(body)
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-req.Context().Done():
			return
		}
	}
}

func (sto *Store) answer(path, prefix, after, key string, expired bool) (any, int) {
	rev := uint64(len(sto.writes))
	switch path {
	case "/kv-key":
		itm, ok := sto.latest[key]
		if !ok {
			return nil, http.StatusNotFound
		}
		return itm, http.StatusOK
	case "/kv-range":
		items := []item{}
		for _, itm := range sto.latest {
			if strings.HasPrefix(itm.Key, prefix) && itm.Key > after {
				items = append(items, itm)
			}
		}
		slices.SortFunc(items, func(one, two item) int { return strings.Compare(one.Key, two.Key) })
		more := len(items) > maxPage
		if more {
			items = items[:maxPage]
		}
		return map[string]any{"items": items, "has_more": more, "current_rev": rev}, http.StatusOK
	case "/kv-watch":
		from, err := strconv.ParseUint(after, 10, 64)
		if err != nil || from > rev {
			return nil, http.StatusGone
		}
		events := []item{}
		for _, itm := range sto.writes[from:] {
			if strings.HasPrefix(itm.Key, prefix) {
				events = append(events, itm)
			}
		}
		if len(events) == 0 && !expired {
			return nil, http.StatusOK
		}
		return map[string]any{"events": events, "current_rev": rev}, http.StatusOK
	}
	return nil, http.StatusNotFound
}

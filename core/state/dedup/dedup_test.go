package dedup_test

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"amaranthline/core"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/dedup"
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// uuidv7 returns a UUIDv7 with a timestamp; different salts give different UUIDs.
func uuidv7(at time.Time, salt uint64) string {
	ms := uint64(at.UnixMilli())
	raw := make([]byte, 16)
	for i := range 6 {
		raw[i] = byte(ms >> (40 - 8*i))
	}
	for i := range 7 {
		raw[9+i] = byte(salt >> (8 * i))
	}
	raw[6], raw[8] = 0x70, 0x80
	digits := hex.EncodeToString(raw)
	return digits[:8] + "-" + digits[8:12] + "-" + digits[12:16] + "-" + digits[16:20] + "-" + digits[20:]
}

// node is one host of the model, with a clock that differs from true time.
type node struct {
	name        string
	tab         *dedup.Table
	membership  dedup.Membership
	clockOffset time.Duration
	partition   int  // hosts reach each other only in the same network partition
	cutOff      bool // the platform cannot reach the host's partition, so the host learns no membership
	pending     []completion
}

// completion is the outcome of a run that the node has not learned yet.
type completion struct {
	key dedup.Key
	out core.Outcome
}

// ack is an ack that has not arrived yet.
type ack struct {
	from, to    *node
	sent        time.Time
	memberships []dedup.Membership
	tableAtSend *dedup.Table // table of the receiver; a restart replaces it, and the ack is lost
}

// request is a request whose caller sends it many times with one key.
type request struct {
	key          dedup.Key
	created      time.Time
	isUUIDv7     bool
	runs         int // that the tables under test allowed
	receiverRuns int // if each host recorded only the keys that it received itself, for comparison
}

// fleet models the hosts of one service and their callers.
type fleet struct {
	rng             *rand.Rand
	now             time.Time
	nodes           []*node
	memberships     []dedup.Membership // all published memberships, ascending by version
	acks            []ack
	reqs            []*request
	receiverRecords map[string]map[dedup.Key]bool // by host: keys that it received, for request.receiverRuns
	firstDecisions  map[dedup.Kind]int            // on the first sends of UUIDv7 keys

	replaceHosts    bool // each membership replaces a host; otherwise all differ from the first one by one host
	stepsPerRestart int  // a host restarts in one of so many steps on average; never if 0
	stepsPerChange  int  // a membership is published, and the partitions change, each in one of so many steps on average
	retention       time.Duration
}

func (fle *fleet) localTime(nod *node) time.Time { return fle.now.Add(nod.clockOffset) }

// startHost replaces the table of a host, as a restart does.
func (fle *fleet) startHost(nod *node, mem dedup.Membership) {
	set := dedup.DefaultSettings(nod.name)
	set.Retention = fle.retention
	nod.tab = dedup.New(set)
	nod.pending = nil
	fle.receiverRecords[nod.name] = map[dedup.Key]bool{}
	fle.setMembership(nod, mem)
}

func (fle *fleet) setMembership(nod *node, mem dedup.Membership) {
	nod.membership = mem
	nod.tab.SetHosts(fle.localTime(nod), mem.Version(), mem.Hosts())
}

// publish publishes a new membership. Without replaceHosts, all memberships differ from the first one, of odd size, by at
// most one host, so that the majorities of any two share a host. With replaceHosts, each membership replaces one host of
// the one before.
func (fle *fleet) publish() {
	last := fle.memberships[len(fle.memberships)-1]
	hosts := slices.Clone(fle.memberships[0].Hosts())
	if fle.replaceHosts {
		hosts = slices.Clone(last.Hosts())
	}
	other := fle.nodes[fle.rng.IntN(len(fle.nodes))].name
	switch at := slices.Index(hosts, other); {
	case len(fle.memberships) > 1 && fle.rng.IntN(3) == 0:
		// Hosts that miss the membership in between see no change of owners.
		hosts = fle.memberships[len(fle.memberships)-2].Hosts()
	case fle.replaceHosts && at < 0:
		hosts[fle.rng.IntN(len(hosts))] = other
	case fle.replaceHosts:
		return
	case at >= 0 && len(hosts) > 1:
		hosts = slices.Delete(hosts, at, at+1)
	default:
		hosts = append(hosts, other)
	}
	fle.memberships = append(fle.memberships, dedup.NewMembership(last.Version()+1, hosts, 0))
}

// exchangeAcks lets all pairs of hosts in the same partition exchange acks; some acks arrive late, and some never.
func (fle *fleet) exchangeAcks() {
	for _, one := range fle.nodes {
		for _, two := range fle.nodes {
			if one == two || one.partition != two.partition || fle.rng.IntN(10) == 0 {
				continue
			}
			sent := fle.localTime(one).Add(-time.Duration(fle.rng.IntN(300)) * time.Millisecond)
			fle.acks = append(fle.acks, ack{from: two, to: one, sent: sent, memberships: two.tab.Memberships(fle.localTime(two)), tableAtSend: one.tab})
		}
	}
	fle.acks = slices.DeleteFunc(fle.acks, func(msg ack) bool {
		if fle.rng.IntN(8) == 0 {
			return false
		}
		if msg.to.partition == msg.from.partition && msg.to.tab == msg.tableAtSend {
			msg.to.tab.HandleAck(fle.localTime(msg.to), msg.sent, msg.from.name, msg.memberships)
		}
		return true
	})
}

// randomSkew returns a difference of a clock from true time; the extremes are frequent.
func (fle *fleet) randomSkew() time.Duration {
	const maxSkew = 2500 * time.Millisecond
	return [...]time.Duration{-maxSkew, maxSkew, time.Duration(fle.rng.Int64N(int64(2*maxSkew))) - maxSkew}[fle.rng.IntN(3)]
}

// newRequest returns a request with a new key. A UUIDv7 key has a timestamp of the caller's clock, which differs by at
// most 5 s from that of every host.
func (fle *fleet) newRequest() *request {
	req := &request{created: fle.now, isUUIDv7: fle.rng.IntN(3) > 0}
	salt := fle.rng.Uint64()
	text := fmt.Sprintf("order-%d", salt)
	if req.isUUIDv7 {
		text = uuidv7(fle.now.Add(fle.randomSkew()), salt)
	}
	req.key = dedup.NewKey("verona", "stampa", text, core.Fingerprint{1})
	fle.reqs = append(fle.reqs, req)
	return req
}

// send sends a request by a random entry node, in most cases to the owner by the membership of the entry node, which may
// be outdated, and otherwise to the entry node itself.
func (fle *fleet) send(req *request, isFirst bool) {
	entry := fle.nodes[fle.rng.IntN(len(fle.nodes))]
	fle.runAtReceiver(req, entry)
	target := entry
	if fle.rng.IntN(10) > 0 {
		owner := decl.RendezvousOrder(req.key.RendezvousKey(), entry.membership.Hosts())[0]
		at := slices.IndexFunc(fle.nodes, func(nod *node) bool { return nod.name == owner })
		target = fle.nodes[at]
	}
	if target.partition != entry.partition {
		return
	}
	fle.deliver(req, target, isFirst)
}

// deliver hands a request to a host, which runs it if its table allows that.
func (fle *fleet) deliver(req *request, target *node, isFirst bool) {
	dec := target.tab.Start(fle.localTime(target), req.key)
	if isFirst && req.isUUIDv7 {
		fle.firstDecisions[dec.Kind()]++
	}
	if dec.Kind() != dedup.KindRun {
		return
	}
	out := core.Outcome(fle.rng.IntN(3))
	if out != core.OutcomeNotRun {
		req.runs++
	}
	target.pending = append(target.pending, completion{key: req.key, out: out})
}

// runAtReceiver runs a request unless the host that received it has a record of its own for the key.
func (fle *fleet) runAtReceiver(req *request, entry *node) {
	if rec := fle.receiverRecords[entry.name]; !rec[req.key] {
		rec[req.key] = true
		req.receiverRuns++
	}
}

// step advances the model by less than a second, with at most one event of each kind.
func (fle *fleet) step() {
	fle.now = fle.now.Add(time.Duration(100+fle.rng.IntN(900)) * time.Millisecond)
	if fle.rng.IntN(fle.stepsPerChange) == 0 {
		fle.publish()
	}
	for _, nod := range fle.nodes {
		if index := fle.rng.IntN(len(fle.memberships)); !nod.cutOff && fle.rng.IntN(3) == 0 && fle.memberships[index].Version() > nod.membership.Version() {
			fle.setMembership(nod, fle.memberships[index])
		}
		if len(nod.pending) > 0 && fle.rng.IntN(3) == 0 {
			com := nod.pending[0]
			nod.pending = nod.pending[1:]
			nod.tab.Finish(fle.localTime(nod), com.key, com.out, 200)
		}
	}
	if fle.rng.IntN(fle.stepsPerChange) == 0 {
		partitions := 1 + fle.rng.IntN(2)
		cutOff := [2]bool{fle.rng.IntN(2) == 0, fle.rng.IntN(2) == 0}
		for _, nod := range fle.nodes {
			nod.partition = fle.rng.IntN(partitions)
			nod.cutOff = cutOff[nod.partition]
		}
	}
	if fle.stepsPerRestart > 0 && fle.rng.IntN(fle.stepsPerRestart) == 0 {
		nod := fle.nodes[fle.rng.IntN(len(fle.nodes))]
		// A restarted host may read an old membership from a stale source.
		fle.startHost(nod, fle.memberships[fle.rng.IntN(len(fle.memberships))])
	}
	fle.exchangeAcks()
}

// sendRequests sends new requests and resends earlier ones. Requests whose key is not a UUIDv7 are resent only for less
// than the retention, because later resends may run again.
func (fle *fleet) sendRequests() {
	if len(fle.reqs) == 0 || fle.rng.IntN(2) == 0 {
		fle.send(fle.newRequest(), true)
	}
	if fle.rng.IntN(3) == 0 {
		newest := fle.reqs[len(fle.reqs)-1]
		for _, nod := range fle.nodes {
			fle.deliver(newest, nod, false)
		}
	}
	for range 4 {
		req := fle.reqs[max(0, len(fle.reqs)-1-fle.rng.IntN(40))]
		if req.isUUIDv7 || fle.now.Sub(req.created) < fle.retention*9/10 {
			fle.send(req, false)
		}
	}
}

func newFleet(seed uint64, spareHosts int, retention time.Duration) *fleet {
	fle := &fleet{
		rng: rand.New(rand.NewPCG(seed, 7)), now: epoch, retention: retention,
		receiverRecords: map[string]map[dedup.Key]bool{}, firstDecisions: map[dedup.Kind]int{},
	}
	base := 3 + 2*fle.rng.IntN(2)
	var hosts []string
	for i := range base + spareHosts {
		nod := &node{name: fmt.Sprintf("h%d", i), clockOffset: fle.randomSkew()}
		fle.nodes = append(fle.nodes, nod)
		hosts = append(hosts, nod.name)
	}
	fle.memberships = []dedup.Membership{dedup.NewMembership(1, hosts[:base], 0)}
	for _, nod := range fle.nodes {
		fle.startHost(nod, fle.memberships[0])
	}
	return fle
}

// totals adds up the counts of all schedules of a test.
type totals struct {
	schedules, keys, ranTwice, receiverRanTwice int
	firstDecisions                              map[dedup.Kind]int
}

func (tot *totals) add(fle *fleet) {
	tot.schedules++
	tot.keys += len(fle.reqs)
	for _, req := range fle.reqs {
		if req.runs > 1 {
			tot.ranTwice++
		}
		if req.receiverRuns > 1 {
			tot.receiverRanTwice++
		}
	}
	for kin, n := range fle.firstDecisions {
		tot.firstDecisions[kin] += n
	}
}

// A key must run at most once across all hosts. Resends through any host, late memberships, partitions, delayed acks, clock
// differences, and restarts that lose the records or read an old membership can make two hosts own the key at once, or make
// an owner run a key that an earlier owner ran.
func TestKeyRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name            string
		replaceHosts    bool
		stepsPerRestart int
		stepsPerChange  int
		retention       time.Duration
	}{
		{"memberships that differ by one host, with restarts", false, 60, 30, 10 * time.Minute},
		{"memberships that differ by one host, frequent restarts", false, 8, 30, 10 * time.Minute},
		{"memberships that replace hosts, without restarts", true, 0, 30, 10 * time.Minute},
		{"short retention, so that keys of any form run", false, 200, 30, time.Minute},
		{"a change every five minutes", false, 600, 600, 10 * time.Minute},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			tot := totals{firstDecisions: map[dedup.Kind]int{}}
			rapid.Check(t, func(rt *rapid.T) {
				fle := newFleet(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 3).Draw(rt, "spare hosts"), tst.retention)
				fle.replaceHosts, fle.stepsPerRestart, fle.stepsPerChange = tst.replaceHosts, tst.stepsPerRestart, tst.stepsPerChange
				for range rapid.IntRange(20, 600).Draw(rt, "steps") {
					fle.step()
					fle.sendRequests()
				}
				for _, req := range fle.reqs {
					if req.runs > 1 {
						rt.Errorf("a key (UUIDv7 %v) created at %v ran %d times", req.isUUIDv7, req.created.Sub(epoch), req.runs)
					}
				}
				tot.add(fle)
			})
			t.Logf("%s: %d schedules, %d keys: %d ran more than once; with records at the receiving host only, %d ran more than once; decisions on first sends of UUIDv7 keys: run %d, outcome unknown %d, no quorum %d, not owner %d",
				tst.name, tot.schedules, tot.keys, tot.ranTwice, tot.receiverRanTwice, tot.firstDecisions[dedup.KindRun], tot.firstDecisions[dedup.KindOutcomeUnknown],
				tot.firstDecisions[dedup.KindNoQuorum], tot.firstDecisions[dedup.KindNotOwner])
		})
	}
}

// newSingleHostTable returns the table of the only host of a service, whose takeover is at epoch + 7 s.
func newSingleHostTable() *dedup.Table {
	tab := dedup.New(dedup.DefaultSettings("h1"))
	tab.SetHosts(epoch, 1, []string{"h1"})
	return tab
}

// Each state of a record and each bound on the timestamp of a key must give the right decision, and a refusal must state
// the true outcome: callers resend after "not run".
func TestDecisions(t *testing.T) {
	at := epoch.Add(time.Minute)
	newKey := func(text string) dedup.Key { return dedup.NewKey("verona", "stampa", text, core.Fingerprint{1}) }
	key := newKey(uuidv7(at, 1))
	tests := []struct {
		name    string
		now     time.Time
		prepare func(*dedup.Table)
		key     dedup.Key
		want    dedup.Kind
		outcome core.Outcome
	}{
		{"running", at, func(tab *dedup.Table) { tab.Start(at, key) }, key, dedup.KindInProgress, core.OutcomeUnknown},
		{"ran", at, func(tab *dedup.Table) { tab.Start(at, key); tab.Finish(at, key, core.OutcomeRan, 201) }, key, dedup.KindDuplicate, core.OutcomeRan},
		{"outcome unknown", at, func(tab *dedup.Table) { tab.Start(at, key); tab.Finish(at, key, core.OutcomeUnknown, 0) }, key, dedup.KindOutcomeUnknown, core.OutcomeUnknown},
		{"not run", at, func(tab *dedup.Table) { tab.Start(at, key); tab.Finish(at, key, core.OutcomeNotRun, 0) }, key, dedup.KindRun, core.OutcomeUnknown},
		{"other content", at, func(tab *dedup.Table) { tab.Start(at, key) }, dedup.NewKey("verona", "stampa", uuidv7(at, 1), core.Fingerprint{2}), dedup.KindConflict, core.OutcomeNotRun},
		{"other team", at, func(tab *dedup.Table) { tab.Start(at, key) }, dedup.NewKey("trento", "stampa", uuidv7(at, 1), core.Fingerprint{1}), dedup.KindRun, core.OutcomeUnknown},
		{"timestamp at the takeover plus the clock skew", at, func(*dedup.Table) {}, newKey(uuidv7(epoch.Add(12*time.Second), 1)), dedup.KindOutcomeUnknown, core.OutcomeUnknown},
		{"timestamp after the takeover plus the clock skew", at, func(*dedup.Table) {}, newKey(uuidv7(epoch.Add(12*time.Second+time.Millisecond), 1)), dedup.KindRun, core.OutcomeUnknown},
		{"timestamp in the future", at, func(*dedup.Table) {}, newKey(uuidv7(at.Add(5*time.Second+time.Millisecond), 1)), dedup.KindFutureKey, core.OutcomeNotRun},
		{"older than the retention", epoch.Add(time.Hour), func(*dedup.Table) {}, newKey(uuidv7(epoch.Add(50*time.Minute+5*time.Second), 1)), dedup.KindOutcomeUnknown, core.OutcomeUnknown},
		{"not a UUIDv7, before the retention has passed", epoch.Add(607*time.Second - 1), func(*dedup.Table) {}, newKey("order-1"), dedup.KindOutcomeUnknown, core.OutcomeUnknown},
		{"not a UUIDv7, after the retention has passed", epoch.Add(607 * time.Second), func(*dedup.Table) {}, newKey("order-1"), dedup.KindRun, core.OutcomeUnknown},
		{"UUIDv4", at, func(*dedup.Table) {}, newKey("0b0dc2f2-3c1f-4e5a-9d5c-6f1a7d2b8c3e"), dedup.KindOutcomeUnknown, core.OutcomeUnknown},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			tab := newSingleHostTable()
			tst.prepare(tab)
			dec := tab.Start(tst.now, tst.key)
			if diff := cmp.Diff(tst.want, dec.Kind()); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
			if ref := dec.Refusal(); ref != nil && ref.Outcome() != tst.outcome {
				t.Errorf("outcome %v, want %v", ref.Outcome(), tst.outcome)
			}
		})
	}
}

// A full table must refuse new keys, because dropping a record to make room would let its key run again.
func TestFullTableKeepsRecords(t *testing.T) {
	set := dedup.DefaultSettings("h1")
	set.MaxRecords = 64
	tab := dedup.New(set)
	tab.SetHosts(epoch, 1, []string{"h1"})
	now := epoch.Add(time.Minute)
	kinds := map[bool]map[dedup.Kind]int{}
	for _, secondPass := range []bool{false, true} {
		kinds[secondPass] = map[dedup.Kind]int{}
		for i := range uint64(2000) {
			key := dedup.NewKey("verona", "stampa", uuidv7(now, i), core.Fingerprint{1})
			kind := tab.Start(now, key).Kind()
			kinds[secondPass][kind]++
			if kind == dedup.KindRun {
				tab.Finish(now, key, core.OutcomeRan, 200)
			}
		}
	}
	want := map[bool]map[dedup.Kind]int{
		false: {dedup.KindRun: 64, dedup.KindTableFull: 1936},
		true:  {dedup.KindDuplicate: 64, dedup.KindTableFull: 1936},
	}
	if diff := cmp.Diff(want, kinds); diff != "" {
		t.Errorf("decisions by whether it is the second pass (-want +got):\n%s", diff)
	}
}

// After a change of the membership, keys whose owner stays must still run, and a new owner must refuse only keys that may
// have run at the former owner.
func TestMembershipChangeKeepsOwnKeys(t *testing.T) {
	tab := dedup.New(dedup.DefaultSettings("h1"))
	versions := [][]string{{"h1", "h2", "h3"}, {"h1", "h2"}}
	now := epoch
	for i, hosts := range versions {
		tab.SetHosts(now, uint64(i+1), hosts)
		mem := []dedup.Membership{dedup.NewMembership(uint64(i+1), hosts, 0)}
		for range 30 {
			now = now.Add(time.Second)
			tab.HandleAck(now, now, "h2", mem)
		}
	}
	got := map[string]dedup.Kind{}
	for i := range uint64(200) {
		// The timestamp is 10 s before the change, which was 30 s ago.
		key := dedup.NewKey("verona", "stampa", uuidv7(now.Add(-40*time.Second), i), core.Fingerprint{1})
		before, after := decl.RendezvousOrder(key.RendezvousKey(), versions[0])[0], decl.RendezvousOrder(key.RendezvousKey(), versions[1])[0]
		got[before+" "+after] = tab.Start(now, key).Kind()
	}
	want := map[string]dedup.Kind{
		"h1 h1": dedup.KindRun, "h3 h1": dedup.KindOutcomeUnknown, "h2 h2": dedup.KindNotOwner, "h3 h2": dedup.KindNotOwner,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decisions by owner before and after the change (-want +got):\n%s", diff)
	}
}

func BenchmarkStartFinish(b *testing.B) {
	hosts := make([]string, 10)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("host-%d", i)
	}
	var keys []dedup.Key
	for i := range uint64(1000) {
		keys = append(keys, dedup.NewKey("verona", "stampa", uuidv7(epoch.Add(time.Minute), i), core.Fingerprint{1}))
	}
	tab := dedup.New(dedup.DefaultSettings(hosts[0]))
	tab.SetHosts(epoch, 1, hosts)
	now := epoch
	for now.Before(epoch.Add(time.Minute)) {
		now = now.Add(time.Second)
		for _, host := range hosts {
			tab.HandleAck(now, now, host, []dedup.Membership{dedup.NewMembership(1, hosts, 0)})
		}
	}
	keys = slices.DeleteFunc(keys, func(key dedup.Key) bool {
		return decl.RendezvousOrder(key.RendezvousKey(), hosts)[0] != hosts[0]
	})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := rand.IntN(len(keys)); pb.Next(); i++ {
			key := keys[i%len(keys)]
			switch tab.Start(now, key).Kind() {
			case dedup.KindRun:
				tab.Finish(now, key, core.OutcomeNotRun, 0)
			case dedup.KindInProgress:
				// Another goroutine holds the key.
			default:
				b.Error("the owner refused a new key")
			}
		}
	})
}

// Requests with one key that reach the owner at the same time must not run more than once.
func TestConcurrentRequestsRunOnce(t *testing.T) {
	tab, now := newSingleHostTable(), epoch.Add(time.Minute)
	var runs atomic.Int64
	var wgr sync.WaitGroup
	for range 8 {
		wgr.Go(func() {
			for i := range uint64(500) {
				key := dedup.NewKey("verona", "stampa", uuidv7(now, i), core.Fingerprint{1})
				if tab.Start(now, key).Kind() == dedup.KindRun {
					runs.Add(1)
					tab.Finish(now, key, core.OutcomeRan, 200)
				}
			}
		})
	}
	wgr.Wait()
	if diff := cmp.Diff(int64(500), runs.Load()); diff != "" {
		t.Errorf("runs of 500 keys (-want +got):\n%s", diff)
	}
}

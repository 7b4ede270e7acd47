package lease_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"amaranthline/core/state/lease"
)

const (
	term      = 4 * time.Second
	step      = 50 * time.Millisecond
	runLength = 60 * time.Second
	slack     = 1e-9
)

var (
	schedules = flag.Int("schedules", 200, "number of schedules of the differential run")
	seed      = flag.Uint64("seed", 11, "seed of the differential run")
)

// chooser makes the choices of a schedule: rapid draws them, or a seeded generator does.
type chooser interface{ IntN(n int) int }

type drawn struct{ rt *rapid.T }

func (dra drawn) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(dra.rt, "choice") }

// process is one process of a host; its clock runs up to 8% slow or fast.
type process struct {
	*lease.Lease
	host     string
	rate     float64
	paused   bool
	replaced bool
	frozen   bool // reads no new lists
}

func (pro *process) clock(at time.Duration) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(at) * pro.rate))
}

// packet is a message on its way; an answer carries when its contact was sent.
type packet struct {
	at       time.Duration
	from, to *process
	host     string
	msg      lease.Message
	answer   bool
	sentAt   time.Time
}

// fleet runs the processes of one group under a random schedule.
type fleet struct {
	cho       chooser
	rng       *rand.Rand
	now       time.Duration
	lists     []lease.Membership
	processes []*process
	packets   []*packet
	side      map[string]int // hosts on different sides cannot reach each other
	names     int
	starts    uint64
	loss      int // percent

	worst, worstUnlimited, worstAtOnce float64
	usable                             float64
	samples                            int
}

func newFleet(cho chooser, rng *rand.Rand) *fleet {
	fle := &fleet{cho: cho, rng: rng, side: map[string]int{}, loss: []int{0, 2, 20}[cho.IntN(3)]}
	var members []string
	for range 1 + cho.IntN(6) {
		members = append(members, fle.name())
	}
	fle.lists = []lease.Membership{{Version: 1, Members: members}}
	for _, host := range members {
		fle.start(host)
	}
	return fle
}

func (fle *fleet) name() string {
	fle.names++
	return fmt.Sprintf("h%02d", fle.names)
}

func (fle *fleet) start(host string) *process {
	fle.starts++
	pro := &process{
		Lease: lease.New("nord-a", host, fle.starts, term), host: host,
		rate: 0.92 + 0.16*fle.rng.Float64(), frozen: fle.cho.IntN(5) == 0,
	}
	fle.processes = append(fle.processes, pro)
	fle.read(pro)
	return pro
}

// read gives a process one of the last few published lists.
func (fle *fleet) read(pro *process) {
	back := min(fle.rng.IntN(4)*fle.rng.IntN(2), len(fle.lists)-1)
	list := fle.lists[len(fle.lists)-1-back]
	pro.SetMembers(pro.clock(fle.now), list.Version, list.Members)
}

func (fle *fleet) current() []*process {
	var out []*process
	for _, pro := range fle.processes {
		if !pro.replaced {
			out = append(out, pro)
		}
	}
	return out
}

func (fle *fleet) processOf(host string) *process {
	for _, pro := range fle.processes {
		if pro.host == host && !pro.replaced {
			return pro
		}
	}
	return nil
}

// act makes one random change to the lists, the network or a process.
func (fle *fleet) act() {
	all := fle.current()
	pro := all[fle.cho.IntN(len(all))]
	switch fle.cho.IntN(12) {
	case 0, 1:
		fle.change()
	case 2:
		for _, other := range all {
			fle.side[other.host] = fle.cho.IntN(2)
		}
	case 3, 4:
		clear(fle.side)
	case 5:
		pro.paused = true
	case 6, 7, 8:
		for _, other := range fle.processes {
			other.paused = other.paused && fle.cho.IntN(2) == 0
		}
	case 9:
		if fle.mayForget(pro.host) {
			pro.replaced = true
			if !pro.paused {
				fle.drop(pro)
			}
			fle.start(pro.host)
		}
	case 10:
		pro.frozen = !pro.frozen
	case 11:
	}
}

// drop ends a process; a paused one that has been replaced stays and wakes later.
func (fle *fleet) drop(pro *process) {
	fle.processes = slices.DeleteFunc(fle.processes, func(other *process) bool { return other == pro })
}

// change publishes a list with one host added, removed or replaced.
func (fle *fleet) change() {
	last := fle.lists[len(fle.lists)-1]
	members := slices.Clone(last.Members)
	kind := fle.cho.IntN(3)
	if kind != 0 && len(members) > 1 {
		members = slices.Delete(members, 0, 1+fle.cho.IntN(max(1, (len(members)-1)/2)))
	}
	if kind != 1 {
		for range 1 + fle.cho.IntN(2) {
			members = append(members, fle.name())
		}
	}
	fle.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	fle.lists = append(fle.lists, lease.Membership{Version: last.Version + 1, Members: members})
	for _, host := range members {
		if fle.processOf(host) == nil {
			fle.start(host)
		}
	}
}

// mayForget says whether a host may lose its memory: at most a minority of every list is without memory at once.
// If a majority forgets and then reads only stale lists, no protocol without disks can know of the newer list.
func (fle *fleet) mayForget(host string) bool {
	for _, list := range fle.lists {
		lost := 0
		for _, member := range list.Members {
			pro := fle.processOf(member)
			if member == host || pro == nil || !pro.Recovered() {
				lost++
			}
		}
		if slices.Contains(list.Members, host) && lost > (len(list.Members)-1)/2 {
			return false
		}
	}
	return true
}

func (fle *fleet) send(pac packet) {
	if fle.rng.IntN(100) < fle.loss {
		return
	}
	delay := time.Duration(fle.rng.IntN(100)) * time.Millisecond
	if fle.rng.IntN(20) == 0 {
		delay = time.Duration(fle.rng.IntN(12)) * time.Second
	}
	pac.at = fle.now + delay
	fle.packets = append(fle.packets, &pac)
}

func (fle *fleet) tick() {
	for _, pro := range fle.processes {
		if pro.paused {
			continue
		}
		if !pro.frozen && fle.rng.IntN(40) == 0 {
			fle.read(pro)
		}
		now := pro.clock(fle.now)
		for _, host := range pro.DueHosts(now) {
			fle.send(packet{from: pro, host: host, msg: pro.Message(now, host), sentAt: now})
		}
	}
	fle.deliver()
	fle.now += step
}

func (fle *fleet) deliver() {
	waiting := fle.packets
	fle.packets = nil
	for _, pac := range waiting {
		to := pac.to
		if !pac.answer {
			to = fle.processOf(pac.host)
		}
		if to == nil || fle.side[to.host] != fle.side[pac.from.host] {
			continue
		}
		if pac.at > fle.now || to.paused {
			fle.packets = append(fle.packets, pac)
			continue
		}
		now := to.clock(fle.now)
		if pac.answer {
			to.HandleAck(now, pac.sentAt, pac.from.host, pac.msg)
			continue
		}
		reply := to.HandleContact(now, pac.from.host, pac.msg)
		fle.send(packet{from: to, to: pac.from, msg: reply, answer: true, sentAt: pac.sentAt})
	}
}

// measure adds up the shares of all processes: paused ones count, because they may wake and use theirs now.
func (fle *fleet) measure() {
	var sum, unlimited, atOnce float64
	for _, pro := range fle.processes {
		now := pro.clock(fle.now)
		share, _ := pro.Share(now)
		sum += share
		unlimited += pro.Granted()
		if pro.HasQuorum(now) {
			atOnce += 1 / float64(len(pro.Members()))
		}
	}
	fle.worst = max(fle.worst, sum)
	fle.worstUnlimited = max(fle.worstUnlimited, unlimited)
	fle.worstAtOnce = max(fle.worstAtOnce, atOnce)
	fle.usable += sum
	fle.samples++
}

// run plays one schedule and stops at the first instant with too much share.
func (fle *fleet) run() {
	for next := 8 * time.Second; fle.now < runLength; {
		if fle.now >= next {
			fle.act()
			next += time.Duration(200+fle.rng.IntN(2500)) * time.Millisecond
		}
		fle.tick()
		fle.measure()
	}
}

// Guards against two processes that together hold more than the whole rate of a team.
func TestSharesNeverExceedOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		fle := newFleet(drawn{rt}, rand.New(rand.NewPCG(seed, 1)))
		fle.run()
		if fle.worst > 1+slack {
			rt.Fatalf("the shares add up to %.3f", fle.worst)
		}
	})
}

// Guards against a schedule generator that is too mild: the same schedules must break a lease without one of its rules.
func TestSchedulesFindMissingRules(t *testing.T) {
	results := make([]*fleet, *schedules)
	var grp errgroup.Group
	grp.SetLimit(4)
	for i := range results {
		grp.Go(func() error {
			rng := rand.New(rand.NewPCG(*seed, uint64(i)))
			results[i] = newFleet(rng, rng)
			results[i].run()
			return nil
		})
	}
	_ = grp.Wait()
	got := map[string]int{}
	var usable float64
	for i, fle := range results {
		if fle.worst > 1+slack {
			got["all rules"]++
			t.Errorf("schedule %d: the shares add up to %.3f", i, fle.worst)
		}
		if fle.worstUnlimited > 1+slack {
			got["no majority"]++
		}
		if fle.worstAtOnce > 1+slack {
			got["immediate increase"]++
		}
		usable += fle.usable / float64(fle.samples)
	}
	t.Logf("%d schedules, seed %d: sum of shares above 1 in %v; mean usable share %.2f", *schedules, *seed, got, usable/float64(*schedules))
	if got["no majority"] == 0 || got["immediate increase"] == 0 {
		t.Error("the schedules do not find a missing rule")
	}
}

// Guards against a share that is missing or too large in small groups and after lost hosts.
func TestSharesOfSmallGroups(t *testing.T) {
	full := []string{"a", "b", "c", "d"}
	tests := []struct {
		name   string
		first  []string
		second []string // list published after 10 s
		dead   []string // hosts that stop after 10 s
		want   []string // shares of a, b, c, d after 30 s
	}{
		{"one host", full[:1], nil, nil, []string{"1.00"}},
		{"two hosts", full[:2], nil, nil, []string{"0.50", "0.50"}},
		{"two hosts, one lost", full[:2], nil, []string{"b"}, []string{"0.00"}},
		{"two hosts, one lost and removed", full[:2], full[:1], []string{"b"}, []string{"1.00"}},
		{"three hosts, one lost", full[:3], nil, []string{"c"}, []string{"0.33", "0.33"}},
		{"half lost and removed", full, full[:2], []string{"c", "d"}, []string{"0.50", "0.50"}},
		{"majority lost and removed", full, full[:1], []string{"b", "c", "d"}, []string{"0.00"}},
		{"new host never answers", full[:2], full[:3], []string{"c"}, []string{"0.33", "0.33"}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			fle := &fleet{cho: rng, rng: rng, lists: []lease.Membership{{Version: 1, Members: tst.first}}}
			for _, host := range tst.first {
				fle.start(host).frozen = false
			}
			for fle.now < 10*time.Second {
				fle.tick()
			}
			for _, host := range tst.dead {
				if pro := fle.processOf(host); pro != nil {
					fle.drop(pro)
				}
			}
			if tst.second != nil {
				fle.lists = append(fle.lists, lease.Membership{Version: 2, Members: tst.second})
			}
			for fle.now < 30*time.Second {
				fle.tick()
			}
			var got []string
			for _, pro := range fle.processes {
				share, _ := pro.Share(pro.clock(fle.now))
				got = append(got, fmt.Sprintf("%.2f", share))
			}
			if diff := cmp.Diff(tst.want, got); diff != "" {
				t.Errorf("shares (-want +got):\n%s", diff)
			}
		})
	}
}

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
	tolerance = 1e-9 // of a sum of shares, for rounding errors
)

var (
	schedules = flag.Int("schedules", 200, "number of schedules of the differential run")
	seed      = flag.Uint64("seed", 11, "seed of the differential run")
)

// chooser makes the random choices of a schedule; rapid or a seeded generator draws them.
type chooser interface{ IntN(n int) int }

// rapidChooser lets rapid draw the choices.
type rapidChooser struct{ rt *rapid.T }

func (rch rapidChooser) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(rch.rt, "choice") }

// process is one process of a host; its clock runs up to 8% slow or fast.
type process struct {
	*lease.Lease
	host               string
	clockRate          float64 // speed of the clock, 1 for real time
	paused             bool
	replaced           bool // a later process of the host has started
	readsNoMemberships bool // learns of new memberships only from other hosts
}

// clock returns what the clock of the process shows at a real time.
func (pro *process) clock(at time.Duration) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(at) * pro.clockRate))
}

// delivery is a contact or an answer in transit. A contact goes to the current process of a host, an answer to the
// process that sent the contact.
type delivery struct {
	deliverAt time.Duration
	from, to  *process
	host      string
	msg       lease.Message
	isAnswer  bool
	sentAt    time.Time // when the contact was sent, by its sender's clock
}

// cluster runs the processes of one group under a random schedule.
type cluster struct {
	cho             chooser
	rng             *rand.Rand
	now             time.Duration      // real time since the start
	memberships     []lease.Membership // all published ones, the current one last
	processes       []*process
	deliveries      []*delivery
	partition       map[string]int // side of each host in a network partition; different sides cannot reach each other
	hostCount       int
	lastIncarnation uint64
	lossPercent     int

	// Highest sums of the shares of all processes at one time: under all rules, if a share did not need contact with a
	// majority, and if an increase applied without a confirmation round.
	maxSum, maxSumWithoutMajority, maxSumWithoutRound float64

	shareSum float64 // of all samples, for the mean
	samples  int
}

// newCluster starts one to six hosts; 0, 2 or 20% of their messages are lost.
func newCluster(cho chooser, rng *rand.Rand) *cluster {
	clu := &cluster{cho: cho, rng: rng, partition: map[string]int{}, lossPercent: []int{0, 2, 20}[cho.IntN(3)]}
	var members []string
	for range 1 + cho.IntN(6) {
		members = append(members, clu.newHostName())
	}
	clu.memberships = []lease.Membership{{Version: 1, Members: members}}
	for _, host := range members {
		clu.startProcess(host)
	}
	return clu
}

func (clu *cluster) newHostName() string {
	clu.hostCount++
	return fmt.Sprintf("h%02d", clu.hostCount)
}

// startProcess starts a new process of a host, with a random clock rate.
func (clu *cluster) startProcess(host string) *process {
	clu.lastIncarnation++
	pro := &process{
		Lease: lease.New("nord-a", host, clu.lastIncarnation, term), host: host,
		clockRate: 0.92 + 0.16*clu.rng.Float64(), readsNoMemberships: clu.cho.IntN(5) == 0,
	}
	clu.processes = append(clu.processes, pro)
	clu.readMembership(pro)
	return pro
}

// readMembership applies one of the last few published memberships to a process.
func (clu *cluster) readMembership(pro *process) {
	lag := min(clu.rng.IntN(4)*clu.rng.IntN(2), len(clu.memberships)-1)
	mem := clu.memberships[len(clu.memberships)-1-lag]
	pro.SetMembers(pro.clock(clu.now), mem.Version, mem.Members)
}

// currentProcesses returns the processes that no later one has replaced.
func (clu *cluster) currentProcesses() []*process {
	var out []*process
	for _, pro := range clu.processes {
		if !pro.replaced {
			out = append(out, pro)
		}
	}
	return out
}

// processOf returns the current process of a host, or nil if it has none.
func (clu *cluster) processOf(host string) *process {
	for _, pro := range clu.processes {
		if pro.host == host && !pro.replaced {
			return pro
		}
	}
	return nil
}

// randomChange makes one random change to the membership, the network or a process.
func (clu *cluster) randomChange() {
	all := clu.currentProcesses()
	pro := all[clu.cho.IntN(len(all))]
	switch clu.cho.IntN(12) {
	case 0, 1:
		clu.changeMembership()
	case 2:
		for _, other := range all {
			clu.partition[other.host] = clu.cho.IntN(2)
		}
	case 3, 4:
		clear(clu.partition)
	case 5:
		pro.paused = true
	case 6, 7, 8:
		for _, other := range clu.processes {
			other.paused = other.paused && clu.cho.IntN(2) == 0
		}
	case 9:
		if clu.mayLoseMemory(pro.host) {
			pro.replaced = true
			if !pro.paused {
				clu.removeProcess(pro)
			}
			clu.startProcess(pro.host)
		}
	case 10:
		pro.readsNoMemberships = !pro.readsNoMemberships
	case 11:
	}
}

// removeProcess ends a process. It is not called for a paused process that is replaced, which resumes later.
func (clu *cluster) removeProcess(pro *process) {
	clu.processes = slices.DeleteFunc(clu.processes, func(other *process) bool { return other == pro })
}

// changeMembership publishes a membership with hosts added, removed or replaced.
func (clu *cluster) changeMembership() {
	latest := clu.memberships[len(clu.memberships)-1]
	members := slices.Clone(latest.Members)
	change := clu.cho.IntN(3)
	if change != 0 && len(members) > 1 {
		members = slices.Delete(members, 0, 1+clu.cho.IntN(max(1, (len(members)-1)/2)))
	}
	if change != 1 {
		for range 1 + clu.cho.IntN(2) {
			members = append(members, clu.newHostName())
		}
	}
	clu.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	clu.memberships = append(clu.memberships, lease.Membership{Version: latest.Version + 1, Members: members})
	for _, host := range members {
		if clu.processOf(host) == nil {
			clu.startProcess(host)
		}
	}
}

// mayLoseMemory reports whether the process of a host may restart without memory: at most a minority of every membership
// may be without memory at once. If a majority loses its memory and then reads only stale memberships, no protocol
// without storage on disk can know the newer membership.
func (clu *cluster) mayLoseMemory(host string) bool {
	for _, mem := range clu.memberships {
		withoutMemory := 0
		for _, member := range mem.Members {
			pro := clu.processOf(member)
			if member == host || pro == nil || !pro.Recovered() {
				withoutMemory++
			}
		}
		if slices.Contains(mem.Members, host) && withoutMemory > (len(mem.Members)-1)/2 {
			return false
		}
	}
	return true
}

// sendWithDelay sends a message with a random delay, or loses it.
func (clu *cluster) sendWithDelay(del delivery) {
	if clu.rng.IntN(100) < clu.lossPercent {
		return
	}
	delay := time.Duration(clu.rng.IntN(100)) * time.Millisecond
	if clu.rng.IntN(20) == 0 {
		delay = time.Duration(clu.rng.IntN(12)) * time.Second
	}
	del.deliverAt = clu.now + delay
	clu.deliveries = append(clu.deliveries, &del)
}

// runStep lets all processes send the contacts that are due, delivers the messages that are due and advances the time.
func (clu *cluster) runStep() {
	for _, pro := range clu.processes {
		if pro.paused {
			continue
		}
		if !pro.readsNoMemberships && clu.rng.IntN(40) == 0 {
			clu.readMembership(pro)
		}
		now := pro.clock(clu.now)
		for _, host := range pro.DueHosts(now) {
			clu.sendWithDelay(delivery{from: pro, host: host, msg: pro.Message(now, host), sentAt: now})
		}
	}
	clu.deliverDue()
	clu.now += step
}

// deliverDue delivers the messages that are due. Others, and those to a paused process, stay; those to a host without a
// process or on another side of the partition are lost.
func (clu *cluster) deliverDue() {
	pending := clu.deliveries
	clu.deliveries = nil
	for _, del := range pending {
		to := del.to
		if !del.isAnswer {
			to = clu.processOf(del.host)
		}
		if to == nil || clu.partition[to.host] != clu.partition[del.from.host] {
			continue
		}
		if del.deliverAt > clu.now || to.paused {
			clu.deliveries = append(clu.deliveries, del)
			continue
		}
		now := to.clock(clu.now)
		if del.isAnswer {
			to.HandleAck(now, del.sentAt, del.from.host, del.msg)
			continue
		}
		reply := to.HandleContact(now, del.from.host, del.msg)
		clu.sendWithDelay(delivery{from: to, to: del.from, msg: reply, isAnswer: true, sentAt: del.sentAt})
	}
}

// measureShares adds up the shares of all processes. Paused ones count, because they may resume and use theirs now.
func (clu *cluster) measureShares() {
	var sum, sumWithoutMajority, sumWithoutRound float64
	for _, pro := range clu.processes {
		now := pro.clock(clu.now)
		share, _ := pro.Share(now)
		sum += share
		sumWithoutMajority += pro.GrantedShare()
		if pro.HasQuorum(now) {
			sumWithoutRound += 1 / float64(len(pro.Members()))
		}
	}
	clu.maxSum = max(clu.maxSum, sum)
	clu.maxSumWithoutMajority = max(clu.maxSumWithoutMajority, sumWithoutMajority)
	clu.maxSumWithoutRound = max(clu.maxSumWithoutRound, sumWithoutRound)
	clu.shareSum += sum
	clu.samples++
}

// run runs one schedule and measures the shares after each step.
func (clu *cluster) run() {
	for nextChange := 8 * time.Second; clu.now < runLength; {
		if clu.now >= nextChange {
			clu.randomChange()
			nextChange += time.Duration(200+clu.rng.IntN(2500)) * time.Millisecond
		}
		clu.runStep()
		clu.measureShares()
	}
}

// Guards against shares of all processes of a group that add up to more than 1, so that a team would get more than its
// rate. Stale memberships, partitions, lost and late messages, paused and restarted processes and clock drift could cause
// that.
func TestSharesNeverExceedOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		clu := newCluster(rapidChooser{rt}, rand.New(rand.NewPCG(seed, 1)))
		clu.run()
		if clu.maxSum > 1+tolerance {
			rt.Fatalf("the shares of all processes add up to %.3f, above 1", clu.maxSum)
		}
	})
}

// Guards against schedules with too few faults to prove anything: the same schedules must bring the sum of the shares
// above 1 if a share does not need contact with a majority, and if an increase applies without a confirmation round.
func TestSchedulesFindMissingRules(t *testing.T) {
	results := make([]*cluster, *schedules)
	var grp errgroup.Group
	grp.SetLimit(4)
	for i := range results {
		grp.Go(func() error {
			rng := rand.New(rand.NewPCG(*seed, uint64(i)))
			results[i] = newCluster(rng, rng)
			results[i].run()
			return nil
		})
	}
	_ = grp.Wait()
	got := map[string]int{}
	var usable float64
	for i, clu := range results {
		if clu.maxSum > 1+tolerance {
			got["all rules"]++
			t.Errorf("schedule %d: the shares of all processes add up to %.3f, above 1", i, clu.maxSum)
		}
		if clu.maxSumWithoutMajority > 1+tolerance {
			got["no majority"]++
		}
		if clu.maxSumWithoutRound > 1+tolerance {
			got["immediate increase"]++
		}
		usable += clu.shareSum / float64(clu.samples)
	}
	t.Logf("%d schedules, seed %d: sum of shares above 1 in %v; mean usable share %.2f", *schedules, *seed, got, usable/float64(*schedules))
	if got["no majority"] == 0 || got["immediate increase"] == 0 {
		t.Error("the sum of the shares stays within 1 without the majority rule or with immediate increases, so the schedules prove nothing")
	}
}

// Guards against a share that is missing or too large in groups of one to four hosts, and after hosts have stopped, with
// or without their removal from the membership.
func TestSharesOfSmallGroups(t *testing.T) {
	allHosts := []string{"a", "b", "c", "d"}
	tests := []struct {
		name           string
		members        []string
		changedMembers []string // membership published after 10 s
		stopped        []string // hosts that stop after 10 s
		want           []string // shares of the processes that run after 30 s
	}{
		{"one host", allHosts[:1], nil, nil, []string{"1.00"}},
		{"two hosts", allHosts[:2], nil, nil, []string{"0.50", "0.50"}},
		{"two hosts, one lost", allHosts[:2], nil, []string{"b"}, []string{"0.00"}},
		{"two hosts, one lost and removed", allHosts[:2], allHosts[:1], []string{"b"}, []string{"1.00"}},
		{"three hosts, one lost", allHosts[:3], nil, []string{"c"}, []string{"0.33", "0.33"}},
		{"half lost and removed", allHosts, allHosts[:2], []string{"c", "d"}, []string{"0.50", "0.50"}},
		{"majority lost and removed", allHosts, allHosts[:1], []string{"b", "c", "d"}, []string{"0.00"}},
		{"new host never answers", allHosts[:2], allHosts[:3], []string{"c"}, []string{"0.33", "0.33"}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			clu := &cluster{cho: rng, rng: rng, memberships: []lease.Membership{{Version: 1, Members: tst.members}}}
			for _, host := range tst.members {
				clu.startProcess(host).readsNoMemberships = false
			}
			for clu.now < 10*time.Second {
				clu.runStep()
			}
			for _, host := range tst.stopped {
				if pro := clu.processOf(host); pro != nil {
					clu.removeProcess(pro)
				}
			}
			if tst.changedMembers != nil {
				clu.memberships = append(clu.memberships, lease.Membership{Version: 2, Members: tst.changedMembers})
			}
			for clu.now < 30*time.Second {
				clu.runStep()
			}
			var got []string
			for _, pro := range clu.processes {
				share, _ := pro.Share(pro.clock(clu.now))
				got = append(got, fmt.Sprintf("%.2f", share))
			}
			if diff := cmp.Diff(tst.want, got); diff != "" {
				t.Errorf("shares (-want +got):\n%s", diff)
			}
		})
	}
}

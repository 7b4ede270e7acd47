package fleet_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"amaranthline/io/node"
	"amaranthline/stand/fleet"
)

const (
	restTime     = 15 * time.Second
	changeRounds = 10
	changePause  = 2 * time.Second
	clockTicks   = 100.0 // ticks a second in /proc/PID/stat, the same on all Linux systems
)

// usage is what one process has used so far.
type usage struct {
	cpu, read, written, rss, peak float64 // seconds, bytes, bytes, bytes, bytes
}

// procFields reads "name: value" lines of a file of /proc.
func procFields(t *testing.T, pid int, file string) map[string]float64 {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), file))
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		if words := strings.Fields(value); len(words) > 0 {
			out[name], _ = strconv.ParseFloat(words[0], 64)
		}
	}
	return out
}

func processorTime(t *testing.T, pid int) float64 {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	words := strings.Fields(rest)
	user, _ := strconv.ParseFloat(words[11], 64) // field 14 of proc(5)
	system, _ := strconv.ParseFloat(words[12], 64)
	return (user + system) / clockTicks
}

func usages(t *testing.T, hosts []*fleet.Host) []usage {
	t.Helper()
	var out []usage
	for _, hos := range hosts {
		pid := hos.Node().PID()
		bytes, status := procFields(t, pid, "io"), procFields(t, pid, "status")
		out = append(out, usage{
			cpu: processorTime(t, pid), read: bytes["rchar"], written: bytes["wchar"],
			rss: status["VmRSS"] * 1024, peak: status["VmHWM"] * 1024,
		})
	}
	return out
}

// phase is what the nodes used in a span of time.
type phase struct {
	before, after []usage
	span          time.Duration
}

func (pha phase) rate(what func(usage) float64) (mean, most float64) {
	for num := range pha.before {
		rate := (what(pha.after[num]) - what(pha.before[num])) / pha.span.Seconds()
		mean += rate / float64(len(pha.before))
		most = max(most, rate)
	}
	return mean, most
}

var capacityKinds = []struct {
	name, unit string
	scale      float64 // of the rate
	each       float64 // of what one change uses
	eachUnit   string
	read       func(usage) float64
}{
	{"cpu", "% of a core", 100, 1000, "ms", func(use usage) float64 { return use.cpu }},
	{"in", "B/s", 1, 1, "B", func(use usage) float64 { return use.read }},
	{"out", "B/s", 1, 1, "B", func(use usage) float64 { return use.written }},
}

func capacityPlan(domains, services, teams int) fleet.Plan {
	pla := plan()
	model := pla.Services[0]
	model.NestedCalls, model.UpstreamArgs = nil, nil
	pla.Domains, pla.Services, pla.Teams = nil, nil, nil
	for num := range domains {
		pla.Domains = append(pla.Domains, fmt.Sprintf("domain-%d", num))
	}
	for num := range services {
		model.Name = fmt.Sprintf("service-%d", num)
		pla.Services = append(pla.Services, model)
	}
	for num := range teams {
		pla.Teams = append(pla.Teams, fleet.Team{Name: fmt.Sprintf("team-%d", num), Rate: 1000, Burst: 2000})
	}
	return pla
}

// TestCapacity reports what a node spends on control without calls, for docs/CAPACITY.md. It judges nothing and runs
// only when AMARANTHLINE_CAPACITY is set.
func TestCapacity(t *testing.T) {
	if os.Getenv("AMARANTHLINE_CAPACITY") == "" {
		t.Skip("set AMARANTHLINE_CAPACITY=1 to measure")
	}
	type size struct{ domains, services, teams, listed int }
	// At most 132 processes at a time.
	for num, group := range [][]size{
		{{3, 2, 2, 0}, {3, 20, 2, 0}},
		{{3, 7, 2, 0}, {3, 7, 50, 0}},
		{{3, 7, 200, 0}, {9, 2, 2, 0}},
		{{3, 2, 2, 494}, {3, 2, 2, 1894}},
	} {
		t.Run(fmt.Sprintf("group%d", num), func(t *testing.T) {
			for _, siz := range group {
				t.Run(fmt.Sprintf("%+v", siz), func(t *testing.T) {
					t.Parallel()
					capacityOf(t, capacityPlan(siz.domains, siz.services, siz.teams), siz.listed)
				})
			}
		})
	}
}

// hostList is a host list of the fleet's hosts and of others in further failure domains that do not run.
func hostList(hosts []*fleet.Host, more int, version uint64) []byte {
	var list []map[string]string
	add := func(id, domain, service, peer string) {
		list = append(list, map[string]string{"id": id, "domain": domain, "service": service, "peer": peer, "state": "live"})
	}
	for _, hos := range hosts {
		add(hos.ID(), hos.Domain(), hos.ID()[:len(hos.ID())-len(hos.Domain())-1], hos.Peer())
	}
	for num := range more {
		add(fmt.Sprintf("absent-%016x", uint64(num+1)*0x9e3779b97f4a7c15), fmt.Sprintf("absent-%d", num%6),
			fmt.Sprintf("absent-%d", num%190), fmt.Sprintf("127.99.%d.%d:9", num/200, 1+num%200))
	}
	data, err := json.Marshal(map[string]any{"version": version, "hosts": list})
	if err != nil {
		panic(err) // strings and a number
	}
	return data
}

func capacityOf(t *testing.T, pla fleet.Plan, listed int) {
	fle, err := fleet.Start(t.Context(), program, pla, os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fle.Close)
	hosts := fle.Hosts()
	version := uint64(1)
	publish := func() {
		version++
		fle.ConfigService().Publish("hosts", hostList(hosts, listed, version))
	}
	publish()
	time.Sleep(5 * time.Second) // a term after the nodes are ready, so that connections and shares are settled
	span := func(what func()) phase {
		begin, before := time.Now(), usages(t, hosts)
		what()
		return phase{before: before, after: usages(t, hosts), span: time.Since(begin)}
	}
	rest := span(func() { time.Sleep(restTime) })
	change := span(func() {
		for range changeRounds {
			publish()
			if err := fle.Publish(pla); err != nil {
				t.Fatal(err)
			}
			time.Sleep(changePause)
		}
	})
	for _, kin := range capacityKinds {
		still, stillMost := rest.rate(kin.read)
		busy, busyMost := change.rate(kin.read)
		perChange := (busy - still) * change.span.Seconds() / (2 * changeRounds)
		t.Logf("%s, %s: rest mean %.3g max %.3g, with changes mean %.3g max %.3g %s; a change %.3g %s", t.Name(), kin.name,
			still*kin.scale, stillMost*kin.scale, busy*kin.scale, busyMost*kin.scale, kin.unit, perChange*kin.each, kin.eachUnit)
	}
	var rss, most, peers float64
	for num, use := range change.after {
		rss += use.rss / float64(len(hosts))
		most = max(most, use.peak)
		var sta node.Status
		if err := fleet.GetJSON(t.Context(), hosts[num].Admin()+"/status", &sta); err != nil {
			t.Fatal(err)
		}
		peers += float64(len(sta.Peers)) / float64(len(hosts))
	}
	load, _ := os.ReadFile("/proc/loadavg")
	t.Logf("%s, RSS mean %.1f MB, peak of any %.1f MB; connections kept %.1f; load %s", t.Name(), rss/1e6, most/1e6, peers, load)
}

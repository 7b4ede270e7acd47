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
	idleDuration        = 15 * time.Second
	changeRounds        = 10
	changeInterval      = 2 * time.Second
	clockTicksPerSecond = 100.0 // of the times in /proc/PID/stat, the same on all Linux systems
)

// usage holds the resources that one process has used since its start; rssBytes is its current resident memory.
type usage struct {
	cpuSeconds, bytesRead, bytesWritten, rssBytes, peakRSSBytes float64
}

// procFields reads a file in /proc/PID that consists of lines "name: value".
func procFields(t *testing.T, pid int, file string) map[string]float64 {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), file))
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		if fields := strings.Fields(value); len(fields) > 0 {
			out[name], _ = strconv.ParseFloat(fields[0], 64)
		}
	}
	return out
}

func cpuSeconds(t *testing.T, pid int) float64 {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		t.Fatal(err)
	}
	_, afterName, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	user, _ := strconv.ParseFloat(fields[11], 64) // field 14 of proc(5)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond
}

func readUsages(t *testing.T, hosts []*fleet.Host) []usage {
	t.Helper()
	var out []usage
	for _, hos := range hosts {
		pid := hos.Node().PID()
		bytes, status := procFields(t, pid, "io"), procFields(t, pid, "status")
		out = append(out, usage{
			cpuSeconds: cpuSeconds(t, pid), bytesRead: bytes["rchar"], bytesWritten: bytes["wchar"],
			rssBytes: status["VmRSS"] * 1024, peakRSSBytes: status["VmHWM"] * 1024,
		})
	}
	return out
}

// measurement is the usage of each node at the start and at the end of an interval.
type measurement struct {
	before, after []usage
	duration      time.Duration
}

// ratePerSecond returns the increase of a value per second: the mean of all nodes and the highest of any node.
func (mea measurement) ratePerSecond(value func(usage) float64) (mean, peak float64) {
	for num := range mea.before {
		rate := (value(mea.after[num]) - value(mea.before[num])) / mea.duration.Seconds()
		mean += rate / float64(len(mea.before))
		peak = max(peak, rate)
	}
	return mean, peak
}

var resources = []struct {
	name, usageRateUnit string
	rateScale           float64 // multiplies a usage per second to give usageRateUnit
	changeScale         float64 // multiplies the usage of one change to give changeUnit
	changeUnit          string
	read                func(usage) float64
}{
	{"cpu", "% of a core", 100, 1000, "ms", func(use usage) float64 { return use.cpuSeconds }},
	{"in", "B/s", 1, 1, "B", func(use usage) float64 { return use.bytesRead }},
	{"out", "B/s", 1, 1, "B", func(use usage) float64 { return use.bytesWritten }},
}

func capacityPlan(domains, services, teams int) fleet.Plan {
	pla := plan()
	template := pla.Services[0]
	template.NestedCalls, template.UpstreamArgs = nil, nil
	pla.Domains, pla.Services, pla.Teams = nil, nil, nil
	for num := range domains {
		pla.Domains = append(pla.Domains, fmt.Sprintf("domain-%d", num))
	}
	for num := range services {
		template.Name = fmt.Sprintf("service-%d", num)
		pla.Services = append(pla.Services, template)
	}
	for num := range teams {
		pla.Teams = append(pla.Teams, fleet.Team{Name: fmt.Sprintf("team-%d", num), Rate: 1000, Burst: 2000})
	}
	return pla
}

// TestCapacity reports the processor time, traffic and memory that a node uses for coordination while no calls arrive, for
// docs/CAPACITY.md. It checks no bounds, and runs only when AMARANTHLINE_CAPACITY is set.
func TestCapacity(t *testing.T) {
	if os.Getenv("AMARANTHLINE_CAPACITY") == "" {
		t.Skip("set AMARANTHLINE_CAPACITY=1 to measure")
	}
	// listed is the number of hosts that are added to the host list but do not run.
	type size struct{ domains, services, teams, listed int }
	// The fleets of one group run at the same time: at most 132 processes.
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
					measureCapacity(t, capacityPlan(siz.domains, siz.services, siz.teams), siz.listed)
				})
			}
		})
	}
}

// hostList returns a host list of the fleet's hosts and of hosts of other services and failure domains that do not run.
func hostList(hosts []*fleet.Host, absent int, version uint64) []byte {
	var entries []map[string]string
	add := func(id, domain, service, peer string) {
		entries = append(entries, map[string]string{"id": id, "domain": domain, "service": service, "peer": peer, "state": "live"})
	}
	for _, hos := range hosts {
		add(hos.ID(), hos.Domain(), hos.ID()[:len(hos.ID())-len(hos.Domain())-1], hos.Peer())
	}
	for num := range absent {
		add(fmt.Sprintf("absent-%016x", uint64(num+1)*0x9e3779b97f4a7c15), fmt.Sprintf("absent-%d", num%6),
			fmt.Sprintf("absent-%d", num%190), fmt.Sprintf("127.99.%d.%d:9", num/200, 1+num%200))
	}
	data, err := json.Marshal(map[string]any{"version": version, "hosts": entries})
	if err != nil {
		panic(err) // the document holds only strings and a number
	}
	return data
}

func measureCapacity(t *testing.T, pla fleet.Plan, absent int) {
	fle, err := fleet.Start(t.Context(), program, pla, os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fle.Close)
	hosts := fle.Hosts()
	version := uint64(1)
	publish := func() {
		version++
		fle.FirstConfigService().Publish("hosts", hostList(hosts, absent, version))
	}
	publish()
	time.Sleep(5 * time.Second) // longer than the term of a share (4 s), so that connections and shares have settled
	measure := func(action func()) measurement {
		start, before := time.Now(), readUsages(t, hosts)
		action()
		return measurement{before: before, after: readUsages(t, hosts), duration: time.Since(start)}
	}
	idle := measure(func() { time.Sleep(idleDuration) })
	changing := measure(func() {
		for range changeRounds {
			publish()
			if err := fle.Publish(pla); err != nil {
				t.Fatal(err)
			}
			time.Sleep(changeInterval)
		}
	})
	for _, rsc := range resources {
		idleMean, idlePeak := idle.ratePerSecond(rsc.read)
		changingMean, changingPeak := changing.ratePerSecond(rsc.read)
		perChange := (changingMean - idleMean) * changing.duration.Seconds() / (2 * changeRounds)
		t.Logf("%s, %s: idle mean %.3g max %.3g, with changes mean %.3g max %.3g %s; per change %.3g %s", t.Name(), rsc.name,
			idleMean*rsc.rateScale, idlePeak*rsc.rateScale, changingMean*rsc.rateScale, changingPeak*rsc.rateScale, rsc.usageRateUnit, perChange*rsc.changeScale, rsc.changeUnit)
	}
	var rss, peak, peers float64
	for num, use := range changing.after {
		rss += use.rssBytes / float64(len(hosts))
		peak = max(peak, use.peakRSSBytes)
		var sta node.Status
		if err := fleet.GetJSON(t.Context(), hosts[num].Admin()+"/status", &sta); err != nil {
			t.Fatal(err)
		}
		peers += float64(len(sta.Peers)) / float64(len(hosts))
	}
	load, _ := os.ReadFile("/proc/loadavg")
	t.Logf("%s, RSS mean %.1f MB, highest peak of a node %.1f MB; peer connections per node %.1f; load of the machine %s", t.Name(), rss/1e6, peak/1e6, peers, load)
}

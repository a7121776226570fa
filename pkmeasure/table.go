package pkmeasure

import (
	"fmt"
	"strings"
)

// The target size and its limits, from the requirements.
const (
	targetNodes    = 380.0
	targetReplicas = 4500.0
	targetRequests = 15_000.0
	targetTokens   = 5.5e6
	targetAccounts = 440.0

	targetCenters      = 17.0
	changesPerDay      = 9400.0
	limitInForce       = 18.0
	limitProcessor     = 0.045
	limitMemory        = 256e6
	limitBytes         = 20_000.0
	limitStoreCalls    = 2000.0
	secondsPerDay      = 86_400.0
	replacementsPerDay = 74.0 + 530.0

	// Values that follow from the design.
	nodesPerCenter       = targetNodes / targetCenters
	linksPerRemoteCenter = 2.0
	linksPerNode         = nodesPerCenter - 1 + linksPerRemoteCenter*(targetCenters-1)
	watchersPerCenter    = 2.0
	watcherRereadSeconds = 10.0
	otherRereadSeconds   = 30.0
	leaseRenewSeconds    = 10.0
	sendBudget           = 10_000.0
)

// row is a row of the capacity table.
type row struct {
	what, mechanism, formula string
	figure, limit            float64
	unit                     string
	// note replaces the verdict if the limit does not determine it.
	note string
}

func (r row) verdict() string {
	switch {
	case r.note != "":
		return r.note
	case r.figure <= r.limit:
		return "holds"
	default:
		return "does not hold yet"
	}
}

func (r row) margin() string {
	if r.limit == 0 || r.figure == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fx", r.limit/r.figure)
}

type seriesByName map[string]Series

// Table returns the capacity table in Markdown, computed from measured series. It fails if a required
// series is missing.
func Table(all []Series) (string, error) {
	byName := seriesByName{}
	for _, s := range all {
		byName[s.Name] = s
	}
	for _, name := range []string{
		"choose_by_replicas", "vm_list_by_replicas", "vm_list_bytes_by_replicas", "heap_by_replicas", "admission_by_accounts",
		"manifest_by_accounts", "manifest_bytes_by_accounts", "manifest_packed_bytes_by_accounts", "entry_processor_time_by_tokens", "control_processor_share_by_nodes",
		"control_sent_by_nodes", "heap_by_nodes", "in_force_by_nodes", "store_calls_by_nodes",
	} {
		if _, found := byName[name]; !found {
			return "", fmt.Errorf("series %s is missing: run all measurements", name)
		}
	}
	var b strings.Builder
	b.WriteString("| what | mechanism | formula | figure | limit | margin | verdict |\n|---|---|---|---|---|---|---|\n")
	rows := append(byName.dataRows(), byName.controlRows()...)
	for _, r := range append(rows, byName.stateRows()...) {
		limit := "-"
		if r.limit > 0 {
			limit = fmt.Sprintf("%.4g %s", r.limit, r.unit)
		}
		figure := "-"
		if r.figure > 0 {
			figure = fmt.Sprintf("%.4g %s", r.figure, r.unit)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.what, r.mechanism, r.formula, figure, limit, r.margin(), r.verdict())
	}
	b.WriteString("\n| series | slope | at 0 | largest residual | points |\n|---|---|---|---|---|\n")
	for _, s := range all {
		fmt.Fprintf(&b, "| %s | %.4g | %.4g | %.1f%% | %s |\n", s.Name, s.Slope, s.Intercept, 100*s.Residual, s.points())
	}
	return b.String(), nil
}

func (s Series) points() string {
	out := make([]string, len(s.Points))
	for i, p := range s.Points {
		out[i] = fmt.Sprintf("%.4g: %.4g", p.X, p.Y)
	}
	return strings.Join(out, ", ")
}

func (s seriesByName) dataRows() []row {
	dataPath := s["entry_processor_time_by_tokens"]
	tokens := targetTokens / targetNodes
	requests := targetRequests / targetNodes
	return []row{
		{
			"5.5 M tokens/s, a token", "the handler reads an engine's event and writes the caller's; one hop in the entry", "slope of entry_processor_time_by_tokens",
			dataPath.Slope, 15, "us", "",
		},
		{"15,000 requests/s, a request besides its tokens", "decode, account, admission, choice, one connection each way", "value at 0 of entry_processor_time_by_tokens", dataPath.Intercept, 250, "us", ""},
		{
			"cores of an entry at the peak", "all entries alike; the balancer spreads", fmt.Sprintf("(%.0f tokens/s x slope + %.1f requests/s x value at 0) / 10^6", tokens, requests),
			(tokens*dataPath.Slope + requests*dataPath.Intercept) / 1e6, 0, "cores", "sizes the VM: no limit is stated for the data path",
		},
		{
			"p95 first token 0.46 s, 29 ms between tokens", "choice by corrected load and links", "benchmark and replay, see below",
			0, 0, "", "the engines' time is outside this table",
		},
	}
}

func (s seriesByName) controlRows() []row {
	neighbors := nodesPerCenter
	processor := s["control_processor_share_by_nodes"].at(neighbors)
	list := s["vm_list_by_replicas"].at(targetReplicas) / 1e6 * replacementsPerDay / secondsPerDay
	adopt := s["manifest_by_accounts"].at(targetAccounts) / 1e6 * changesPerDay / secondsPerDay
	manifest := s["manifest_bytes_by_accounts"].at(targetAccounts)
	packed := s["manifest_packed_bytes_by_accounts"].at(targetAccounts)
	listBytes := s["vm_list_bytes_by_replicas"].at(targetReplicas)
	sent := min(s["control_sent_by_nodes"].Slope*linksPerNode, sendBudget)
	calls := storeCalls()
	return []row{
		{
			"380 nodes, 4.5% of a core", "polling split by rendezvous hashing; shares paced by a budget", "control_processor_share_by_nodes at 22 nodes + VM lists + manifests a day",
			processor + list + adopt, limitProcessor, "cores", "",
		},
		{"20 KB/s sent, shares with peers", "detail in the data centre, 2 links to each other one", "min(slope of control_sent_by_nodes x 53 links, the budget)", sent, limitBytes, "B/s", ""},
		{
			"20 KB/s received: shares, manifests, VM lists", "each body once a node, the VM list only when its tag changed",
			"budget + packed manifest bytes x 9,400/day + VM list bytes x 604/day", sendBudget + packed*changesPerDay/secondsPerDay + listBytes*replacementsPerDay/secondsPerDay,
			limitBytes, "B/s", "",
		},
		{
			"256 MB for control", "targets, plans, members, manifest", "heap_by_nodes at 22 + heap_by_replicas at 4,500 + 3 manifests",
			s["heap_by_nodes"].at(neighbors) + s["heap_by_replicas"].at(targetReplicas) + 3*manifest, limitMemory, "B", "",
		},
		{
			"9,400 changes a day in force in 18 s", "head watched by 2 nodes a data centre; shares pushed at once to 53 links", "in_force_by_nodes at 380, as if all were neighbors",
			s["in_force_by_nodes"].at(targetNodes) / 1000, limitInForce, "s", "",
		},
		{
			"calls on the key-value service", "2 watches a data centre, rereads, one lease a node", "34 watches + 34 x 2/10 s + 346/30 s + 380/10 s + 9,400/day x 34 x 2",
			calls, limitStoreCalls, "calls/s", "",
		},
		{"74 failures and 530 replacements a day", "hello to a seed or one list of the store; manifest from peers", "604 x 4 calls a day on the store", replacementsPerDay * 4 / secondsPerDay, limitStoreCalls, "calls/s", ""},
		{
			"VM list at the target size", "conditional reads twice a second", "vm_list_bytes_by_replicas at 4,500 x 604/day",
			listBytes * replacementsPerDay / secondsPerDay, limitBytes, "B/s", "",
		},
		{
			"loads of 4,500 replicas, 265 a data centre", "each node polls those that rendezvous hashing gives it", "265 / 22 nodes x 5/s", 265 / nodesPerCenter * 5, 0, "calls/s a node",
			"inside the measured share of a core; a data centre's nodes poll only their own: not built, every node still lists all",
		},
		{
			"rack, switch, data centre lost", "aliveFor of the membership; engines' beats for streams", "detection of a stream's loss: 4 beats of 150 ms",
			0.6, 1, "s", "",
		},
		{
			"regions apart for an hour", "members are tried for 2 h, back-off to 5 s", "32 far links / 5 s", 32.0 / 5, 0, "dials/s a node", "holds: no effect on the store; the membership's table of fates tests it",
		},
	}
}

// storeCalls returns the calls per second on the key-value service at the target size. A watch counts
// as one call.
func storeCalls() float64 {
	watchers := watchersPerCenter * targetCenters
	others := targetNodes - watchers
	rereads := watchers*2/watcherRereadSeconds + others/otherRereadSeconds
	bodyReads := changesPerDay / secondsPerDay * watchers * 2
	return watchers + rereads + targetNodes/leaseRenewSeconds + bodyReads
}

func (s seriesByName) stateRows() []row {
	return []row{
		{
			"4,500 replicas, 18,000 accelerators: a choice", "draws by rate, cheapest path through those drawn; accelerators count inside their replica",
			"choose_by_replicas at 4,500", s["choose_by_replicas"].at(targetReplicas), 20, "us", "",
		},
		{"440 accounts that all wait: an admission", "virtual time an account", "admission_by_accounts at 440", s["admission_by_accounts"].at(targetAccounts), 100, "us", ""},
		{"27 models", "one plan a model and adapter, made again when targets change", "plan_by_replicas slope x 4,500", s["plan_by_replicas"].Slope * targetReplicas, 0, "us", "604 a day: nothing"},
		{"5 kinds of accelerators, links 100x apart", "kinds by their reported step times, links by the settings' matrix", "part of a choice", s["choose_by_replicas"].at(targetReplicas), 20, "us", ""},
		{"7 regions, 17 data centres: links of a node", "21 neighbors + 2 x 16", "connections a node dials", linksPerNode, 0, "links", "bounded by 54 whatever the fleet's size"},
	}
}

package pkmeasure

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"peridotknot.example/pkadmit"
	"peridotknot.example/pkhead"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkplatform"
	"peridotknot.example/pkroute"
	"peridotknot.example/pktarget"
)

// cpuPerCall returns the mean processor time of n calls of do in microseconds.
func cpuPerCall(n int, do func()) float64 {
	took := cpuTimeOf(func() {
		for range n {
			do()
		}
	})
	return float64(took.Nanoseconds()) / 1000 / float64(n)
}

// retainedHeap returns the result of fill and the bytes of heap that it retains.
func retainedHeap[T any](fill func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return value, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// measureReplicas measures the costs that grow with the number of targets.
func measureReplicas(_ context.Context, progress func(string)) ([]Series, error) {
	choose := Series{Name: "choose_by_replicas", X: "replicas", Y: "microseconds of processor time a choice of chain"}
	plan := Series{Name: "plan_by_replicas", X: "replicas", Y: "microseconds of processor time a plan"}
	apply := Series{Name: "vm_list_by_replicas", X: "replicas", Y: "microseconds of processor time a VM list"}
	size := Series{Name: "vm_list_bytes_by_replicas", X: "replicas", Y: "bytes a VM list"}
	heap := Series{Name: "heap_by_replicas", X: "replicas", Y: "bytes of heap"}
	now := time.Now()
	for _, n := range []int{40, 500, 1500, 4500} {
		progress(fmt.Sprintf("%d replicas", n))
		x := float64(n)
		list := makeVMList(n)
		raw, err := json.Marshal(pkplatform.List{VMs: list})
		if err != nil {
			return nil, err
		}
		table, bytes := retainedHeap(func() *pktarget.Table { return makeTable(list, now) })
		all := table.All()
		spec := pkroute.ChainSpec{Pool: "p", Model: "m", Version: "1", Layers: 32}
		p := pkroute.NewPlan(spec, all)
		opts := pkroute.ChooseOptions{Now: now, Rand: rand.New(rand.NewPCG(1, 1))}
		choose.Points = append(choose.Points, Point{x, cpuPerCall(20000, func() { _, err = p.Choose(opts) })})
		if err != nil {
			return nil, err
		}
		plan.Points = append(plan.Points, Point{x, cpuPerCall(50, func() { pkroute.NewPlan(spec, all) })})
		apply.Points = append(apply.Points, Point{x, cpuPerCall(20, func() { table.Apply(list) })})
		size.Points = append(size.Points, Point{x, float64(len(raw))})
		heap.Points = append(heap.Points, Point{x, bytes})
	}
	return []Series{choose.fit(), plan.fit(), apply.fit(), size.fit(), heap.fit()}, nil
}

func makeVMList(n int) []pktarget.ListedTarget {
	kinds := []pkid.AcceleratorKind{"a", "b", "c", "d", "e"}
	var out []pktarget.ListedTarget
	for i := range n {
		id := pkid.TargetID(fmt.Sprintf("model-pool-%d-%s-%d", i%4*8, kinds[i%len(kinds)], i))
		out = append(out, pktarget.ListedTarget{Info: pktarget.Info{ID: id, Addr: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Pool: "p", Kind: kinds[i%len(kinds)], DataCenter: "dc-1"}})
	}
	return out
}

func makeTable(list []pktarget.ListedTarget, now time.Time) *pktarget.Table {
	t := &pktarget.Table{}
	t.Apply(list)
	for i, target := range t.All() {
		first := pkid.Layer(i%4) * 8
		target.SetHolding(pktarget.Holding{Model: "m", Version: "1", Range: pkid.Range{First: first, End: first + 8}})
		step := time.Duration(1+i%5) * time.Millisecond
		target.Observe(pktarget.Report{MaxBatch: 16, Step: step, PerSeq: step / 16}, now)
	}
	return t
}

// measureAccounts measures the costs that grow with the number of client accounts.
func measureAccounts(_ context.Context, progress func(string)) ([]Series, error) {
	admit := Series{Name: "admission_by_accounts", X: "accounts that wait at once", Y: "microseconds of processor time an admission"}
	adopt := Series{Name: "manifest_by_accounts", X: "accounts", Y: "microseconds of processor time a manifest"}
	size := Series{Name: "manifest_bytes_by_accounts", X: "accounts", Y: "bytes a manifest"}
	packed := Series{Name: "manifest_packed_bytes_by_accounts", X: "accounts", Y: "bytes a manifest as it travels"}
	for _, n := range []int{10, 50, 150, 440} {
		progress(fmt.Sprintf("%d accounts", n))
		x := float64(n)
		body := makeManifest(n)
		var err error
		adopt.Points = append(adopt.Points, Point{x, cpuPerCall(10, func() {
			var m pkmanifest.Manifest
			m, err = pkmanifest.Parse("measured", body)
			pkmanifest.NewView(m, 1, pkmanifest.DigestOf(body))
		})})
		if err != nil {
			return nil, err
		}
		size.Points = append(size.Points, Point{x, float64(len(body))})
		compressed, err := pkhead.Pack(body)
		if err != nil {
			return nil, err
		}
		packed.Points = append(packed.Points, Point{x, float64(len(compressed))})
		admit.Points = append(admit.Points, Point{x, admissionCost(n)})
	}
	return []Series{admit.fit(), adopt.fit(), size.fit(), packed.fit()}, nil
}

// admissionCost returns the processor time of admitting and releasing a request in microseconds, while
// one request of each account is waiting.
func admissionCost(n int) float64 {
	now := time.Now()
	g := pkadmit.NewGate(pkadmit.DefaultOptions(), 1)
	newRequest := func(i int) pkadmit.Request {
		return pkadmit.Request{Account: pkid.AccountID(fmt.Sprint(i)), Weight: 1, MaxInFlight: 1000, Tokens: 10, Deadline: now.Add(time.Hour)}
	}
	var waiting []*pkadmit.Ticket
	for i := range n + 1 {
		if t, refusal := g.Enter(now, newRequest(i%n)); refusal == nil {
			waiting = append(waiting, t)
		}
	}
	i := 0
	return cpuPerCall(5000, func() {
		for at, t := range waiting {
			select {
			case <-t.Ready():
			default:
				continue
			}
			g.Leave(now, t, 10)
			waiting = append(waiting[:at], waiting[at+1:]...)
			break
		}
		if t, refusal := g.Enter(now, newRequest(i%n)); refusal == nil {
			waiting = append(waiting, t)
		}
		i++
	})
}

func makeManifest(n int) []byte {
	body := []byte(`schema: 1
name: measured
limits: {default_deadline: 20s, max_deadline: 60s, max_body: 1000, max_prompt_tokens: 10, max_output_tokens: 10}
models:
`)
	for i := range 27 {
		body = fmt.Appendf(body, "  - {id: m%d, version: \"1\", pool: p%d, layers: 8, enforces_fencing: true, loads_at_once: 2, splits: [{first: 0, end: 4, weight: 1}, {first: 4, end: 8, weight: 1}]}\n", i, i)
	}
	body = append(body, "services: []\naccounts:\n"...)
	for i := range n {
		_, storedKey := pkmanifest.NewKey()
		body = fmt.Appendf(body, "  - {id: a%d, weight: 1, max_in_flight: 10, keys: [{id: %s, salt: %s, hash: %s}], models: [m%d]}\n", i, storedKey.ID, storedKey.Salt, storedKey.Hash, i%27)
	}
	return body
}

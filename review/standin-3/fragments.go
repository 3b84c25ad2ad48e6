package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform/standin"
)

const (
	fragmentWorkers = 8
	accelerators    = 8 // Of a worker.
	ownedBy         = 16
	reclaim         = 3400 * time.Millisecond // reclaimMs of the site.
	fragmentWatch   = 45 * time.Second

	ownerID, neighbourID, borrowerID = "00000000000000aa", "00000000000000bb", "00000000000000cc"
	ownerKey, neighbourKey           = "owner-key", "neighbour-key"
)

// gpuTasks returns a job of one step of independent tasks with accelerators, as JSON.
func gpuTasks(count int, gpus int64, work time.Duration) string {
	each := job.Resources{MilliCPU: 1000, MemoryMB: 256, Accelerators: gpus}
	raw, _ := json.Marshal(standin.Payload{Work: work, Each: each})
	quoted, _ := json.Marshal(string(raw))
	return fmt.Sprintf(`{"spec":%s,"steps":[{"count":%d,"cpu":%d,"memMb":%d,"gpu":%d,"estimateMs":%d}]}`,
		quoted, count, each.MilliCPU, each.MemoryMB, gpus, work.Milliseconds())
}

// fragments has a workspace that owns nothing borrow six accelerators of each worker, and then a workspace use the 16 that it
// owns, as two on each worker. A third workspace asks for the 16 that it owns, as two tasks that take a whole worker each.
func fragments(h *harness, trouble bool) (bool, error) {
	s, err := h.siteOf(2, func(store *process) (map[string]*process, error) {
		workers := map[string]*process{}
		for i := range fragmentWorkers {
			name := fmt.Sprintf("w%d", i+1)
			w, err := h.kindWorker(name, "plain", 64, accelerators, store)
			if err != nil {
				return nil, err
			}
			workers[name] = w
		}
		return workers, nil
	})
	if err != nil {
		return false, err
	}
	if err := h.configure(s.store.address, manifest(3, tenant{"desk", deskKey, 0}, tenant{"neighbour", neighbourKey, ownedBy}, tenant{"owner", ownerKey, ownedBy})); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	b := s.boxes[0]
	if trouble {
		if err := h.submitAs(b, deskKey, pull+borrowerID, gpuTasks(fragmentWorkers, accelerators-2, 110*time.Second)); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
	}
	if err := h.submitAs(b, neighbourKey, pull+neighbourID, gpuTasks(ownedBy, 1, 110*time.Second)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for i := range ownedBy {
		if n, _ := h.running(fmt.Sprintf("%s.0.0.%d", neighbourID, i), time.Since(h.began)); n != 1 {
			return false, fmt.Errorf("task %d of the neighbour does not run", i)
		}
	}
	if err := h.submitAs(b, ownerKey, pull+ownerID, gpuTasks(ownedBy/accelerators, accelerators, 10*time.Second)); err != nil {
		return false, err
	}
	from := time.Now()
	begun := func() (n int) {
		for i := range ownedBy / accelerators {
			if h.hasBegun(fmt.Sprintf("%s.0.0.%d", ownerID, i)) {
				n++
			}
		}
		return n
	}
	time.Sleep(reclaim)
	broken := begun() < ownedBy/accelerators
	h.note("%d of %d tasks of the owner have begun %.1f s after the acceptance; limit %.1f s", begun(), ownedBy/accelerators, time.Since(from).Seconds(), reclaim.Seconds())
	for begun() < ownedBy/accelerators && time.Since(from) < fragmentWatch {
		time.Sleep(100 * time.Millisecond)
	}
	h.note("%d of %d tasks of the owner have begun %.1f s after the acceptance", begun(), ownedBy/accelerators, time.Since(from).Seconds())
	h.callAs(b, ownerKey, http.MethodGet, pull+ownerID, "")
	return broken, nil
}

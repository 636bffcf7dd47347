package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// The test engine runs engineSlots requests at once, each of answerTokens
// tokens.
const (
	engineSlots  = 8
	answerTokens = 20
	gigabyte     = 1_000_000_000
)

// runTime is the duration of one request at the full engine of testsystem: 50
// ms to the first token, then 10 ms a token, slowed by the concurrent requests.
const runTime = 50*time.Millisecond + answerTokens*10*time.Millisecond*(100+4*(engineSlots-1))/100

// capacity is the number of requests per second that the engine can serve.
const capacity = float64(engineSlots) / (float64(runTime) / float64(time.Second))

// load describes a series of requests: rate requests per second from start to
// end.
type load struct {
	organisation string
	model        string
	rate         float64
	start, end   time.Duration
	deadline     time.Duration
}

// reply is the result of one request.
type reply struct {
	load    load
	key     string
	sent    time.Time
	took    time.Duration
	status  int
	run     string
	retry   string
	content string
}

// newSystem starts routers on vms VMs of one data centre in front of one
// engine, and loads its models.
func newSystem(t *testing.T, vms int, change func(*standin.EngineEntry)) *testsystem.System {
	settings := standin.Defaults()
	entry := testsystem.EngineEntry("e1", 64*gigabyte, true)
	entry.MaxRunning, entry.MaxQueued = engineSlots, 4
	change(&entry)
	settings.Engines = []standin.EngineEntry{entry}
	names := map[string]string{}
	for i := range vms {
		names[fmt.Sprintf("vm-%d", i)] = "a"
	}
	system := testsystem.New(t, settings, names)
	model := func(name string, class pb.PriorityClass) *pb.Model {
		return &pb.Model{
			Name: name, Version: "1", Services: []string{"assistants"}, Priority: class,
			CheckpointBytes: gigabyte, MemoryBytes: gigabyte, MaxReplicas: 1,
		}
	}
	system.Apply(&pb.Deployment{
		Name:      "showroom",
		Services:  []*pb.Service{{Name: "assistants", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES}},
		Endpoints: []*pb.Endpoint{{Name: "e1", Service: "assistants", Address: "e1:1", DataCentre: "a", ChecksFences: true}},
		Models: []*pb.Model{
			model("quick", pb.PriorityClass_PRIORITY_CLASS_INTERACTIVE),
			model("slow", pb.PriorityClass_PRIORITY_CLASS_BATCH),
		},
	})
	time.Sleep(5 * time.Second)
	for _, name := range []string{"quick", "slow"} {
		answer := sendRequest(system.Routers[0], load{model: name, deadline: time.Minute}, "warm-"+name)
		require.Equal(t, http.StatusOK, answer.status, answer.content)
	}
	return system
}

func sendRequest(router *testsystem.RouterNode, l load, key string) reply {
	r := reply{load: l, key: key, sent: time.Now()}
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, l.model, key, answerTokens)
	answer := router.Chat(context.Background(), body, map[string]string{
		"X-Organisation":  l.organisation,
		"X-Deadline-Ms":   strconv.FormatInt(l.deadline.Milliseconds(), 10),
		"Idempotency-Key": key,
	})
	r.took = time.Since(r.sent)
	r.status = answer.Code
	r.run = answer.Header().Get("X-Run")
	r.retry = answer.Header().Get("Retry-After")
	r.content = answer.Body.String()
	return r
}

// run sends the loads with Poisson arrivals, each request to a random router,
// and returns all replies.
func run(system *testsystem.System, seed uint64, loads ...load) []reply {
	var mu sync.Mutex
	var replies []reply
	var all sync.WaitGroup
	for i, l := range loads {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		all.Go(func() {
			var requests sync.WaitGroup
			startTime := time.Now()
			at := l.start
			for n := 0; ; n++ {
				at += time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second))
				if at >= l.end {
					break
				}
				time.Sleep(time.Until(startTime.Add(at)))
				router := system.Routers[rng.IntN(len(system.Routers))]
				requests.Go(func() {
					r := sendRequest(router, l, fmt.Sprintf("%s-%d-%d-%d", l.model, seed, i, n))
					mu.Lock()
					defer mu.Unlock()
					replies = append(replies, r)
				})
			}
			requests.Wait()
		})
	}
	all.Wait()
	// Wait for runs that continue after their callers were answered.
	time.Sleep(5 * time.Second)
	return replies
}

// checkReplies checks that every request was answered or refused, that no
// interactive one exceeded its deadline by more than a tenth, and that no
// refusal with not_run belongs to a request that the engine ran.
func checkReplies(t *testing.T, system *testsystem.System, replies []reply) {
	t.Helper()
	ran := standin.Measure(system.StandIn.Journal.Entries()).Runs
	for _, r := range replies {
		require.LessOrEqual(t, r.took, r.load.deadline*11/10, "%s: %d %s", r.key, r.status, r.content)
		if r.status == http.StatusOK {
			var body struct {
				Choices []struct {
					Message struct{ Content string }
				}
			}
			require.NoError(t, json.Unmarshal([]byte(r.content), &body))
			prompt := fmt.Sprintf(`[{"role":"user","content":%q}]`, r.key)
			require.Equal(t, standin.AnswerText(r.load.model, "", prompt, answerTokens), body.Choices[0].Message.Content)
			continue
		}
		require.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout}, r.status, r.content)
		if r.run == "not_run" {
			require.Zero(t, ran[r.key], "%s was refused as not run", r.key)
			require.NotEmpty(t, r.retry, r.content)
		}
	}
}

// answered counts the answered requests that match a predicate.
func answered(replies []reply, keep func(reply) bool) int {
	n := 0
	for _, r := range replies {
		if r.status == http.StatusOK && keep(r) {
			n++
		}
	}
	return n
}

// TestOverload sends twice the capacity, over several routers.
func TestOverload(t *testing.T) {
	for _, vms := range []int{1, 3} {
		t.Run(fmt.Sprint(vms, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system := newSystem(t, vms, func(*standin.EngineEntry) {})
				startTime := time.Now()
				const length = 30 * time.Second
				replies := run(system, 1,
					load{organisation: "agency", model: "quick", rate: 2 * capacity, end: length, deadline: 2 * time.Second},
					load{organisation: "agency", model: "slow", rate: 2, end: 10 * time.Second, deadline: 10 * time.Minute},
				)
				checkReplies(t, system, replies)
				// In the first seconds the router learns how long requests run.
				const warmUp = 5 * time.Second
				good := answered(replies, func(r reply) bool {
					end := r.sent.Add(r.took).Sub(startTime)
					return end >= warmUp && end < length
				})
				goodput := float64(good) / (length - warmUp).Seconds()
				t.Logf("goodput %.3f of the capacity", goodput/capacity)
				require.GreaterOrEqual(t, goodput, 0.9*capacity)
				refused, immediate := 0, 0
				for _, r := range replies {
					if r.load.model == "slow" {
						require.Equal(t, http.StatusOK, r.status, "batch requests must finish once the load falls: %s", r.content)
					}
					if r.status != http.StatusOK {
						refused++
					}
					if r.status != http.StatusOK && r.took == 0 {
						immediate++
					}
				}
				t.Logf("%d refused, %d of them at once", refused, immediate)
				require.Greater(t, immediate, refused/2, "most refusals must be immediate")
			})
		})
	}
}

// TestFair has one organisation send far more than the capacity; the other's
// few requests must all be answered in time.
func TestFair(t *testing.T) {
	for _, vms := range []int{1, 3} {
		t.Run(fmt.Sprint(vms, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system := newSystem(t, vms, func(*standin.EngineEntry) {})
				replies := run(system, 2,
					load{organisation: "flood", model: "quick", rate: 5 * capacity, end: 20 * time.Second, deadline: 4 * time.Second},
					load{organisation: "calm", model: "quick", rate: 2, start: 3 * time.Second, end: 20 * time.Second, deadline: 2 * time.Second},
				)
				checkReplies(t, system, replies)
				for _, r := range replies {
					if r.load.organisation == "calm" {
						require.Equal(t, http.StatusOK, r.status, r.content)
					}
				}
			})
		})
	}
}

// TestBatchYields keeps the engine full of batch work; arriving interactive
// requests must start at once.
func TestBatchYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newSystem(t, 2, func(*standin.EngineEntry) {})
		replies := run(system, 3,
			load{organisation: "agency", model: "slow", rate: 2 * capacity, end: 10 * time.Second, deadline: 10 * time.Minute},
			load{organisation: "agency", model: "quick", rate: 2, start: 2 * time.Second, end: 10 * time.Second, deadline: time.Second},
		)
		checkReplies(t, system, replies)
		for _, r := range replies {
			require.Equal(t, http.StatusOK, r.status, r.content)
		}
	})
}

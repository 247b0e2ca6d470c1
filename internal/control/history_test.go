package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// operation is what an operator did, and what came of it.
type operation struct {
	write bool
	gen   int
	text  string
}

type outcome struct {
	unclear  bool // it may have taken effect, or may yet
	inForce  bool
	conflict bool
	gen      int    // shown; of a write that is not in force: what is
	text     string // shown
}

// registerState is the configuration in force.
type registerState struct {
	gen  int
	text string
}

// registerModel is one configuration that operators put and read: what a replicated control plane has to look like.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(s, in, out any) []any {
		state, ask, got := s.(registerState), in.(operation), out.(outcome)
		if !ask.write {
			if got.unclear || got.gen == state.gen && got.text == state.text {
				return []any{state}
			}
			return nil
		}
		if !got.unclear && !got.conflict && (got.inForce && got.gen != ask.gen || !got.inForce && got.gen <= ask.gen) {
			return nil
		}
		after := state
		if ask.gen > state.gen {
			after = registerState{ask.gen, ask.text}
		}
		conflict := ask.gen == state.gen && ask.text != state.text
		switch {
		case got.unclear && after != state:
			return []any{state, after}
		case got.unclear:
			return []any{state}
		case got.conflict != conflict:
			return nil
		case conflict:
			return []any{state}
		case !got.inForce && got.gen > ask.gen && after != state:
			return []any{after} // it was in force, and was overtaken before its answer
		case got.inForce == (after.text == ask.text && after.gen == ask.gen):
			return []any{after}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// Operators at all replicas put and read configurations, with equal numbers now and then, while machines lose power and
// disks, are cut off and replaced. What they see is what one register would have shown them.
func TestOperationsAreLinearizable(t *testing.T) {
	model := registerModel.ToModel()
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			n := 3 + int(seed)%3
			runCluster(t, n, func(f *clusterFixture) {
				var mu sync.Mutex
				var history []porcupine.Operation
				began := time.Now()
				until := began.Add(12 * time.Second)
				var all sync.WaitGroup
				for client := range 4 {
					all.Go(func() {
						rnd := rand.New(rand.NewPCG(seed, uint64(client+10)))
						for time.Now().Before(until) {
							time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
							r := f.at(rnd.IntN(len(f.replicas)))
							if r == nil {
								continue
							}
							ask := operation{write: rnd.IntN(3) > 0, gen: 2 + int(time.Since(began)/(300*time.Millisecond)) + rnd.IntN(2), text: fmt.Sprint(client, "-", rnd.IntN(2))}
							call := time.Since(began)
							got := r.runOperation(ask)
							end := time.Since(began)
							if got.unclear && !ask.write {
								continue
							}
							if got.unclear {
								end = time.Hour // it may take effect at any time
							}
							mu.Lock()
							history = append(history, porcupine.Operation{ClientId: len(history), Input: ask, Output: got, Call: int64(call), Return: int64(end)})
							mu.Unlock()
						}
					})
				}
				in := &faultState{replicas: make([]sync.Mutex, n)}
				all.Go(func() {
					rnd := rand.New(rand.NewPCG(seed, 70))
					for time.Now().Before(until) {
						f.injectFault(rnd, in)
						time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
					}
				})
				all.Wait()
				in.finished.Store(true)
				f.waitFor(10*time.Second, "settle", func() bool { return f.countVoting() == n })
				result := porcupine.CheckOperationsTimeout(model, history, 0)
				if result != porcupine.Ok {
					for _, o := range history {
						t.Logf("%6.3f - %6.3f %+v %+v", float64(o.Call)/1e9, float64(o.Return)/1e9, o.Input, o.Output)
					}
				}
				assert.Equal(t, result, porcupine.Ok, "seed %d: %d operations", seed, len(history))
				t.Logf("%d operations", len(history))
			})
		})
	}
}

// runOperation carries out what an operator asks a replica for.
func (r *runningReplica) runOperation(ask operation) outcome {
	ctx := context.Background()
	if !ask.write {
		p, err := r.CurrentConfiguration(ctx)
		switch {
		case err == ErrNoConfiguration:
			return outcome{}
		case err != nil:
			return outcome{unclear: true}
		}
		return outcome{gen: int(p.Gen), text: textOf(p.Body)}
	}
	done, err := r.Replace(ctx, configurationBody(ask.gen, ask.text))
	switch err.(type) {
	case nil:
		return outcome{inForce: done.InForce, gen: int(done.Held.Gen)}
	case ConflictError:
		return outcome{conflict: true}
	}
	return outcome{unclear: true}
}

// textOf is the note that body put into a configuration.
func textOf(config []byte) string {
	var client, n, gen int
	_, _ = fmt.Sscanf(string(config), `{"gen":"r%d","routes":[{"name":"a","host":"h","prefix":"/%d-%d/"`, &gen, &client, &n)
	return fmt.Sprint(client, "-", n)
}

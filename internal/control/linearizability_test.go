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

// operation is a read or a write of an operator.
type operation struct {
	write bool
	gen   int
	text  string
}

// outcome is the result of an operation.
type outcome struct {
	unclear  bool // the operation may have taken effect, or may yet
	inForce  bool
	conflict bool
	gen      int    // of a read: as shown; of a write: of the configuration in force
	text     string // as shown by a read
}

// registerState is the configuration in force.
type registerState struct {
	gen  int
	text string
}

// registerModel models the control plane as a single register that holds a configuration, which operators write and
// read.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(s, input, output any) []any {
		state, op, got := s.(registerState), input.(operation), output.(outcome)
		if !op.write {
			if got.unclear || got.gen == state.gen && got.text == state.text {
				return []any{state}
			}
			return nil
		}
		if !got.unclear && !got.conflict && (got.inForce && got.gen != op.gen || !got.inForce && got.gen <= op.gen) {
			return nil
		}
		after := state
		if op.gen > state.gen {
			after = registerState{op.gen, op.text}
		}
		conflict := op.gen == state.gen && op.text != state.text
		switch {
		case got.unclear && after != state:
			return []any{state, after}
		case got.unclear:
			return []any{state}
		case got.conflict != conflict:
			return nil
		case conflict:
			return []any{state}
		case !got.inForce && got.gen > op.gen && after != state:
			return []any{after} // it was in force, and a newer one was decided before the answer
		case got.inForce == (after.text == op.text && after.gen == op.gen):
			return []any{after}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// Operators write and read configurations at all replicas, some with equal generation numbers, while random faults are
// injected. The history of operations must be linearizable: as a single register could have answered.
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
							op := operation{write: rnd.IntN(3) > 0, gen: 2 + int(time.Since(began)/(300*time.Millisecond)) + rnd.IntN(2), text: fmt.Sprint(client, "-", rnd.IntN(2))}
							call := time.Since(began)
							got := r.runOperation(op)
							end := time.Since(began)
							if got.unclear && !op.write {
								continue
							}
							if got.unclear {
								end = time.Hour // it may still take effect at any time
							}
							mu.Lock()
							history = append(history, porcupine.Operation{ClientId: len(history), Input: op, Output: got, Call: int64(call), Return: int64(end)})
							mu.Unlock()
						}
					})
				}
				faults := &faultState{replicas: make([]sync.Mutex, n)}
				all.Go(func() {
					rnd := rand.New(rand.NewPCG(seed, 70))
					for time.Now().Before(until) {
						f.injectFault(rnd, faults)
						time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
					}
				})
				all.Wait()
				faults.finished.Store(true)
				f.waitFor(10*time.Second, "all replicas vote", func() bool { return f.countVoting() == n })
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

// runOperation performs an operation at a replica.
func (r *runningReplica) runOperation(op operation) outcome {
	ctx := context.Background()
	if !op.write {
		p, err := r.CurrentConfiguration(ctx)
		switch {
		case err == ErrNoConfiguration:
			return outcome{}
		case err != nil:
			return outcome{unclear: true}
		}
		return outcome{gen: int(p.Gen), text: textOf(p.Body)}
	}
	done, err := r.Replace(ctx, configurationBody(op.gen, op.text))
	switch err.(type) {
	case nil:
		return outcome{inForce: done.InForce, gen: int(done.InForceID.Gen)}
	case ConflictError:
		return outcome{conflict: true}
	}
	return outcome{unclear: true}
}

// textOf returns the note that configurationBody put into a configuration.
func textOf(config []byte) string {
	var client, n, gen int
	_, _ = fmt.Sscanf(string(config), `{"gen":"r%d","routes":[{"name":"a","host":"h","prefix":"/%d-%d/"`, &gen, &client, &n)
	return fmt.Sprint(client, "-", n)
}

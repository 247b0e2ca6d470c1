package control

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// maxServerOrders bounds the orders about servers that are kept.
const maxServerOrders = 512

// ErrUnknownServer is the error of a word on a server that is in no list.
var ErrUnknownServer = errors.New("no such server is listed")

var orderedLevels = map[string]serverhealth.Level{api.WordFit: serverhealth.Fit, api.WordUnfit: serverhealth.UnfitRecord, api.WordUnfitAll: serverhealth.UnfitAll}

// OrderVerdict takes an operator's word on a server, which holds for a time over what proxies saw; WordWithdrawn takes it back.
func (b *Replica) OrderVerdict(ctx context.Context, id, word string, holds time.Duration) error {
	_, known := orderedLevels[word]
	switch {
	case !nodeName.MatchString(id):
		return InvalidError{errors.Errorf("%q is no id of a server", id)}
	case !known && word != api.WordWithdrawn:
		return InvalidError{errors.Errorf("%s: %q is none of fit, unfit, unfit-all, none", api.JudgeWord, word)}
	case holds <= 0 || holds > api.JudgeMost:
		return InvalidError{errors.Errorf("%s: more than 0 and at most %.0f", api.JudgeFor, api.JudgeMost.Seconds())}
	}
	want := peerlink.Zone{Zone: state.ServerSubject(id)}
	if known {
		want.Word, want.Until = word, b.world.Now().Add(holds).UnixMilli()
	}
	_, err := b.submit(ctx, peerlink.Command{Order: &want})
	return err
}

// checkServerOrder tells why a word on a server can't be taken by what is decided.
func (b *Replica) checkServerOrder(id string, held state.State) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	words := 0
	for _, z := range held.Orders {
		if _, is := z.Server(); is {
			words++
		}
	}
	old := held.Order(state.ServerSubject(id))
	switch {
	case b.listedServiceOf(id) == "" && old.Count == 0:
		return errors.WithMessage(ErrUnknownServer, id)
	case words >= maxServerOrders && old.Count == 0:
		return Tight{errors.Errorf("words on %d servers are kept already", words)}
	}
	for name, h := range b.replicas { // one that does not know such orders would keep half of it
		if h.Voter && !h.Judges {
			return Tight{errors.Errorf("%s does not judge servers (judge.records)", name)}
		}
	}
	return nil
}

func (b *Replica) listedServiceOf(id string) string {
	if b.serverList == nil {
		return ""
	}
	return b.serviceOf(id)
}

// serverOrder is the operators' word in force on a server; the mutex is held.
func (b *Replica) serverOrder(id string) (z peerlink.Zone, holds bool) {
	z = b.ordersInForce[state.ServerSubject(id)]
	_, known := orderedLevels[z.Word]
	return z, known && b.world.Now().UnixMilli() < z.Until
}

// serverOrders are the operators' words in force, by server; the mutex is held.
func (b *Replica) serverOrders() map[string]serverhealth.Word {
	var all map[string]serverhealth.Word
	for _, z := range b.ordersInForce {
		id, is := z.Server()
		if !is {
			continue
		}
		if z, holds := b.serverOrder(id); holds {
			if all == nil {
				all = map[string]serverhealth.Word{}
			}
			all[id] = serverhealth.Word{Level: orderedLevels[z.Word], Why: fmt.Sprintf("the operators' word until %s", time.UnixMilli(z.Until).UTC().Format(time.RFC3339))}
		}
	}
	return all
}

// ExplainVerdict tells what this replica knows of a server's verdict.
func (b *Replica) ExplainVerdict(id string) *api.Explained {
	b.healthJudge.work.Lock()
	said := b.healthJudge.floor.Testimonies(id)
	b.healthJudge.work.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	x := &api.Explained{Replica: b.self.Name, At: b.world.Now().UTC(), Server: id, Service: b.listedServiceOf(id), Said: []api.Testimony{}}
	if x.Service != "" {
		x.Keeper = keeperOf(x.Service, b.judgesThere())
	}
	if b.healthJudge.joined != nil {
		x.Level = serverhealth.Fit.String()
	}
	for _, v := range b.healthJudge.inForce() {
		if v.Server == id {
			x.Level, x.Why, x.AgeMS, x.Number, x.Share = v.Level.String(), v.Why, v.Age.Milliseconds(), v.Number, v.Share
			x.For, x.Against, x.Relapses, x.Trial = v.For, v.Against, v.Relapses, v.Trial
		}
	}
	if z, holds := b.serverOrder(id); holds {
		x.Word = api.ServerWord{Word: z.Word, Until: time.UnixMilli(z.Until).UTC(), By: z.By}
	}
	for _, t := range said {
		c := t.Counts
		x.Said = append(x.Said, api.Testimony{Proxy: t.Witness, Zone: t.Zone, Record: t.Kind == serverhealth.Record, Confirmed: c[serverhealth.Confirmed],
			TurnedAway: c[serverhealth.TurnedAway], Unclear: c[serverhealth.Unclear], Late: c[serverhealth.Late], WrongID: c[serverhealth.WrongID], Worth: t.Worth})
	}
	return x
}

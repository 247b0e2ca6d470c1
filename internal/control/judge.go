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

// mostWords bounds the orders about servers that are kept.
const mostWords = 512

// ErrServer is the error of a word on a server that is in no list.
var ErrServer = errors.New("no such server is listed")

var wordLevels = map[string]serverhealth.Level{api.WordFit: serverhealth.Fit, api.WordUnfit: serverhealth.UnfitRecord, api.WordUnfitAll: serverhealth.UnfitAll}

// Judge takes an operator's word on a server, which holds for a time over what proxies saw; WordWithdrawn takes it back.
func (b *Replica) Judge(ctx context.Context, id, word string, holds time.Duration) error {
	_, known := wordLevels[word]
	switch {
	case !nodeName.MatchString(id):
		return Invalid{errors.Errorf("%q is no id of a server", id)}
	case !known && word != api.WordWithdrawn:
		return Invalid{errors.Errorf("%s: %q is none of fit, unfit, unfit-all, none", api.JudgeWord, word)}
	case holds <= 0 || holds > api.JudgeMost:
		return Invalid{errors.Errorf("%s: more than 0 and at most %.0f", api.JudgeFor, api.JudgeMost.Seconds())}
	}
	want := peerlink.Zone{Zone: state.ServerSubject(id)}
	if known {
		want.Word, want.Until = word, b.w.Now().Add(holds).UnixMilli()
	}
	_, err := b.submit(ctx, peerlink.Command{Order: &want})
	return err
}

// allowsWord tells why a word on a server can't be taken by what is decided.
func (b *Replica) allowsWord(id string, held state.State) error {
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
	case b.serviceIn(id) == "" && old.Count == 0:
		return errors.WithMessage(ErrServer, id)
	case words >= mostWords && old.Count == 0:
		return Tight{errors.Errorf("words on %d servers are kept already", words)}
	}
	for name, h := range b.replicas { // one that does not know such orders would keep half of it
		if h.Voter && !h.Judges {
			return Tight{errors.Errorf("%s does not judge servers (judge.records)", name)}
		}
	}
	return nil
}

func (b *Replica) serviceIn(id string) string {
	if b.list == nil {
		return ""
	}
	return b.serviceOf(id)
}

// wordOn is the operators' word in force on a server; the mutex is held.
func (b *Replica) wordOn(id string) (z peerlink.Zone, holds bool) {
	z = b.zones[state.ServerSubject(id)]
	_, known := wordLevels[z.Word]
	return z, known && b.w.Now().UnixMilli() < z.Until
}

// words are the operators' words in force, by server; the mutex is held.
func (b *Replica) words() map[string]serverhealth.Word {
	var all map[string]serverhealth.Word
	for _, z := range b.zones {
		id, is := z.Server()
		if !is {
			continue
		}
		if z, holds := b.wordOn(id); holds {
			if all == nil {
				all = map[string]serverhealth.Word{}
			}
			all[id] = serverhealth.Word{Level: wordLevels[z.Word], Why: fmt.Sprintf("the operators' word until %s", time.UnixMilli(z.Until).UTC().Format(time.RFC3339))}
		}
	}
	return all
}

// Explain tells what this replica knows of a server's verdict.
func (b *Replica) Explain(id string) *api.Explained {
	b.fit.work.Lock()
	said := b.fit.floor.Testimonies(id)
	b.fit.work.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	x := &api.Explained{Replica: b.self.Name, At: b.w.Now().UTC(), Server: id, Service: b.serviceIn(id), Said: []api.Testimony{}}
	if x.Service != "" {
		x.Keeper = keeperOf(x.Service, b.judgesThere())
	}
	if b.fit.joined != nil {
		x.Level = serverhealth.Fit.String()
	}
	for _, v := range b.fit.inForce() {
		if v.Server == id {
			x.Level, x.Why, x.AgeMS, x.Number, x.Share = v.Level.String(), v.Why, v.Age.Milliseconds(), v.Number, v.Share
			x.For, x.Against, x.Relapses, x.Trial = v.For, v.Against, v.Relapses, v.Trial
		}
	}
	if z, holds := b.wordOn(id); holds {
		x.Word = api.ServerWord{Word: z.Word, Until: time.UnixMilli(z.Until).UTC(), By: z.By}
	}
	for _, t := range said {
		c := t.Counts
		x.Said = append(x.Said, api.Testimony{Proxy: t.Witness, Zone: t.Zone, Record: t.Kind == serverhealth.Record, Confirmed: c[serverhealth.Confirmed],
			TurnedAway: c[serverhealth.TurnedAway], Unclear: c[serverhealth.Unclear], Late: c[serverhealth.Late], WrongID: c[serverhealth.WrongID], Worth: t.Worth})
	}
	return x
}

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

// maxServerOrders bounds the number of stored orders about servers.
const maxServerOrders = 512

// ErrUnknownServer is the error of an order about a server that is not in the list.
var ErrUnknownServer = errors.New("no such server is listed")

// orderedLevels maps the word of an operator's order about a server to the verdict that it sets.
var orderedLevels = map[string]serverhealth.Level{api.WordFit: serverhealth.Fit, api.WordUnfit: serverhealth.UnfitAtMostOnce, api.WordUnfitAll: serverhealth.UnfitAll}

// OrderVerdict sets an operator's verdict on a server, which overrides the evidence of proxies for a time;
// api.WordWithdrawn withdraws it.
func (b *Replica) OrderVerdict(ctx context.Context, id, word string, holds time.Duration) error {
	_, known := orderedLevels[word]
	switch {
	case !nodeNamePattern.MatchString(id):
		return InvalidError{errors.Errorf("%q is not a valid server ID", id)}
	case !known && word != api.WordWithdrawn:
		return InvalidError{errors.Errorf("%s: %q is not one of fit, unfit, unfit-all, none", api.JudgeWord, word)}
	case holds <= 0 || holds > api.JudgeMost:
		return InvalidError{errors.Errorf("%s: must be more than 0 and at most %.0f", api.JudgeFor, api.JudgeMost.Seconds())}
	}
	want := peerlink.Zone{Zone: state.ServerSubject(id)}
	if known {
		want.Word, want.Until = word, b.world.Now().Add(holds).UnixMilli()
	}
	_, err := b.submit(ctx, peerlink.Command{Order: &want})
	return err
}

// checkServerOrder returns why an order about a server is refused under the decided state; nil if it is allowed.
func (b *Replica) checkServerOrder(id string, held state.State) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	orders := 0
	for _, z := range held.Orders {
		if _, isServer := z.Server(); isServer {
			orders++
		}
	}
	old := held.Order(state.ServerSubject(id))
	switch {
	case b.listedServiceOf(id) == "" && old.Count == 0:
		return errors.WithMessage(ErrUnknownServer, id)
	case orders >= maxServerOrders && old.Count == 0:
		return TooFewAwakeError{errors.Errorf("orders about %d servers are stored already", orders)}
	}
	for name, h := range b.replicas { // a replica that does not know such orders would store only a part of one
		if h.Voter && !h.Judges {
			return TooFewAwakeError{errors.Errorf("%s does not judge servers (judge.records)", name)}
		}
	}
	return nil
}

// listedServiceOf returns the service of a server in the list; "" if the server or the list is unknown. The caller
// holds the mutex.
func (b *Replica) listedServiceOf(id string) string {
	if b.serverList == nil {
		return ""
	}
	return b.serviceOf(id)
}

// serverOrder returns the latest order about a server and whether it holds now. The caller holds the mutex.
func (b *Replica) serverOrder(id string) (z peerlink.Zone, holds bool) {
	z = b.ordersInForce[state.ServerSubject(id)]
	_, known := orderedLevels[z.Word]
	return z, known && b.world.Now().UnixMilli() < z.Until
}

// serverOrders returns the operators' verdicts that hold now, by server. The caller holds the mutex.
func (b *Replica) serverOrders() map[string]serverhealth.Override {
	var all map[string]serverhealth.Override
	for _, z := range b.ordersInForce {
		id, isServer := z.Server()
		if !isServer {
			continue
		}
		if z, holds := b.serverOrder(id); holds {
			if all == nil {
				all = map[string]serverhealth.Override{}
			}
			all[id] = serverhealth.Override{Level: orderedLevels[z.Word], Why: fmt.Sprintf("the operators' word until %s", time.UnixMilli(z.Until).UTC().Format(time.RFC3339))}
		}
	}
	return all
}

// ExplainVerdict returns what this replica knows of a server's verdict: its level, the evidence and any operator's
// order.
func (b *Replica) ExplainVerdict(id string) *api.Explained {
	b.healthJudge.evaluatorMu.Lock()
	testimonies := b.healthJudge.evaluator.EvidenceByProxy(id)
	b.healthJudge.evaluatorMu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	explained := &api.Explained{Replica: b.self.Name, At: b.world.Now().UTC(), Server: id, Service: b.listedServiceOf(id), Said: []api.Testimony{}}
	if explained.Service != "" {
		explained.Keeper = ownerOf(explained.Service, b.judgingReplicas())
	}
	if b.healthJudge.mergedVerdicts != nil {
		explained.Level = serverhealth.Fit.String()
	}
	for _, v := range b.healthJudge.verdictsInForce() {
		if v.Server == id {
			explained.Level, explained.Why, explained.AgeMS, explained.Number, explained.Share = v.Level.String(), v.Why, v.Age.Milliseconds(), v.Number, v.Share
			explained.For, explained.Against, explained.Relapses, explained.Trial = v.For, v.Against, v.Relapses, v.Trial
		}
	}
	if z, holds := b.serverOrder(id); holds {
		explained.Word = api.ServerWord{Word: z.Word, Until: time.UnixMilli(z.Until).UTC(), By: z.By}
	}
	for _, t := range testimonies {
		c := t.Counts
		explained.Said = append(explained.Said, api.Testimony{Proxy: t.Proxy, Zone: t.Zone, Record: t.Kind == serverhealth.AtMostOnce, Confirmed: c[serverhealth.Confirmed],
			TurnedAway: c[serverhealth.Rejected], Unclear: c[serverhealth.Unclear], Late: c[serverhealth.Late], WrongID: c[serverhealth.WrongID], Worth: t.Weight})
	}
	return explained
}

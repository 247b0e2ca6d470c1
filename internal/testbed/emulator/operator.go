package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"pepperfall.example/pepperfall/api"
)

// Operator gives orders, which it sends again to other nodes until they are acknowledged.
type Operator struct {
	o       *Cluster
	process Process
	http    *http.Client
}

func newOperator(o *Cluster) *Operator {
	p := o.ground.Machine(o.ground.IP(OperatorMachine, 0, 0), "", "").Start()
	return &Operator{o, p, &http.Client{Transport: &http.Transport{DialContext: p.Dial, DisableKeepAlives: true}}}
}

// Call sends one call to a node; 0 stands for no answer.
func (p *Operator) Call(n *Node, method, path string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address(n.machine.IP(), portCtl)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	res, err := p.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	if answer, err = io.ReadAll(res.Body); err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}

// Times of the operator.
const (
	pauseFirst = 50 * time.Millisecond
	pauseMost  = time.Second
)

// until sends a call to nodes by chance, or to those named only, until one answers clearly.
func (p *Operator) until(most time.Duration, method, path string, body []byte, at ...*Node) (status int, answer []byte) {
	if len(at) == 0 {
		at = p.o.Cores()
	}
	bad := 0
	for began, pause := time.Now(), pauseFirst; time.Since(began) < most; pause = min(2*pause, pauseMost) {
		status, answer = p.Call(at[p.o.pick(len(at))], method, path, body)
		switch {
		case status == 200, status == 400, status == 409, status == 412, status == 413, status == 422:
			return status, answer
		case status/100 == 4 && status != 408 && status != 429:
			if bad++; bad == 3 {
				return status, answer
			}
		}
		time.Sleep(pause)
	}
	return 0, nil
}

// Replace sends a configuration, by way of the nodes named or of any; it tells whether it was acknowledged.
func (p *Operator) Replace(w *Word, at ...*Node) bool { return p.Try(w, 3*p.o.bounds.Ack, at...) }

// Try is Replace for so long only.
func (p *Operator) Try(w *Word, most time.Duration, at ...*Node) bool {
	no := p.o.Book.order(&order{kind: replaced, word: w})
	p.o.Clients.follow(w)
	status, _ := p.until(most, http.MethodPost, api.ConfigReplace, w.Body(), at...)
	p.o.Book.outcome(no, status)
	return status == 200
}

// Drain takes a zone out of use, or back into use.
func (p *Operator) Drain(zone string, begin bool, at ...*Node) bool {
	kind, path := finished, api.DrainFinish
	if begin {
		kind, path = evacuated, api.DrainBegin
	}
	no := p.o.Book.order(&order{kind: kind, zone: zone})
	status, _ := p.until(p.o.bounds.Ack, http.MethodPost, path+zone, nil, at...)
	p.o.Book.outcome(no, status)
	return status == 200
}

// ReadBack asks for the configuration in force until it comes.
func (p *Operator) ReadBack(most time.Duration) {
	status, body := p.until(most, http.MethodGet, api.ConfigShow, nil)
	if status != 200 {
		body = nil
	}
	p.o.Book.shown(body)
}

// Show asks a node for the configuration once.
func (p *Operator) Show(n *Node) (status int, body []byte) {
	return p.Call(n, http.MethodGet, api.ConfigShow, nil)
}

// Bad sends what is no configuration to any node; that it is acknowledged breaks a rule.
func (p *Operator) Bad(body []byte) (status int) {
	at := p.o.Cores()
	if status = p.Refused(at[p.o.pick(len(at))], body); status == http.StatusOK {
		p.o.Book.broken("CONFIG", nil, "what is no configuration was acknowledged")
	}
	return status
}

// Refused sends what is no configuration, and tells how a node answers.
func (p *Operator) Refused(n *Node, body []byte) (status int) {
	status, _ = p.Call(n, http.MethodPost, api.ConfigReplace, body)
	return status
}

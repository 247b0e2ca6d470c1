package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Bounds of calls.
const (
	CallWithin   = 1500 * time.Millisecond // of one call
	OrderWithin  = 6 * time.Second         // of an order, over all addresses
	orderAgain   = 100 * time.Millisecond  // between two rounds over them, doubled
	mostAnswer   = 16 << 20
	mostJumps    = 2
	mostReplicas = 64
	mostReason   = 2000

	statusLocked = http.StatusLocked
)

// Errors of calls.
var (
	ErrNobody    = errors.New("no replica answers at the addresses given")
	ErrUnsettled = errors.New("control answers and has no majority")
	ErrUnclear   = errors.New("the order got no clear answer: it may be in force or may not")
	ErrNoConfig  = errors.New("control holds no configuration")
)

// Refused is a clear no: the order is not in force.
type Refused struct {
	Status int
	Why    string
}

func (r *Refused) Error() string { return fmt.Sprintf("refused (%d): %s", r.Status, r.Why) }

// Client speaks ctl with some replicas.
type Client struct {
	w     world.World
	addrs []string
	http  *http.Client
	good  atomic.Pointer[string] // the address that answered last: it is asked first
	hold  atomic.Pointer[Hold]   // the lock; nil: it is not held
}

// turn is the order of asking. Orders and configurations go to addresses that
// were given, and never to one that only some replica named.
func (c *Client) turn() []string {
	good := c.good.Load()
	if good == nil || !slices.Contains(c.addrs, *good) {
		return c.addrs
	}
	all := []string{*good}
	for _, a := range c.addrs {
		if a != *good {
			all = append(all, a)
		}
	}
	return all
}

// New makes a client of the replicas at some ctl addresses.
func New(w world.World, addrs []string) *Client {
	t := &http.Transport{DialContext: world.DialWithin(w, CallWithin), DisableKeepAlives: true}
	return &Client{w: w, addrs: addrs, http: &http.Client{Transport: t, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > mostJumps {
			return errors.New("sent on too often")
		}
		return nil
	}}}
}

// call makes one call of one replica.
func (c *Client) call(ctx context.Context, method, addr, path string, body []byte) (int, []byte, error) {
	ctx, cancel := world.WithTimeout(ctx, c.w, CallWithin+time.Duration(len(body))*time.Microsecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	if res.StatusCode < http.StatusInternalServerError {
		c.good.Store(&addr)
	}
	answer, err := io.ReadAll(io.LimitReader(res.Body, mostAnswer+1))
	if err == nil && len(answer) > mostAnswer {
		err = errors.Errorf("an answer of more than %d bytes", mostAnswer)
	}
	return res.StatusCode, answer, err
}

// get reads one replica's answer into to.
func (c *Client) get(ctx context.Context, addr, path string, to any) error {
	status, body, err := c.call(ctx, http.MethodGet, addr, path, nil)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return errors.New("it does not know " + path + ": an older version, or no replica")
	case status != http.StatusOK:
		return errors.Errorf("status %d: %s", status, reason(body))
	}
	return errors.Wrap(json.Unmarshal(body, to), "an answer that can't be read")
}

// reason is what an answer says in words, fit to be shown.
func reason(body []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	text := string(body)
	if json.Unmarshal(body, &e) == nil && e.Error != "" {
		text = e.Error
	}
	return clean(text[:min(len(text), mostReason)])
}

// clean keeps a hostile answer from writing to a terminal more than text.
func clean(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' && r != '\n' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return '?'
		}
		return r
	}, strings.ToValidUTF8(strings.TrimSpace(s), "?"))
}

// Show is the configuration that a majority holds, as it was sent.
func (c *Client) Show(ctx context.Context) ([]byte, error) {
	answered := false
	var why error
	for _, addr := range c.turn() {
		status, body, err := c.call(ctx, http.MethodGet, addr, api.ConfigShow, nil)
		if err != nil {
			why = err
			continue
		}
		answered = true
		switch {
		case status == http.StatusOK && !numbered(body): // nor would it be fit to be shown
			why = errors.Errorf("%s: an answer that is no configuration", addr)
			continue
		case status == http.StatusOK:
			return body, nil
		case strings.Contains(reason(body), "there is no configuration"):
			return nil, ErrNoConfig
		}
		why = errors.Errorf("status %d: %s", status, reason(body))
	}
	if answered {
		return nil, errors.WithMessage(ErrUnsettled, why.Error())
	}
	return nil, nobody(why)
}

// numbered tells whether a body is JSON and has a version, as each configuration has, also of a later form than is
// known here.
func numbered(body []byte) bool {
	var b struct {
		Gen string `json:"gen"`
	}
	if json.Unmarshal(body, &b) != nil {
		return false
	}
	_, err := routeconfig.Number(b.Gen)
	return err == nil
}

func nobody(why error) error {
	if why == nil {
		return ErrNobody
	}
	return errors.Wrap(ErrNobody, why.Error())
}

// give gives an order, under the lock where that is held.
func (c *Client) give(ctx context.Context, path string, query url.Values, body []byte) error {
	if h := c.hold.Load(); h != nil {
		if err := h.sure(ctx); errors.Is(err, ErrTaken) {
			return errors.WithMessage(ErrOvertaken, err.Error())
		} else if err != nil {
			return errors.WithMessage(ErrUnsettled, "the lock has run out and is not to be had: "+err.Error())
		}
		if query == nil {
			query = url.Values{}
		}
		query.Set(api.LockToken, h.ask.Token)
	}
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.order(ctx, path, body, OrderWithin)
}

// order sends an order until one replica answers clearly. It is sent as it was.
func (c *Client) order(ctx context.Context, path string, body []byte, within time.Duration) error {
	ctx, cancel := world.WithTimeout(ctx, c.w, within)
	defer cancel()
	sent := false
	why := ErrNobody
	for pause := orderAgain; ; pause *= 2 {
		for _, addr := range c.turn() {
			status, answer, err := c.call(ctx, http.MethodPost, addr, path, body)
			switch {
			case err != nil:
				why, sent = err, sent || !refusedToConnect(err)
			case status/100 == 2:
				return nil
			case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
				return &Refused{status, reason(answer)}
			default:
				why, sent = errors.Errorf("status %d: %s", status, reason(answer)), true
			}
			if ctx.Err() != nil {
				break
			}
		}
		if !world.Sleep(ctx, c.w, pause) {
			break
		}
	}
	if !sent {
		return nobody(why)
	}
	return errors.WithMessage(ErrUnclear, why.Error())
}

// refusedToConnect tells whether nothing of an order can have arrived: no
// connection came up.
func refusedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Replace brings a configuration.
func (c *Client) Replace(ctx context.Context, body []byte) error {
	return c.give(ctx, api.ConfigReplace, nil, body)
}

// Drain evacuates a zone, or takes that back.
func (c *Client) Drain(ctx context.Context, zone string, drain bool) error {
	path := api.DrainFinish
	if drain {
		path = api.DrainBegin
	}
	return c.give(ctx, path+zone, nil, nil)
}

// Floor is what has to stay awake where a proxy is to rest.
type Floor struct {
	Zone, All float64 // parts of its zone's proxies, and of all
	Force     bool    // no matter what stays; the proxy need not be known yet
}

// Rest has a proxy rest.
func (c *Client) Rest(ctx context.Context, proxy string, least Floor) error {
	q := url.Values{api.RestZone: {fmt.Sprint(least.Zone)}, api.RestAll: {fmt.Sprint(least.All)}}
	if least.Force {
		q.Set(api.RestForce, "true")
	}
	return c.give(ctx, api.NodeRest+url.PathEscape(proxy), q, nil)
}

// Judge says how far a server is trusted, for a time.
func (c *Client) Judge(ctx context.Context, server, word string, holds time.Duration) error {
	return c.give(ctx, api.ServerJudge+url.PathEscape(server), url.Values{api.JudgeWord: {word}, api.JudgeFor: {fmt.Sprint(holds.Seconds())}}, nil)
}

// Explain is what replicas know of a server's verdict: the keeper's statement where it answers, else another's.
func (c *Client) Explain(ctx context.Context, server string) (*api.Explained, error) {
	var found *api.Explained
	var why error
	asked := map[string]bool{}
	for _, addr := range append(slices.Clone(c.turn()), c.Look(ctx).addresses()...) {
		if asked[addr] {
			continue
		}
		asked[addr] = true
		x := &api.Explained{}
		if err := c.get(ctx, addr, api.ServerExplain+url.PathEscape(server), x); err != nil {
			why = err
			continue
		}
		if found = x; x.Replica == x.Keeper {
			break
		}
	}
	if found == nil {
		return nil, nobody(why)
	}
	return found, nil
}

// Wake takes that back.
func (c *Client) Wake(ctx context.Context, proxy string) error {
	return c.give(ctx, api.NodeWake+url.PathEscape(proxy), nil, nil)
}

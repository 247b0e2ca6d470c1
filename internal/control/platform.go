package control

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/config/listing"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Bounds of a reading.
const (
	maxPageBytes        = 8 << 20 // bytes
	maxParallelCalls    = 16      // calls at once
	cloudIdleTimeout    = 5 * time.Second
	maxPageRetries      = 1  // of a page that failed
	maxRateLimitRetries = 20 // and of one that the platform refused for its rate

	// A reading may be so far ahead of its pace, all who read together: short lists are read at once.
	paceAllowance = 500 * time.Millisecond
)

var (
	errTooManyPages = errors.New("a list without an end")
	errRateLimited  = errors.New("over the platform's rate")
)

func newCloudClient(w world.World) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: world.DialWithin(w, listCallTimeout), DisableCompression: true,
		MaxIdleConns: maxParallelCalls, MaxIdleConnsPerHost: maxParallelCalls, IdleConnTimeout: cloudIdleTimeout}}
}

// readList reads all pages; half a list is none. A list of more pages than there are zones
// is read zone by zone, side by side: each page waits for the one before it.
func (b *Replica) readList(ctx context.Context, address string, terms listing.Terms) (list []peerlink.Server, pages int, err error) {
	b.mu.Lock()
	zones, known := b.listZones(), b.newestReading.pages
	b.mu.Unlock()
	r := &listReader{replica: b, address: address, terms: terms}
	zoned := zones
	if !listing.SideBySide(known, len(zones)) {
		list, pages, whole, err := r.readPages(ctx, "", listing.MostInTurn(len(zones)))
		switch {
		case err != nil || whole:
			return sortedByID(list), pages, err
		case len(zones) <= 1:
			return nil, 0, errTooManyPages
		}
		zoned = mergeServerZones(zones, list)
	}
	return r.readZones(ctx, zoned)
}

// listZones are the zones that the settings name or in which servers were listed; the mutex is held.
func (b *Replica) listZones() []string {
	zones := slices.Sorted(maps.Keys(b.liveSettings.Load().Network.Zones))
	if b.serverList != nil {
		zones = mergeServerZones(zones, b.serverList.List)
	}
	return zones
}

// mergeServerZones adds the zones of servers to others.
func mergeServerZones(zones []string, servers []peerlink.Server) []string {
	all := map[string]bool{}
	for _, zone := range zones {
		all[zone] = true
	}
	for i := range servers {
		all[servers[i].Zone] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// listReader is one reading of the list. Its calls are spread over time.
type listReader struct {
	replica *Replica
	address string
	terms   listing.Terms

	mu         sync.Mutex
	pacedUntil time.Duration // when the calls so far would have ended at the pace, by the replica's steady clock
}

// waitTurn waits until the next call may begin; it returns false when ctx has ended.
func (r *listReader) waitTurn(ctx context.Context) bool {
	readers := r.replica.listReaderCount()
	r.mu.Lock()
	now := r.replica.now()
	r.pacedUntil = max(r.pacedUntil, now) + r.terms.Gap(readers)
	wait := r.pacedUntil - now - paceAllowance/time.Duration(readers)
	r.mu.Unlock()
	return wait <= 0 || r.replica.sleep(ctx, wait)
}

// listReaderCount is how many replicas may read the list now: the holder of the duty alone, or all.
func (b *Replica) listReaderCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.duty.Holds() {
		return 1
	}
	return len(b.links) + 1
}

// readZones reads the pages of each zone, the zones side by side.
func (r *listReader) readZones(ctx context.Context, zones []string) (list []peerlink.Server, pages int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		mu    sync.Mutex
		all   sync.WaitGroup
		slots = make(chan struct{}, maxParallelCalls)
	)
	for _, zone := range zones {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			part, n, whole, failed := r.readPages(ctx, zone, listing.MostPages)
			if failed == nil && !whole {
				failed = errTooManyPages
			}
			mu.Lock()
			defer mu.Unlock()
			list, pages = append(list, part...), pages+n
			if failed != nil && err == nil {
				err = errors.WithMessage(failed, zone)
				cancel()
			}
		})
	}
	all.Wait()
	if err != nil {
		return nil, 0, err
	}
	return sortedByID(list), pages, nil
}

// readPages reads pages of a zone, or of all where it is empty, one after the other; it is
// not whole where there are more than so many.
func (r *listReader) readPages(ctx context.Context, zone string, most int) (list []peerlink.Server, pages int, whole bool, err error) {
	for token := ""; pages < most; {
		page, err := r.fetchPage(ctx, zone, token)
		for tries := 0; err != nil && tries < maxRetries(err) && r.replica.sleep(ctx, listRetryDelay); tries++ {
			page, err = r.fetchPage(ctx, zone, token)
		}
		if err != nil {
			return nil, 0, false, err
		}
		rows, err := page.Servers()
		if err != nil {
			r.replica.log.Error(err, "rows of the list passed over")
		}
		for _, s := range rows {
			list = append(list, peerlink.Server{ID: s.ID, Backend: s.Backend, Address: s.Address, Zone: s.Zone, Gen: s.Gen, Capacity: s.Capacity, Draining: s.Draining, WarmLeft: s.WarmLeft})
		}
		if pages++; page.NextToken == nil || *page.NextToken == "" {
			return list, pages, true, nil
		}
		token = *page.NextToken
	}
	return list, pages, false, nil
}

// maxRetries is how often a page that ended so is asked for again.
func maxRetries(err error) int {
	if errors.Is(err, errRateLimited) {
		return maxRateLimitRetries
	}
	return maxPageRetries
}

func (r *listReader) fetchPage(ctx context.Context, zone, token string) (*api.Page, error) {
	if !r.waitTurn(ctx) {
		return nil, ctx.Err()
	}
	ctx, cancel := r.replica.withTimeout(ctx, listCallTimeout)
	defer cancel()
	query := url.Values{}
	if zone != "" {
		query.Set(api.ServersZone, zone)
	}
	if token != "" {
		query.Set(api.ServersToken, token)
	}
	at := url.URL{Scheme: "http", Host: r.address, Path: api.CloudServers, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, at.String(), nil)
	if err != nil {
		return nil, err
	}
	res, err := r.replica.cloudClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusTooManyRequests {
		return nil, errRateLimited
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPageBytes))
	if err != nil {
		return nil, err
	}
	page := &api.Page{}
	return page, json.Unmarshal(body, page)
}

// sortedByID puts a list in the order of its ids, of equal ones the last.
func sortedByID(list []peerlink.Server) []peerlink.Server {
	slices.Reverse(list)
	slices.SortStableFunc(list, func(x, y peerlink.Server) int { return cmp.Compare(x.ID, y.ID) })
	return slices.CompactFunc(list, func(x, y peerlink.Server) bool { return x.ID == y.ID })
}

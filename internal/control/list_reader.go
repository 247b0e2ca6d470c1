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

// Bounds of a read of the server list from the platform.
const (
	maxPageBytes        = 8 << 20 // bytes
	maxParallelCalls    = 16      // zones read at once
	cloudIdleTimeout    = 5 * time.Second
	maxPageRetries      = 1  // of a failed page
	maxRateLimitRetries = 20 // of a page that the platform refused because of its rate limit

	// How far reads may be ahead of the pace, divided among the replicas that read: short lists are read without waiting.
	paceAllowance = 500 * time.Millisecond
)

var (
	errTooManyPages = errors.New("server list has too many pages")
	errRateLimited  = errors.New("refused by the platform's rate limit")
)

// newCloudClient returns the HTTP client for calls to the platform.
func newCloudClient(w world.World) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: world.DialWithin(w, listCallTimeout), DisableCompression: true,
		MaxIdleConns: maxParallelCalls, MaxIdleConnsPerHost: maxParallelCalls, IdleConnTimeout: cloudIdleTimeout}}
}

// readList reads all pages of the list; it fails if a page fails. A list of more pages than there are zones is read by zone
// with the zones in parallel, since within one listing each page needs the token of the page before it.
func (b *Replica) readList(ctx context.Context, address string, terms listing.Terms) (list []peerlink.Server, pages int, err error) {
	b.mu.Lock()
	zones, known := b.listZones(), b.latestListRead.pages
	b.mu.Unlock()
	reader := &listReader{replica: b, address: address, terms: terms}
	zoned := zones
	if !listing.SideBySide(known, len(zones)) {
		list, pages, whole, err := reader.readPages(ctx, "", listing.MostInTurn(len(zones)))
		switch {
		case err != nil || whole:
			return sortedByID(list), pages, err
		case len(zones) <= 1:
			return nil, 0, errTooManyPages
		}
		zoned = mergeServerZones(zones, list)
	}
	return reader.readZones(ctx, zoned)
}

// listZones returns the zones of the settings and of the listed servers; the mutex is held.
func (b *Replica) listZones() []string {
	zones := slices.Sorted(maps.Keys(b.liveSettings.Load().Network.Zones))
	if b.serverList != nil {
		zones = mergeServerZones(zones, b.serverList.List)
	}
	return zones
}

// mergeServerZones returns the given zones and those of the servers, sorted.
func mergeServerZones(zones []string, servers []peerlink.Server) []string {
	merged := map[string]bool{}
	for _, zone := range zones {
		merged[zone] = true
	}
	for i := range servers {
		merged[servers[i].Zone] = true
	}
	return slices.Sorted(maps.Keys(merged))
}

// listReader runs one read of the list. It spreads its calls over time.
type listReader struct {
	replica *Replica
	address string
	terms   listing.Terms

	mu         sync.Mutex
	pacedUntil time.Duration // when the calls so far would have ended at the pace, by the replica's monotonic clock
}

// waitTurn waits until the next call may begin; it returns false if ctx has ended.
func (r *listReader) waitTurn(ctx context.Context) bool {
	readers := r.replica.listReaderCount()
	r.mu.Lock()
	now := r.replica.now()
	r.pacedUntil = max(r.pacedUntil, now) + r.terms.Gap(readers)
	wait := r.pacedUntil - now - paceAllowance/time.Duration(readers)
	r.mu.Unlock()
	return wait <= 0 || r.replica.sleep(ctx, wait)
}

// listReaderCount returns how many replicas may be reading the list now: 1 if this one holds the lease, else all.
func (b *Replica) listReaderCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listLease.Holds() {
		return 1
	}
	return len(b.links) + 1
}

// readZones reads all pages of each zone, with the zones in parallel.
func (r *listReader) readZones(ctx context.Context, zones []string) (list []peerlink.Server, pages int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		mu      sync.Mutex
		readers sync.WaitGroup
		slots   = make(chan struct{}, maxParallelCalls)
	)
	for _, zone := range zones {
		readers.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			part, count, whole, partErr := r.readPages(ctx, zone, listing.MostPages)
			if partErr == nil && !whole {
				partErr = errTooManyPages
			}
			mu.Lock()
			defer mu.Unlock()
			list, pages = append(list, part...), pages+count
			if partErr != nil && err == nil {
				err = errors.WithMessage(partErr, zone)
				cancel()
			}
		})
	}
	readers.Wait()
	if err != nil {
		return nil, 0, err
	}
	return sortedByID(list), pages, nil
}

// readPages reads at most so many pages of a zone, or of all zones if it is empty, one after the other. The result is
// whole if there are no further pages.
func (r *listReader) readPages(ctx context.Context, zone string, maxPages int) (list []peerlink.Server, pages int, whole bool, err error) {
	for token := ""; pages < maxPages; {
		page, err := r.fetchPage(ctx, zone, token)
		for tries := 0; err != nil && tries < maxRetries(err) && r.replica.sleep(ctx, listRetryDelay); tries++ {
			page, err = r.fetchPage(ctx, zone, token)
		}
		if err != nil {
			return nil, 0, false, err
		}
		rows, err := page.Servers()
		if err != nil {
			r.replica.log.Error(err, "skipped invalid rows of the server list")
		}
		for _, row := range rows {
			list = append(list, peerlink.Server{ID: row.ID, Backend: row.Backend, Address: row.Address, Zone: row.Zone, Gen: row.Gen, Capacity: row.Capacity, Draining: row.Draining, WarmLeft: row.WarmLeft})
		}
		if pages++; page.NextToken == nil || *page.NextToken == "" {
			return list, pages, true, nil
		}
		token = *page.NextToken
	}
	return list, pages, false, nil
}

// maxRetries returns how often a page that failed with err is requested again.
func maxRetries(err error) int {
	if errors.Is(err, errRateLimited) {
		return maxRateLimitRetries
	}
	return maxPageRetries
}

// fetchPage requests one page; the token is that of the page before it, or empty.
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
	address := url.URL{Scheme: "http", Host: r.address, Path: api.CloudServers, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := r.replica.cloudClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusTooManyRequests {
		return nil, errRateLimited
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return nil, err
	}
	page := &api.Page{}
	return page, json.Unmarshal(body, page)
}

// sortedByID sorts a list by ID in place, and keeps only the last of several servers with the same ID.
func sortedByID(list []peerlink.Server) []peerlink.Server {
	slices.Reverse(list)
	slices.SortStableFunc(list, func(x, y peerlink.Server) int { return cmp.Compare(x.ID, y.ID) })
	return slices.CompactFunc(list, func(x, y peerlink.Server) bool { return x.ID == y.ID })
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// loadInterval is the time between two requests to the same entry process.
const loadInterval = 50 * time.Millisecond

// load sends requests to entry processes until the context ends.
func (d *deployment) load(ctx context.Context, entries []*node) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	for i := 1; ctx.Err() == nil; i++ {
		for _, n := range entries {
			go func() {
				req, err := http.NewRequest(http.MethodGet, "http://"+d.front(n)+"/lepu270/2f", nil)
				if err != nil {
					return
				}
				req.Host = d.host
				req.Header.Set(attemptHeader, fmt.Sprintf("%s-%08x", n.zone, i))
				req.Header.Set(timeHeader, "2000")
				req.Header.Set(affinityHeader, fmt.Sprint(i%20))
				resp, err := client.Do(req)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}()
		}
		time.Sleep(loadInterval)
	}
}

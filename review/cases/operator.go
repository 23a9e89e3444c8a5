//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// operatorTimeout is how long the operator waits for a response before it moves on
// to another machine.
const operatorTimeout = time.Second

// operator plays the platform's operator.
type operator struct {
	http   *http.Client
	record *record
}

func newOperator(r *record) *operator {
	return &operator{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, record: r}
}

// call sends one call to one machine and returns the status, 0 for none.
func (o *operator) call(m *machine, method, path string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(controlPort)+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.http.Do(req)
	if err != nil {
		o.record.add("operator", "%s %s to %s: no answer", method, path, m.name)
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		o.record.add("operator", "%s %s to %s: no whole answer", method, path, m.name)
		return 0, nil
	}
	o.record.add("operator", "%s %s to %s: %d", method, path, m.name, resp.StatusCode)
	return resp.StatusCode, answer
}

// order sends an order to the machines in turn until one gives a clear answer: a
// 2xx, or a 4xx other than 408 and 429. It returns the status, 0 if none came within
// the time.
func (o *operator) order(list []*machine, path string, body any, within time.Duration) int {
	deadline := time.Now().Add(within)
	pause := 100 * time.Millisecond
	for i := 0; time.Now().Before(deadline); i++ {
		status, _ := o.call(list[i%len(list)], http.MethodPost, path, body)
		if status >= 200 && status < 300 || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0
}

// config returns the items that a machine reads back, nil if it gives none.
func (o *operator) config(m *machine) object {
	status, data := o.call(m, http.MethodGet, "/config/get", nil)
	if status != http.StatusOK {
		return nil
	}
	var items object
	if json.Unmarshal(data, &items) != nil {
		return nil
	}
	return items
}

package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// clientRequest is one attempt of a client.
type clientRequest struct {
	id, path, key string
	body          string
	parts         string
	timeout       time.Duration
}

// clientAnswer is what the client got.
type clientAnswer struct {
	sentAt   time.Time
	status   int // 0 for none
	events   int // whole events
	complete bool
	err      error
}

func (a clientAnswer) String() string {
	return fmt.Sprintf("status %d, %d events, complete %v, err %v", a.status, a.events, a.complete, a.err)
}

// httpClient opens a new channel for each attempt and allows it a second.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// send sends an attempt to a machine and reads the answer as far as it comes.
func (w *world) send(m *machine, c clientRequest) (answer clientAnswer) {
	answer.sentAt = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	defer func() {
		if !w.quiet {
			w.logf("client: %s to %s: %v", c.id, m.name, answer)
		}
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address(frontPort)+c.path, strings.NewReader(c.body))
	if err != nil {
		answer.err = err
		return answer
	}
	request.Host = hostName
	h := request.Header
	h.Set("X-Attempt-Id", c.id)
	h.Set("X-Deadline-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	h.Set("Api-Key", c.key)
	h.Set("X-Model", modelName)
	h.Set("X-Prompt-Prefix", c.parts)
	h.Set("X-Token-Usage", fmt.Sprintf("%d,48", tokensOf(c.parts)))
	h.Set(machineHeader, m.name)
	response, err := httpClient.Do(request)
	if err != nil {
		answer.err = err
		return answer
	}
	defer response.Body.Close()
	answer.status = response.StatusCode
	scanner := bufio.NewScanner(response.Body)
	id := 0
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			if n, err := strconv.Atoi(line[len("id: "):]); err == nil {
				id = n
			}
		case line == "" && id > 0:
			answer.events++
			id = 0
		}
	}
	answer.err = scanner.Err()
	answer.complete = answer.err == nil
	return answer
}

// tokensOf returns the number of tokens of a prompt.
func tokensOf(parts string) int {
	total := 0
	for _, entry := range strings.Split(parts, ",") {
		_, tokens, _ := strings.Cut(entry, ":")
		if n, err := strconv.Atoi(tokens); err == nil {
			total += n
		}
	}
	return total
}

// Package platform reads the platform's list of live and leaving VMs.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"persimmoncross/io/protocol/jsonlist"
)

// Bounds of an answer, in bytes.
const (
	maxHead = 64 << 10
	maxList = 4 << 20
)

var client = &http.Client{
	Transport: &http.Transport{
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxHead,
	},
}

// Leaving returns the addresses that the platform lists as leaving.
func Leaving(ctx context.Context, address netip.AddrPort) (map[netip.AddrPort]bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/v1/vms", nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("platform: list: status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxList+1))
	if err != nil {
		return nil, fmt.Errorf("platform: list: %w", err)
	}
	entries, err := split(data)
	if err != nil {
		return nil, err
	}
	leaving := map[netip.AddrPort]bool{}
	for _, data := range entries {
		var entry struct {
			Address netip.AddrPort `json:"address"`
			State   string         `json:"state"` // live or leaving
		}
		// An entry that can't be read says nothing of any VM, and takes nothing from the others.
		if json.Unmarshal(data, &entry) == nil && entry.State == "leaving" {
			leaving[entry.Address] = true
		}
	}
	return leaving, nil
}

// split cuts the list into its entries, also where some are damaged. A list that was cut off is an error.
func split(data []byte) ([]json.RawMessage, error) {
	if len(data) > maxList {
		return nil, fmt.Errorf("platform: list: over %d bytes", maxList)
	}
	var entries []json.RawMessage
	err := json.Unmarshal(data, &entries)
	if err == nil {
		return entries, nil
	}
	text := bytes.TrimSpace(data)
	if len(text) < 2 || text[0] != '[' || text[len(text)-1] != ']' {
		return nil, fmt.Errorf("platform: list: %w", err)
	}
	return jsonlist.Split(text[1 : len(text)-1]), nil
}

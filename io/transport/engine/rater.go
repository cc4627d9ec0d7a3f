package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"persimmoncross"
)

// Rater asks the rating service. It implements [persimmoncross.Rater].
type Rater struct {
	Client  *Client
	Address func() (netip.AddrPort, bool) // from the settings in force
}

// Rate implements [persimmoncross.Rater].
func (r *Rater) Rate(ctx context.Context, question, answer []byte, v persimmoncross.ModelVersion) (float64, error) {
	address, ok := r.Address()
	if !ok {
		return 0, failed("norater", persimmoncross.NotRun, "no rater is set")
	}
	body, err := json.Marshal(struct {
		Question string `json:"question"`
		Answer   string `json:"answer"`
		Version  string `json:"version"`
	}{
		Question: string(question),
		Answer:   string(answer),
		Version:  v.String(),
	})
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/rate", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	var result struct {
		Rating float64 `json:"rating"`
	}
	if err := r.Client.doJSON(request, &result); err != nil {
		return 0, err
	}
	return result.Rating, nil
}

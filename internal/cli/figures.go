package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// metricsTimeout is the timeout of a call to a box's metrics address.
const metricsTimeout = 3 * time.Second

// defaultMetricsURL is the base URL of the metrics address of a box on this machine.
const defaultMetricsURL = "http://127.0.0.1:7000"

// errNotFound reports that a box answered 404 for a path.
var errNotFound = errors.New("answered 404 Not Found")

// fetchReport decodes the JSON document that a box serves to operators under a path of its metrics address.
func fetchReport(box, path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(box, "/")+path, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "unable to make the request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "no answer")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return errNotFound
	default:
		return errors.Errorf("answered %s", response.Status)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "unable to decode the answer")
}

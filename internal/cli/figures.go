package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// figuresWithin bounds a call to the address of a box's figures.
const figuresWithin = 3 * time.Second

// defaultFigures is where the figures of a box on this machine are.
const defaultFigures = "http://127.0.0.1:7000"

// errNotKnown says that a box has nothing under a path.
var errNotKnown = errors.New("answered 404 Not Found")

// fetchFigures decodes what a box tells operators under a path.
func fetchFigures(box, path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), figuresWithin)
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
		return errNotKnown
	default:
		return errors.Errorf("answered %s", response.Status)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "unable to decode the answer")
}

package box

import (
	"net/http"

	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/member"
	"github.com/pulleyring/pulleyring/internal/object"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/upstream"
	"github.com/pulleyring/pulleyring/internal/worker"
)

// OverHTTP returns a platform whose services are called at the addresses in the settings with the given HTTP client.
func OverHTTP(s *settings.Box, client *http.Client, network link.Network) Platform {
	return Platform{
		Table:     &table.Client{Base: s.Table, HTTP: client},
		Objects:   &object.Client{Base: s.Objects, HTTP: client},
		List:      &member.Client{Base: s.LiveList, HTTP: client},
		Workers:   &worker.Client{HTTP: client},
		Upstreams: &upstream.Client{HTTP: client},
		Network:   network,
	}
}

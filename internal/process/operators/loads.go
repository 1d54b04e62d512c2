package operators

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/chestnutcourse/chestnutcourse/internal/process/controller"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// StoreLoads returns a function that reads what the services use from the
// status objects of their cells. They lag by up to the interval at which
// controllers write them.
func StoreLoads(s store.Store) func(context.Context) ([]manifest.ServiceLoad, error) {
	return func(ctx context.Context) ([]manifest.ServiceLoad, error) {
		objects, _, err := s.List(ctx, controller.StatusPrefix)
		if err != nil {
			return nil, err
		}
		busy := map[string]float64{}
		for _, object := range objects {
			var status controller.Status
			if json.Unmarshal(object.Value, &status) == nil {
				busy[routing.ServiceOfCell(status.Cell)] += status.Busy
			}
		}
		var loads []manifest.ServiceLoad
		for _, service := range slices.Sorted(maps.Keys(busy)) {
			loads = append(loads, manifest.ServiceLoad{Service: service, Busy: busy[service]})
		}
		return loads, nil
	}
}

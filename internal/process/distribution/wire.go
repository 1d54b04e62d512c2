package distribution

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
)

func objectsToWire(objects []store.Object) []*peerv1.Object {
	converted := make([]*peerv1.Object, len(objects))
	for i, object := range objects {
		converted[i] = objectToWire(object)
	}
	return converted
}

func objectToWire(object store.Object) *peerv1.Object {
	return &peerv1.Object{Name: object.Name, Version: object.Version, Value: object.Value, Deleted: object.Deleted}
}

func objectsFromWire(objects []*peerv1.Object) []store.Object {
	converted := make([]store.Object, len(objects))
	for i, object := range objects {
		converted[i] = objectFromWire(object)
	}
	return converted
}

func objectFromWire(object *peerv1.Object) store.Object {
	return store.Object{Name: object.Name, Version: object.Version, Value: object.Value, Deleted: object.Deleted}
}

// ageToWire converts the age of the last contact; negative stands for never.
func ageToWire(contact, now time.Time) int64 {
	if contact.IsZero() {
		return -1
	}
	return now.Sub(contact).Milliseconds()
}

// contactFromWire converts a reported age that was valid at the given time.
func contactFromWire(ageMillis int64, at time.Time) time.Time {
	if ageMillis < 0 {
		return time.Time{}
	}
	return at.Add(-time.Duration(ageMillis) * time.Millisecond)
}

func digestMessage(digest *peerv1.Digest) *peerv1.Control {
	return &peerv1.Control{Kind: &peerv1.Control_Digest{Digest: digest}}
}

func objectsMessage(objects *peerv1.Objects) *peerv1.Control {
	return &peerv1.Control{Kind: &peerv1.Control_Objects{Objects: objects}}
}

func fetchMessage(fetch *peerv1.FetchObjects) *peerv1.Control {
	return &peerv1.Control{Kind: &peerv1.Control_FetchObjects{FetchObjects: fetch}}
}

func ackMessage(highest int64) *peerv1.Control {
	return &peerv1.Control{Kind: &peerv1.Control_ObjectsAck{ObjectsAck: &peerv1.ObjectsAck{Highest: highest}}}
}

package table

import "github.com/agatestep/agatestep/internal/items"

// structTag is the tag of fields that the base encoding of a delta leaves out.
const structTag = "table"

// organisationPart is the part of an item that concerns organisations. These parts follow the
// other lists, and only where there are any: a deployment without organisations keeps an
// encoding that older programs read, in messages and in stored snapshots.
type organisationPart struct {
	Key          items.Key
	KeyExempt    bool
	Organisation *items.Organisation
}

func organisationParts(list []items.Item) []organisationPart {
	var out []organisationPart
	for _, item := range list {
		if exempt := item.Route != nil && item.Route.KeyExempt; exempt || item.Organisation != nil {
			out = append(out, organisationPart{Key: item.Key, KeyExempt: exempt, Organisation: item.Organisation})
		}
	}
	return out
}

func setOrganisationParts(list []items.Item, parts []organisationPart) {
	byKey := make(map[items.Key]organisationPart, len(parts))
	for _, p := range parts {
		byKey[p.Key] = p
	}
	for i := range list {
		p, ok := byKey[list[i].Key]
		if !ok {
			continue
		}
		list[i].Organisation = p.Organisation
		if list[i].Route != nil {
			list[i].Route.KeyExempt = p.KeyExempt
		}
	}
}

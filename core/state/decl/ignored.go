package decl

import "strings"

const (
	maxIgnoredName   = 200 // bytes
	maxIgnoredReason = 400 // bytes
)

// IgnoredItem is an item of a list in a document that is not in force because it is invalid; the others are in force.
type IgnoredItem struct {
	list  string // path of the list
	path  string
	name  string // "" if the item has none
	cause error
}

// Name returns the list that contains the item and the item's name or, if it has none, its path in the document.
func (ign *IgnoredItem) Name() string {
	if ign.name == "" {
		return truncate(ign.path, maxIgnoredName)
	}
	return ign.list + " " + truncate(ign.name, maxIgnoredName)
}

// Reason returns what is wrong with the item, in one line of limited length.
func (ign *IgnoredItem) Reason() string {
	return truncate(strings.ReplaceAll(ign.cause.Error(), "\n", "; "), maxIgnoredReason)
}

// truncate returns a text without what exceeds a number of bytes.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}

// itemName returns the identifier or the name of an item, or "" if it has neither.
func (nod *jsonNode) itemName() string {
	for _, field := range []string{"id", "name"} {
		if child := nod.fields[field]; child != nil {
			if name, ok := child.scalar.(string); ok {
				return name
			}
		}
	}
	return ""
}

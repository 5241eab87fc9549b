package basilentry

import (
	"net/http"

	"basilstage.example/basilstage/internal/basilmodel"
)

// TeamOf returns the team that the request is let in as, or "".
func TeamOf(c basilmodel.Configuration, open bool, bootstrapHash string, r *http.Request) string {
	found, err := authenticate(c, access{open: open, bootstrapHash: bootstrapHash}, r)
	if err != nil {
		return ""
	}
	return found.team
}

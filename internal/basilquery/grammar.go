package basilquery

import "basilstage.example/basilstage/internal/basillanguage"

// question is the grammar of one query: `why host h1`, `diff 3 5` or `hosts where pool = "counter" limit 5`.
type question struct {
	Why  *why  `parser:"  'why' @@"`
	Diff *diff `parser:"| 'diff' @@"`
	List *list `parser:"| @@"`
}

type why struct {
	Refused bool               `parser:"@'refused'?"`
	Kind    basillanguage.Word `parser:"@@"`
	Name    basillanguage.Word `parser:"@@"`
}

type diff struct {
	From basillanguage.Word `parser:"@@"`
	To   basillanguage.Word `parser:"@@"`
}

type list struct {
	Subject    basillanguage.Word  `parser:"@@"`
	Conditions []condition         `parser:"('where' @@ ('and' @@)*)?"`
	Order      *order              `parser:"('order' 'by' @@)?"`
	Limit      *basillanguage.Word `parser:"('limit' @@)?"`
}

type condition struct {
	Field      basillanguage.Word `parser:"@@"`
	Comparison string             `parser:"@Comparison"`
	Value      basillanguage.Word `parser:"@@"`
}

type order struct {
	Field      basillanguage.Word `parser:"@@"`
	Descending bool               `parser:"(@'desc' | 'asc')?"`
}

var parser = basillanguage.NewParser[question]()

var keywords = []string{"where", "and", "order", "by", "desc", "asc", "limit", "why", "refused", "diff"}

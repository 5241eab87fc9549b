package basilquery

import "basilstage.example/basilstage/internal/basillanguage"

// question is one query: `why host h1` or `hosts where pool = "counter" limit 5`.
type question struct {
	Why  *why  `parser:"  'why' @@"`
	List *list `parser:"| @@"`
}

type why struct {
	Kind string `parser:"@Word"`
	Name string `parser:"@(Word|String)"`
}

type list struct {
	Subject    string      `parser:"@Word"`
	Conditions []condition `parser:"('where' @@ ('and' @@)*)?"`
	Limit      int         `parser:"('limit' @Word)?"`
}

type condition struct {
	Field      string `parser:"@Word"`
	Comparison string `parser:"@Comparison"`
	Value      string `parser:"@(Word|String)"`
}

var parser = basillanguage.NewParser[question]()

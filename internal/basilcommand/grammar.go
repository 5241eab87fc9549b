package basilcommand

import "basilstage.example/basilstage/internal/basillanguage"

// sentence is one command, such as `move host h1 to divers`.
type sentence struct {
	Move   *move   `parser:"  'move' 'host' @@"`
	Create *create `parser:"| 'create' 'wave' @@"`
	Apply  *apply  `parser:"| 'apply' 'configuration' @@"`
	Simple *simple `parser:"| @@"`
}

type move struct {
	Host string `parser:"@(Word|String)"`
	Pool string `parser:"'to' @(Word|String)"`
}

type create struct {
	Name        string   `parser:"@(Word|String)"`
	Pools       []string `parser:"('pools' @Word (Comma @Word)*)?"`
	DataCentres []string `parser:"('in' @Word (Comma @Word)*)?"`
}

type apply struct {
	Base int64 `parser:"('base' @Word)?"`
}

// simple is a verb, a kind and a name, such as `drain host h1`.
type simple struct {
	Verb string `parser:"@Word"`
	Kind string `parser:"@Word"`
	Name string `parser:"@(Word|String)"`
}

var parser = basillanguage.NewParser[sentence]()

var keywords = []string{
	"move", "host", "to", "create", "wave", "pools", "in", "apply", "configuration", "base",
	"drain", "return", "fail", "forget", "member", "start", "pause", "resume", "abort", "cancel", "job",
}

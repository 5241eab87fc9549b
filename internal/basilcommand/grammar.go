package basilcommand

import "basilstage.example/basilstage/internal/basillanguage"

// sentence is the grammar of one command, such as `move host h1 to divers`.
type sentence struct {
	Move   *move   `parser:"  'move' 'host' @@"`
	Create *create `parser:"| 'create' 'wave' @@"`
	Apply  *apply  `parser:"| 'apply' 'configuration' @@"`
	Revert *revert `parser:"| 'revert' 'configuration' @@"`
	Edit   *edit   `parser:"| @@"`
	Simple *simple `parser:"| @@"`
}

type move struct {
	Host basillanguage.Word `parser:"@@"`
	Pool basillanguage.Word `parser:"'to' @@"`
}

type create struct {
	Name        basillanguage.Word   `parser:"@@"`
	Pools       []basillanguage.Word `parser:"('pools' @@ (Comma @@)*)?"`
	DataCentres []basillanguage.Word `parser:"('in' @@ (Comma @@)*)?"`
	Share       *basillanguage.Word  `parser:"('share' @@)?"`
	Racks       *basillanguage.Word  `parser:"('racks' @@)?"`
	Failures    *basillanguage.Word  `parser:"('failures' @@)?"`
}

type apply struct {
	Base *basillanguage.Word `parser:"('base' @@)?"`
}

type revert struct {
	To basillanguage.Word `parser:"'to' @@"`
}

// edit adds or sets one pool, service or team, such as `set service quote min-available 3`.
type edit struct {
	Verb   string             `parser:"@('add' | 'set')"`
	Kind   basillanguage.Word `parser:"@@"`
	Name   basillanguage.Word `parser:"@@"`
	Fields []field            `parser:"@@*"`
}

type field struct {
	Name  basillanguage.Word `parser:"@@"`
	Value basillanguage.Word `parser:"@@"`
}

// simple is a command of a verb, a kind and a name, such as `drain host h1`.
type simple struct {
	Verb basillanguage.Word `parser:"@@"`
	Kind basillanguage.Word `parser:"@@"`
	Name basillanguage.Word `parser:"@@"`
}

var parser = basillanguage.NewParser[sentence]()

var keywords = []string{
	"move", "host", "to", "create", "wave", "pools", "in", "share", "racks", "failures",
	"apply", "revert", "configuration", "base", "add", "set", "remove", "pool", "service", "team",
	"drain", "maintain", "return", "fail", "forget", "member", "start", "pause", "resume", "abort", "cancel", "job",
}

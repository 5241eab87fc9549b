package basilstandin

import (
	"maps"

	"basilstage.example/basilstage/internal/basilplatform"
)

// The expressions that are understood.
const (
	expressionAbsent  = "attribute_not_exists(pk)"
	expressionVersion = "#version = :v"
	expressionUpdate  = "SET #token = :t, #body = :b ADD #version :one"
)

// Numbers of attributes of a key and of an item.
const (
	keyAttributes  = 2
	itemAttributes = 5
)

var (
	versionNames = map[string]string{"#version": "version"}
	updateNames  = map[string]string{"#version": "version", "#token": "token", "#body": "body"}
)

// transaction translates the request; it fails with ErrRequestRefused for all that the adapter never sends.
func (d dynamoTransact) transaction() (basilplatform.Transaction, error) {
	x := basilplatform.Transaction{Token: d.ClientRequestToken}
	for _, i := range d.TransactItems {
		w, err := i.write(d.ClientRequestToken)
		if err != nil {
			return x, err
		}
		x.Writes = append(x.Writes, w)
	}
	return x, nil
}

func (i dynamoTransactItem) write(token string) (basilplatform.Write, error) {
	switch (dynamoTransactItem{}) {
	case dynamoTransactItem{Update: i.Update, Delete: i.Delete, ConditionCheck: i.ConditionCheck}:
		return i.Put.put(token)
	case dynamoTransactItem{Put: i.Put, Delete: i.Delete, ConditionCheck: i.ConditionCheck}:
		return i.Update.update(token)
	case dynamoTransactItem{Put: i.Put, Update: i.Update, ConditionCheck: i.ConditionCheck}:
		return i.Delete.onKey(basilplatform.WriteKindDelete)
	case dynamoTransactItem{Put: i.Put, Update: i.Update, Delete: i.Delete}:
		return i.ConditionCheck.onKey(basilplatform.WriteKindCheck)
	}
	return basilplatform.Write{}, ErrRequestRefused{Reason: "one write each"}
}

// put reads a put, whose version must follow from its condition.
func (d *dynamoWrite) put(token string) (basilplatform.Write, error) {
	if d == nil || d.Key != nil || d.UpdateExpression != "" {
		return basilplatform.Write{}, ErrRequestRefused{Reason: "put of another form"}
	}
	key, ok := d.Item.key(itemAttributes)
	version, numbered := d.Item.number("version")
	if !ok || !numbered || d.Item["body"].B == nil || d.Item["token"].S == nil || *d.Item["token"].S != token {
		return basilplatform.Write{}, ErrRequestRefused{Reason: "item of another form"}
	}
	w := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: key, Body: *d.Item["body"].B}
	if err := d.condition(&w); err != nil {
		return w, err
	}
	if w.Precondition == basilplatform.PreconditionNone || version != w.Version+1 {
		return w, ErrRequestRefused{Reason: "put whose version does not follow from its condition"}
	}
	return w, nil
}

// update reads a write that takes whatever version the item has.
func (d *dynamoWrite) update(token string) (basilplatform.Write, error) {
	if d == nil || d.Item != nil || d.ConditionExpression != "" || d.UpdateExpression != expressionUpdate ||
		!maps.Equal(d.ExpressionAttributeNames, updateNames) {
		return basilplatform.Write{}, ErrRequestRefused{Reason: "update of another form"}
	}
	key, ok := d.Key.key(keyAttributes)
	values := d.ExpressionAttributeValues
	one, numbered := values.number(":one")
	if !ok || !numbered || one != 1 || len(values) != len(updateNames) ||
		values[":b"].B == nil || values[":t"].S == nil || *values[":t"].S != token {
		return basilplatform.Write{}, ErrRequestRefused{Reason: "update values of another form"}
	}
	return basilplatform.Write{
		Kind: basilplatform.WriteKindPut, Key: key,
		Precondition: basilplatform.PreconditionNone, Body: *values[":b"].B,
	}, nil
}

// onKey reads a delete or a condition check.
func (d *dynamoWrite) onKey(kind basilplatform.WriteKind) (basilplatform.Write, error) {
	if d == nil || d.Item != nil || d.UpdateExpression != "" {
		return basilplatform.Write{}, ErrRequestRefused{Reason: "delete or check of another form"}
	}
	key, ok := d.Key.key(keyAttributes)
	if !ok {
		return basilplatform.Write{}, ErrRequestRefused{Reason: "key of another form"}
	}
	w := basilplatform.Write{Kind: kind, Key: key}
	err := d.condition(&w)
	if kind == basilplatform.WriteKindCheck && w.Precondition == basilplatform.PreconditionNone {
		return w, ErrRequestRefused{Reason: "check without a condition"}
	}
	return w, err
}

// condition reads the condition of a put, delete or check.
func (d *dynamoWrite) condition(w *basilplatform.Write) error {
	names, values := d.ExpressionAttributeNames, d.ExpressionAttributeValues
	version, numbered := values.number(":v")
	switch {
	case d.ConditionExpression == "" && len(names) == 0 && len(values) == 0:
		w.Precondition = basilplatform.PreconditionNone
	case d.ConditionExpression == expressionAbsent && len(names) == 0 && len(values) == 0:
		w.Precondition = basilplatform.PreconditionAbsent
	case d.ConditionExpression == expressionVersion && maps.Equal(names, versionNames) && numbered && len(values) == 1:
		w.Precondition = basilplatform.PreconditionVersion
		w.Version = version
	default:
		return ErrRequestRefused{Reason: "condition of another form"}
	}
	return nil
}

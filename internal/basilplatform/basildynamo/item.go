package basildynamo

import (
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"basilstage.example/basilstage/internal/basilplatform"
)

// The attributes of an item.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeVersion   = "version"
	attributeToken     = "token"
	attributeBody      = "body"
)

// The expressions that the adapter sends.
const (
	conditionAbsent  = "attribute_not_exists(pk)"
	conditionVersion = "#version = :v"
	updateAny        = "SET #token = :t, #body = :b ADD #version :one"
)

func text(s string) *types.AttributeValueMemberS { return &types.AttributeValueMemberS{Value: s} }

func number(n int64) *types.AttributeValueMemberN {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func blob(b []byte) *types.AttributeValueMemberB {
	if b == nil {
		b = []byte{}
	}
	return &types.AttributeValueMemberB{Value: b}
}

func keyAttributes(k basilplatform.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{attributePartition: text(k.Partition), attributeSort: text(k.Sort)}
}

// condition returns the expression of the write's precondition with its names and values.
func condition(w basilplatform.Write) (*string, map[string]string, map[string]types.AttributeValue) {
	switch w.Precondition {
	case basilplatform.PreconditionAbsent:
		return aws.String(conditionAbsent), nil, nil
	case basilplatform.PreconditionVersion:
		return aws.String(conditionVersion),
			map[string]string{"#version": attributeVersion},
			map[string]types.AttributeValue{":v": number(w.Version)}
	}
	return nil, nil, nil
}

func (t *Table) transactItem(w basilplatform.Write, token string) types.TransactWriteItem {
	expression, names, values := condition(w)
	name := &t.options.TableName
	switch {
	case w.Kind == basilplatform.WriteKindDelete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: name, Key: keyAttributes(w.Key),
			ConditionExpression: expression, ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}
	case w.Kind == basilplatform.WriteKindCheck:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: name, Key: keyAttributes(w.Key),
			ConditionExpression: expression, ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}
	case w.Precondition == basilplatform.PreconditionNone:
		return types.TransactWriteItem{Update: updateOf(name, w, token)}
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: name, Item: itemAttributes(w, token),
		ConditionExpression: expression, ExpressionAttributeNames: names, ExpressionAttributeValues: values,
	}}
}

// itemAttributes returns the item that a put with a known version before it leaves behind.
func itemAttributes(w basilplatform.Write, token string) map[string]types.AttributeValue {
	version := int64(1)
	if w.Precondition == basilplatform.PreconditionVersion {
		version = w.Version + 1
	}
	item := keyAttributes(w.Key)
	item[attributeVersion] = number(version)
	item[attributeToken] = text(token)
	item[attributeBody] = blob(w.Body)
	return item
}

// updateOf returns a put that takes whatever version the item has.
func updateOf(table *string, w basilplatform.Write, token string) *types.Update {
	return &types.Update{
		TableName:        table,
		Key:              keyAttributes(w.Key),
		UpdateExpression: aws.String(updateAny),
		ExpressionAttributeNames: map[string]string{
			"#version": attributeVersion, "#token": attributeToken, "#body": attributeBody,
		},
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":one": number(1), ":t": text(token), ":b": blob(w.Body),
		},
	}
}

// decodeItem reads an item; it fails with ErrUnavailable when the answer is no item of ours.
func decodeItem(operation string, a map[string]types.AttributeValue) (basilplatform.Item, error) {
	partition, ok1 := a[attributePartition].(*types.AttributeValueMemberS)
	sort, ok2 := a[attributeSort].(*types.AttributeValueMemberS)
	version, ok3 := a[attributeVersion].(*types.AttributeValueMemberN)
	token, ok4 := a[attributeToken].(*types.AttributeValueMemberS)
	body, ok5 := a[attributeBody].(*types.AttributeValueMemberB)
	if !(ok1 && ok2 && ok3 && ok4 && ok5) {
		return basilplatform.Item{}, basilplatform.ErrUnavailable{Operation: operation, Cause: ErrItemMalformed{}}
	}
	n, err := strconv.ParseInt(version.Value, 10, 64)
	if err != nil {
		return basilplatform.Item{}, basilplatform.ErrUnavailable{Operation: operation, Cause: ErrItemMalformed{Version: version.Value}}
	}
	return basilplatform.Item{
		Key:     basilplatform.Key{Partition: partition.Value, Sort: sort.Value},
		Version: n,
		Token:   token.Value,
		Body:    body.Value,
	}, nil
}

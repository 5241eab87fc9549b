package basilstandin

import (
	"strconv"

	"basilstage.example/basilstage/internal/basilplatform"
)

// dynamoValue is an attribute value of one of the types in use.
type dynamoValue struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

type dynamoItem map[string]dynamoValue

type dynamoGet struct {
	TableName      string
	Key            dynamoItem
	ConsistentRead bool
}

type dynamoGetAnswer struct {
	Item dynamoItem `json:",omitempty"`
}

type dynamoQuery struct {
	TableName                 string
	ConsistentRead            bool
	KeyConditionExpression    string
	ExpressionAttributeValues dynamoItem
	Limit                     int
}

type dynamoQueryAnswer struct {
	Items            []dynamoItem
	Count            int
	ScannedCount     int
	LastEvaluatedKey dynamoItem `json:",omitempty"`
}

// dynamoWrite holds the fields of all four kinds of writes.
type dynamoWrite struct {
	TableName                 string
	Key                       dynamoItem
	Item                      dynamoItem
	ConditionExpression       string
	UpdateExpression          string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues dynamoItem
}

type dynamoTransactItem struct {
	Put            *dynamoWrite
	Update         *dynamoWrite
	Delete         *dynamoWrite
	ConditionCheck *dynamoWrite
}

type dynamoTransact struct {
	ClientRequestToken string
	TransactItems      []dynamoTransactItem
}

type dynamoReason struct{ Code string }

type dynamoFailure struct {
	Type                string         `json:"__type"`
	Message             string         `json:"message"`
	CancellationReasons []dynamoReason `json:",omitempty"`
}

func textValue(s string) dynamoValue { return dynamoValue{S: &s} }

func numberValue(n int64) dynamoValue {
	s := strconv.FormatInt(n, 10)
	return dynamoValue{N: &s}
}

func bytesValue(b []byte) dynamoValue {
	if b == nil {
		b = []byte{}
	}
	return dynamoValue{B: &b}
}

func keyItem(k basilplatform.Key) dynamoItem {
	return dynamoItem{"pk": textValue(k.Partition), "sk": textValue(k.Sort)}
}

func itemOf(i basilplatform.Item) dynamoItem {
	item := keyItem(i.Key)
	item["version"] = numberValue(i.Version)
	item["token"] = textValue(i.Token)
	item["body"] = bytesValue(i.Body)
	return item
}

// key returns the key in the item, and whether the item has just the number of attributes.
func (i dynamoItem) key(attributes int) (basilplatform.Key, bool) {
	partition, sort := i["pk"].S, i["sk"].S
	if partition == nil || sort == nil || *partition == "" || *sort == "" || len(i) != attributes {
		return basilplatform.Key{}, false
	}
	return basilplatform.Key{Partition: *partition, Sort: *sort}, true
}

// number returns the whole number of that name.
func (i dynamoItem) number(name string) (int64, bool) {
	v := i[name].N
	if v == nil {
		return 0, false
	}
	n, err := strconv.ParseInt(*v, 10, 64)
	return n, err == nil
}

package basilstandin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
)

const (
	dynamoTarget      = "DynamoDB_20120810."
	dynamoTypePrefix  = "com.amazonaws.dynamodb.v20120810#"
	dynamoContentType = "application/x-amz-json-1.0"
	dynamoPageBytes   = 1 << 20
)

// dynamoHandler serves the few operations of the DynamoDB HTTP API that the adapter sends.
type dynamoHandler struct {
	table *Table
	name  string // of the table; "" takes any
}

func (d dynamoHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A server goes on when its caller has left.
	ctx := context.WithoutCancel(r.Context())
	switch strings.TrimPrefix(r.Header.Get("X-Amz-Target"), dynamoTarget) {
	case "GetItem":
		serveDynamo(ctx, w, r, d.get)
	case "Query":
		serveDynamo(ctx, w, r, d.query)
	case "TransactWriteItems":
		serveDynamo(ctx, w, r, d.transact)
	default:
		failDynamo(w, ErrRequestRefused{Reason: "operation " + r.Header.Get("X-Amz-Target")}, 0)
	}
}

// serveDynamo reads one request, serves it and writes the answer.
func serveDynamo[Q any](ctx context.Context, w http.ResponseWriter, r *http.Request, serve func(context.Context, Q) (any, int, error)) {
	var request Q
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		failDynamo(w, ErrRequestRefused{Reason: err.Error()}, 0)
		return
	}
	answer, culprit, err := serve(ctx, request)
	if err != nil {
		failDynamo(w, err, culprit)
		return
	}
	writeDynamo(w, http.StatusOK, answer)
}

func writeDynamo(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", dynamoContentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// failDynamo writes the service's own form of the error, or cuts the connection when the outcome is to be unknown.
func failDynamo(w http.ResponseWriter, err error, culprit int) {
	f := dynamoFailure{Type: dynamoTypePrefix + "ValidationException", Message: err.Error()}
	switch {
	case basilplatform.IsErrOutcomeUnknown(err):
		panic(http.ErrAbortHandler)
	case basilplatform.IsErrConflict(err):
		f.Type = dynamoTypePrefix + "TransactionCanceledException"
		f.CancellationReasons = reasonsUpTo(culprit, "TransactionConflict")
	case basilplatform.IsErrUnavailable(err):
		f.Type = dynamoTypePrefix + "ThrottlingException"
	case basilplatform.IsErrConditionFailed(err):
		f.Type = dynamoTypePrefix + "TransactionCanceledException"
		f.CancellationReasons = reasonsUpTo(culprit, "ConditionalCheckFailed")
	case isTokenReused(err):
		f.Type = dynamoTypePrefix + "IdempotentParameterMismatchException"
	}
	writeDynamo(w, http.StatusBadRequest, f)
}

func isTokenReused(err error) bool {
	var r basilplatform.ErrRefused
	return errors.As(err, &r) && r.Reason == reasonTokenReused
}

func reasonsUpTo(culprit int, code string) []dynamoReason {
	reasons := make([]dynamoReason, culprit+1)
	for n := range reasons {
		reasons[n].Code = "None"
	}
	reasons[culprit].Code = code
	return reasons
}

func (d dynamoHandler) checkName(name string) error {
	if d.name != "" && name != d.name {
		return ErrRequestRefused{Reason: "table " + name}
	}
	return nil
}

func (d dynamoHandler) get(ctx context.Context, q dynamoGet) (any, int, error) {
	key, ok := q.Key.key(keyAttributes)
	if !ok || !q.ConsistentRead {
		return nil, 0, ErrRequestRefused{Reason: "get of another form"}
	}
	if err := d.checkName(q.TableName); err != nil {
		return nil, 0, err
	}
	i, err := d.table.Get(ctx, key)
	if basilplatform.IsErrItemNotExist(err) {
		return dynamoGetAnswer{}, 0, nil
	}
	return dynamoGetAnswer{Item: itemOf(i)}, 0, err
}

func (d dynamoHandler) query(ctx context.Context, q dynamoQuery) (any, int, error) {
	if err := d.checkName(q.TableName); err != nil {
		return nil, 0, err
	}
	partition, after, err := q.bounds()
	if err != nil {
		return nil, 0, err
	}
	items, err := d.table.Query(ctx, partition, after, q.Limit)
	if err != nil {
		return nil, 0, err
	}
	return pageOf(items, q.Limit), 0, nil
}

// bounds reads the two forms of key conditions.
func (q dynamoQuery) bounds() (partition, after string, err error) {
	values := q.ExpressionAttributeValues
	switch {
	case !q.ConsistentRead || values[":p"].S == nil || q.Limit < 0:
	case q.KeyConditionExpression == "pk = :p" && len(values) == 1:
		return *values[":p"].S, "", nil
	case q.KeyConditionExpression == "pk = :p AND sk > :s" && len(values) == 2 && values[":s"].S != nil:
		return *values[":p"].S, *values[":s"].S, nil
	}
	return "", "", ErrRequestRefused{Reason: "query of another form"}
}

// pageOf cuts the items at the page size; a cut page names its last key.
func pageOf(items []basilplatform.Item, limit int) dynamoQueryAnswer {
	page := dynamoQueryAnswer{Items: make([]dynamoItem, 0, len(items))}
	var size int
	for n, i := range items {
		page.Items = append(page.Items, itemOf(i))
		size += len(i.Body)
		if size >= dynamoPageBytes && n < len(items)-1 || limit > 0 && n == limit-1 {
			page.LastEvaluatedKey = keyItem(i.Key)
			break
		}
	}
	page.Count, page.ScannedCount = len(page.Items), len(page.Items)
	return page
}

func (d dynamoHandler) transact(ctx context.Context, q dynamoTransact) (any, int, error) {
	for _, i := range q.TransactItems {
		for _, w := range []*dynamoWrite{i.Put, i.Update, i.Delete, i.ConditionCheck} {
			if w == nil {
				continue
			}
			if err := d.checkName(w.TableName); err != nil {
				return nil, 0, err
			}
		}
	}
	x, err := q.transaction()
	if err != nil {
		return nil, 0, err
	}
	err = d.table.Transact(ctx, x)
	if err != nil {
		return nil, culpritOf(x, err), err
	}
	return struct{}{}, 0, nil
}

// culpritOf returns the place of the write that the error names, or 0.
func culpritOf(x basilplatform.Transaction, err error) int {
	var condition basilplatform.ErrConditionFailed
	var conflict basilplatform.ErrConflict
	var key basilplatform.Key
	switch {
	case errors.As(err, &condition):
		key = condition.Key
	case errors.As(err, &conflict):
		key = conflict.Key
	}
	return max(0, slices.IndexFunc(x.Writes, func(w basilplatform.Write) bool { return w.Key == key }))
}

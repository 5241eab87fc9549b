package basildynamo

import (
	"context"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basiltrace"
)

// Defaults of the options.
const (
	DefaultTimeout   = 2 * time.Second
	DefaultRegion    = "us-east-1"
	DefaultTableName = "basilstage"
	defaultKey       = "basilstage"
)

// The operations, as errors name them.
const (
	operationGet      = "get"
	operationQuery    = "query"
	operationTransact = "transact"
)

// Options says where the table service is; only Endpoint is needed.
type Options struct {
	Endpoint  string // URL
	Region    string
	TableName string
	AccessKey string
	SecretKey string
	Timeout   time.Duration // of each call
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	o.Region = orDefault(o.Region, DefaultRegion)
	o.TableName = orDefault(o.TableName, DefaultTableName)
	o.AccessKey = orDefault(o.AccessKey, defaultKey)
	o.SecretKey = orDefault(o.SecretKey, defaultKey)
	return o
}

func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

// Table is a basilplatform.Table over the DynamoDB HTTP API; it never retries.
type Table struct {
	client  *dynamodb.Client
	options Options
}

var _ basilplatform.Table = (*Table)(nil)

// New returns the table that the options name; it sends nothing.
func New(o Options) *Table {
	o = o.withDefaults()
	return &Table{options: o, client: dynamodb.New(dynamodb.Options{
		BaseEndpoint:          aws.String(o.Endpoint),
		Region:                o.Region,
		Credentials:           credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		HTTPClient:            newHTTPClient(),
		Retryer:               aws.NopRetryer{},
		RetryMaxAttempts:      1,
		AccountIDEndpointMode: aws.AccountIDEndpointModeDisabled,
		EndpointDiscovery:     dynamodb.EndpointDiscoveryOptions{EnableEndpointDiscovery: aws.EndpointDiscoveryDisabled},
	})}
}

// Get returns one item by a strongly consistent read.
func (t *Table) Get(ctx context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Timeout)
	defer cancel()
	var trace basiltrace.RequestTrace
	answer, err := t.client.GetItem(trace.Context(ctx), &dynamodb.GetItemInput{
		TableName:      &t.options.TableName,
		Key:            keyAttributes(k),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return basilplatform.Item{}, readError(operationGet, err)
	}
	if len(answer.Item) == 0 {
		return basilplatform.Item{}, basilplatform.ErrItemNotExist{Key: k}
	}
	return decodeItem(operationGet, answer.Item)
}

// Query returns up to limit items of the partition after the sort key; limit 0 is all of them.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]basilplatform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Timeout)
	defer cancel()
	var items []basilplatform.Item
	for {
		page, more, err := t.queryPage(ctx, partition, after, limit-len(items))
		if err != nil {
			return nil, err
		}
		items = append(items, page...)
		if !more || limit > 0 && len(items) >= limit {
			return items, nil
		}
		after = items[len(items)-1].Key.Sort
	}
}

// queryPage returns one page and whether the service holds more.
func (t *Table) queryPage(ctx context.Context, partition, after string, limit int) ([]basilplatform.Item, bool, error) {
	answer, err := t.client.Query(ctx, t.queryInput(partition, after, limit))
	if err != nil {
		return nil, false, readError(operationQuery, err)
	}
	items := make([]basilplatform.Item, len(answer.Items))
	for n, a := range answer.Items {
		if items[n], err = decodeItem(operationQuery, a); err != nil {
			return nil, false, err
		}
	}
	return items, len(answer.LastEvaluatedKey) > 0 && len(items) > 0, nil
}

func (t *Table) queryInput(partition, after string, limit int) *dynamodb.QueryInput {
	q := &dynamodb.QueryInput{
		TableName:                 &t.options.TableName,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("pk = :p"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":p": text(partition)},
	}
	if after != "" {
		q.KeyConditionExpression = aws.String("pk = :p AND sk > :s")
		q.ExpressionAttributeValues[":s"] = text(after)
	}
	if limit > 0 {
		q.Limit = aws.Int32(int32(limit))
	}
	return q
}

// Transact applies all writes, or none.
func (t *Table) Transact(ctx context.Context, x basilplatform.Transaction) error {
	if err := basilplatform.CheckTransaction(x); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.Timeout)
	defer cancel()
	var trace basiltrace.RequestTrace
	_, err := t.client.TransactWriteItems(trace.Context(ctx), &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: &x.Token,
		TransactItems:      t.transactItems(x),
	})
	if err != nil {
		return transactError(err, x, trace.MaySent())
	}
	return nil
}

func (t *Table) transactItems(x basilplatform.Transaction) []types.TransactWriteItem {
	items := make([]types.TransactWriteItem, len(x.Writes))
	for n, w := range x.Writes {
		items[n] = t.transactItem(w, x.Token)
	}
	return items
}

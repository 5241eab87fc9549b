package basilstandin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilstandin"
)

const (
	aKey  = `{"pk":{"S":"p"},"sk":{"S":"s"}}`
	aItem = `{"pk":{"S":"p"},"sk":{"S":"s"},"version":{"N":"1"},"token":{"S":"t"},"body":{"B":""}}`
)

func transactOf(item string) string {
	return `{"ClientRequestToken":"t","TransactItems":[` + item + `]}`
}

// The stand-in takes the forms that the adapter sends and no others, so that a
// new form can't pass the tests unnoticed.
func TestDynamoRefusals(t *testing.T) {
	put := func(item, rest string) string {
		return transactOf(`{"Put":{"TableName":"n","Item":` + item + rest + `}}`)
	}
	tests := []struct{ name, operation, body, want string }{
		{"get", "GetItem", `{"TableName":"n","ConsistentRead":true,"Key":` + aKey + `}`, ""},
		{"put", "TransactWriteItems", put(aItem, `,"ConditionExpression":"attribute_not_exists(pk)"`), ""},
		{"other operation", "PutItem", `{}`, "operation"},
		{"no operation", "", `{}`, "operation"},
		{"no JSON", "GetItem", `{`, "EOF"},
		{"unknown field", "GetItem", `{"TableName":"n","ProjectionExpression":"pk"}`, "unknown field"},
		{"other table", "GetItem", `{"TableName":"m","ConsistentRead":true,"Key":` + aKey + `}`, "table m"},
		{"eventually consistent get", "GetItem", `{"TableName":"n","Key":` + aKey + `}`, "get of another form"},
		{"key of other attributes", "GetItem", `{"TableName":"n","ConsistentRead":true,"Key":{"id":{"S":"p"}}}`, "get of another form"},
		{"eventually consistent query", "Query", `{"TableName":"n","KeyConditionExpression":"pk = :p","ExpressionAttributeValues":{":p":{"S":"p"}}}`, "query of another form"},
		{"other key condition", "Query", `{"TableName":"n","ConsistentRead":true,"KeyConditionExpression":"pk < :p","ExpressionAttributeValues":{":p":{"S":"p"}}}`, "query of another form"},
		{"unused value", "Query", `{"TableName":"n","ConsistentRead":true,"KeyConditionExpression":"pk = :p","ExpressionAttributeValues":{":p":{"S":"p"},":x":{"S":"x"}}}`, "query of another form"},
		{"put without a condition", "TransactWriteItems", put(aItem, ""), "put whose version"},
		{"put with another condition", "TransactWriteItems", put(aItem, `,"ConditionExpression":"attribute_exists(pk)"`), "condition of another form"},
		{"put whose version does not follow", "TransactWriteItems", put(aItem, `,"ConditionExpression":"#version = :v","ExpressionAttributeNames":{"#version":"version"},"ExpressionAttributeValues":{":v":{"N":"7"}}`), "put whose version"},
		{"put with another token", "TransactWriteItems", put(strings.Replace(aItem, `"t"`, `"u"`, 1), `,"ConditionExpression":"attribute_not_exists(pk)"`), "item of another form"},
		{"item with one attribute more", "TransactWriteItems", put(strings.Replace(aItem, `{`, `{"x":{"S":"x"},`, 1), `,"ConditionExpression":"attribute_not_exists(pk)"`), "item of another form"},
		{"other update", "TransactWriteItems", transactOf(`{"Update":{"TableName":"n","Key":` + aKey + `,"UpdateExpression":"SET x = :x"}}`), "update of another form"},
		{"check without a condition", "TransactWriteItems", transactOf(`{"ConditionCheck":{"TableName":"n","Key":` + aKey + `}}`), "check without a condition"},
		{"two writes in one", "TransactWriteItems", transactOf(`{"Delete":{"TableName":"n","Key":` + aKey + `},"ConditionCheck":{"TableName":"n","Key":` + aKey + `}}`), "one write each"},
		{"empty item", "TransactWriteItems", transactOf(`{}`), "another form"},
		{"no token", "TransactWriteItems", `{"TransactItems":[{"Delete":{"TableName":"n","Key":` + aKey + `}}]}`, "token of 0 bytes"},
	}
	handler := basilstandin.NewPlatform(basilstandin.PlatformOptions{TableName: "n"}).Handler()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(tt.body))
			r.Header.Set("X-Amz-Target", "DynamoDB_20120810."+tt.operation)
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			text, err := io.ReadAll(w.Body)
			must.NoError(t, err)
			if tt.want == "" {
				must.EqOp(t, http.StatusOK, w.Code, must.Sprint(string(text)))
				return
			}
			must.EqOp(t, http.StatusBadRequest, w.Code, must.Sprint(string(text)))
			must.StrContains(t, string(text), "#ValidationException")
			must.StrContains(t, string(text), tt.want)
		})
	}
}

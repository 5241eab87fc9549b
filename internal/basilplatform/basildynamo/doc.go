// Package basildynamo keeps a basilplatform.Table in a service that speaks the
// DynamoDB HTTP API.
//
// One table holds all items; its keys are pk (partition) and sk (sort), both strings.
package basildynamo

package basildynamo

import (
	"fmt"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
)

// throttledRetryAfter is when to come back to a service that asked to be left alone.
const throttledRetryAfter = 500 * time.Millisecond

// conflictRetryAfter is when to come back after another transaction held an item.
const conflictRetryAfter = 20 * time.Millisecond

// The codes of the reasons for which a transaction was cancelled.
const (
	reasonCondition  = "ConditionalCheckFailed"
	reasonConflict   = "TransactionConflict"
	reasonValidation = "ValidationError"
	reasonCollection = "ItemCollectionSizeLimitExceeded"
)

// ErrItemMalformed says that the service returned an item that basilstage did not write.
type ErrItemMalformed struct{ Version string }

func (e ErrItemMalformed) Error() string {
	return fmt.Sprintf("item is malformed [version: %q]", e.Version)
}

// IsErrItemMalformed tells whether the error is an ErrItemMalformed.
func IsErrItemMalformed(err error) bool { return errors.As(err, new(ErrItemMalformed)) }

// ErrAnswerMalformed says that an answer is cut off or no JSON object.
type ErrAnswerMalformed struct {
	Status int // of HTTP
	Cause  error
}

func (e ErrAnswerMalformed) Error() string {
	return fmt.Sprintf("answer is malformed [status: %d, cause: %v]", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e ErrAnswerMalformed) Unwrap() error { return e.Cause }

// IsErrAnswerMalformed tells whether the error is an ErrAnswerMalformed.
func IsErrAnswerMalformed(err error) bool { return errors.As(err, new(ErrAnswerMalformed)) }

// throttledCodes are the service's ways to say that it did nothing, for now.
var throttledCodes = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"ThrottlingException":                    true,
	"RequestLimitExceeded":                   true,
	"RequestThrottledException":              true,
}

// refusedCodes are the service's ways to say that it did nothing and never will.
var refusedCodes = map[string]bool{
	"AccessDeniedException":                    true,
	"ExpiredTokenException":                    true,
	"IdempotentParameterMismatchException":     true,
	"IncompleteSignatureException":             true,
	"InvalidSignatureException":                true,
	"ItemCollectionSizeLimitExceededException": true,
	"MissingAuthenticationTokenException":      true,
	"ResourceNotFoundException":                true,
	"SerializationException":                   true,
	"UnrecognizedClientException":              true,
	"UnknownOperationException":                true,
	"ValidationException":                      true,
}

// knownError returns the error of an answer that says for certain that nothing was done, or nil.
func knownError(operation string, err error) error {
	var a smithy.APIError
	if !errors.As(err, &a) {
		return nil
	}
	switch {
	case throttledCodes[a.ErrorCode()]:
		return basilplatform.ErrUnavailable{Operation: operation, RetryAfter: throttledRetryAfter, Cause: err}
	case refusedCodes[a.ErrorCode()]:
		return basilplatform.ErrRefused{Operation: operation, Reason: a.ErrorCode() + ": " + a.ErrorMessage()}
	}
	return nil
}

func readError(operation string, err error) error {
	if known := knownError(operation, err); known != nil {
		return known
	}
	return basilplatform.ErrUnavailable{Operation: operation, Cause: err}
}

func transactError(err error, x basilplatform.Transaction, maySent bool) error {
	if !maySent {
		return basilplatform.ErrUnavailable{Operation: operationTransact, Cause: err}
	}
	var c *types.TransactionCanceledException
	if errors.As(err, &c) {
		return cancelledError(c, x.Writes)
	}
	if known := knownError(operationTransact, err); known != nil {
		return known
	}
	return basilplatform.ErrOutcomeUnknown{Operation: operationTransact, Token: x.Token, Cause: err}
}

// cancelledError tells why a cancelled transaction, which never has an effect, was cancelled.
//
// A failed condition goes before a refusal, a refusal before a conflict, and a
// conflict, which another try may not meet, before the rest.
func cancelledError(c *types.TransactionCanceledException, writes []basilplatform.Write) error {
	first := make(map[string]basilplatform.Key)
	for n, r := range c.CancellationReasons {
		code := aws.ToString(r.Code)
		if _, ok := first[code]; !ok && n < len(writes) {
			first[code] = writes[n].Key
		}
	}
	if k, ok := first[reasonCondition]; ok {
		return basilplatform.ErrConditionFailed{Key: k}
	}
	for _, code := range []string{reasonValidation, reasonCollection} {
		if k, ok := first[code]; ok {
			return basilplatform.ErrRefused{Operation: operationTransact, Reason: code + " at " + k.Partition + "/" + k.Sort}
		}
	}
	if k, ok := first[reasonConflict]; ok {
		return basilplatform.ErrUnavailable{
			Operation: operationTransact, RetryAfter: conflictRetryAfter, Cause: basilplatform.ErrConflict{Key: k},
		}
	}
	return basilplatform.ErrUnavailable{Operation: operationTransact, RetryAfter: throttledRetryAfter, Cause: c}
}

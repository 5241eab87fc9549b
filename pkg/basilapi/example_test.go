package basilapi_test

import (
	"fmt"

	"basilstage.example/basilstage/pkg/basilapi"
)

// A job id names the data centre of the entry host that minted it.
func ExampleParseJobID() {
	id, err := basilapi.ParseJobID("fukuoka.01J00000000000000000000000.01J00000000000000000000001")
	fmt.Println(id.DataCentre(), err)
	_, err = basilapi.ParseJobID("receipt-7")
	fmt.Println(basilapi.IsErrJobIDMalformed(err))
	// Output:
	// fukuoka <nil>
	// true
}

package store

import (
	"fmt"
	"unicode/utf8"
)

// CheckUTF8 returns ErrInvalid unless every key, name or prefix in values is
// valid UTF-8. A JSON string cannot represent other byte sequences, so services
// with a JSON protocol cannot transfer them.
func CheckUTF8(values ...string) error {
	for _, value := range values {
		if !utf8.ValidString(value) {
			return fmt.Errorf("%q is not valid UTF-8: %w", value, ErrInvalid)
		}
	}
	return nil
}

// CheckUTF8 returns ErrInvalid unless every key of the transaction is valid
// UTF-8.
func (t Txn) CheckUTF8() error {
	for _, condition := range t.Conditions {
		if err := CheckUTF8(condition.Key); err != nil {
			return err
		}
	}
	for _, write := range t.Writes {
		if err := CheckUTF8(write.Key); err != nil {
			return err
		}
	}
	return nil
}

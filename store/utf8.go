package store

import (
	"fmt"
	"unicode/utf8"
)

// CheckUTF8 returns ErrInvalid unless every key, name or prefix in texts is
// valid UTF-8. Services that speak JSON can't carry any other.
func CheckUTF8(texts ...string) error {
	for _, text := range texts {
		if !utf8.ValidString(text) {
			return fmt.Errorf("%q is not valid UTF-8: %w", text, ErrInvalid)
		}
	}
	return nil
}

// CheckTexts returns ErrInvalid unless every key of the transaction is valid
// UTF-8.
func (t Txn) CheckTexts() error {
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

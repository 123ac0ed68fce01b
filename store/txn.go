package store

import "fmt"

// Validate returns ErrInvalid when a key is empty or not valid UTF-8, when a
// condition has a negative version, or when two writes are for the same row.
func (t Txn) Validate() error {
	if err := t.CheckUTF8(); err != nil {
		return err
	}
	for _, condition := range t.Conditions {
		if condition.Key == "" || condition.Version < 0 {
			return fmt.Errorf("condition on row %q, version %d: %w", condition.Key, condition.Version, ErrInvalid)
		}
	}
	seen := make(map[string]struct{}, len(t.Writes))
	for _, write := range t.Writes {
		if write.Key == "" {
			return fmt.Errorf("write with an empty key: %w", ErrInvalid)
		}
		if _, duplicate := seen[write.Key]; duplicate {
			return fmt.Errorf("two writes of row %q: %w", write.Key, ErrInvalid)
		}
		seen[write.Key] = struct{}{}
	}
	return nil
}

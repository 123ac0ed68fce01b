package store

import "fmt"

// Validate returns ErrInvalid for keys that are empty or no text, for negative
// versions, and for two writes of one row.
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
		if _, twice := seen[write.Key]; twice {
			return fmt.Errorf("two writes of row %q: %w", write.Key, ErrInvalid)
		}
		seen[write.Key] = struct{}{}
	}
	return nil
}

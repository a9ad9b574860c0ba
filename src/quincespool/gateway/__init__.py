"""The gateway: serves programs whose callers name each turn that they continue."""

"""The store that lasts: what is needed of it, and what is followed in it."""

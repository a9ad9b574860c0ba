"""The durable store: its interface, retries of requests to it, and readers of its topics."""

"""A retry budget: retries are a share of first tries, so that they cannot feed an overload."""

from __future__ import annotations

from quincespool.stable_hash import stable_hash

SHARE = 0.1
MOST_SAVED = 20.0
BASE_MS = 50
MOST_MS = 2_000


class RetryBudget:
    """Saves a share of a retry for each first try, and spends whole ones."""

    def __init__(self) -> None:
        self.saved = MOST_SAVED

    def note_first_try(self) -> None:
        """Saves for later retries."""
        self.saved = min(MOST_SAVED, self.saved + SHARE)

    def take(self) -> bool:
        """Spends one retry if there is one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


def backoff_ms(tries: int, key: str) -> int:
    """Returns the wait before the next try: exponential, with jitter from the key alone."""
    ceiling = min(MOST_MS, BASE_MS << min(tries, 10))
    return ceiling // 2 + stable_hash(f"{key}|{tries}") % (ceiling // 2 + 1)

"""What the daemons record about client-account limits."""

from __future__ import annotations

from typing import Literal
from typing import TypedDict


class ExtentRecord(TypedDict):
    """Record of a stream `accounts-N`: the most that a home may have out at any time.

    Attributes:
      kind: `extent`.
      account: Name without `account/`.
      epoch: Of the claim that makes the writer the account's home.
      serial: Grows with each record of the epoch.
      permits: Never more permits out at once.
      tokens: Never more tokens granted in one window.
      term_ms: No permit is granted for longer.
      settled: Nothing granted in earlier epochs is out any more.
    """

    kind: Literal["extent"]
    account: str
    epoch: int
    serial: int
    permits: int
    tokens: int
    term_ms: int
    settled: bool

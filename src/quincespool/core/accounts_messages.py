"""What the daemons tell one another, and record, about client-account limits."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple
from typing import TypedDict


class AccountAsked(NamedTuple):
    """Holder to home: what I keep of an account's permits, and what I want.

    The numbers are absolute, so that a repeat or a loss changes nothing. From sending this on, the
    holder uses no more than `held` permits and takes no answer to an earlier sequence number.

    Attributes:
      account: Name without `account/`.
      incarnation: The holder's.
      sequence: Grows with each message of the holder's process.
      epoch: Newest epoch of this account's home that the holder has accepted an answer of, or -1.
      held: Permits it keeps, calls under way included.
      wanted: Permits it would like to have in all.
      tokens_needed: Tokens without which its next call cannot start.
      tokens_wanted: Tokens it would like to have in addition to those it has.
      hold_ms: The longest that one of its calls may run.
    """

    account: str
    incarnation: int
    sequence: int
    epoch: int
    held: int
    wanted: int
    tokens_needed: int
    tokens_wanted: int
    hold_ms: int


class AccountGranted(NamedTuple):
    """Home to holder: the answer to `sequence`.

    `permits` (in all) end `term_ms` after the holder asked, `tokens` (in addition) `SLICE_MS` after
    it did. `retry_after_ms` is 0 if everything wanted was granted.
    """

    account: str
    incarnation: int
    sequence: int
    epoch: int
    permits: int
    tokens: int
    term_ms: int
    retry_after_ms: int


class AccountElsewhere(NamedTuple):
    """Not home to holder: ask `holder`, if not empty."""

    account: str
    incarnation: int
    sequence: int
    holder: str


class AccountDecided(NamedTuple):
    """Event, raised by the accounts part: the decision on a ticket that was pending.

    If granted, the call must be over by `must_end_by_ms`; else it may be tried again after
    `retry_after_ms`.
    """

    account: str
    ticket: str
    granted: bool
    must_end_by_ms: int
    retry_after_ms: int


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

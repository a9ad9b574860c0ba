"""The state of the specification `specs.claims`, its guards and its bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from specs.ledger import LedgerGuards
from specs.ledger import Record
from specs.ledger import Stream
from specs.ledger import Writer

if TYPE_CHECKING:
    from specs.ledger import Verdict

ASKS = 2


class Guards(NamedTuple):
    """Parts of the protocol that a mutant leaves out.

    Attributes:
      ledger: The rule by which records count.
      licence_once: The owner sends a licensed call once.
      licence_of_own_incarnation: Only the incarnation that wrote the intent sends.
      licence_after_read_back: The owner sends after it has read its intent back as valid.
      surrender_ends_licence: Who records "not run" never sends afterwards.
      silence_may_have_run: No answer to a dispatch counts as "may have run", not as "not run".
      old_intent_may_have_run: A new owner takes an older intent for "may have run", not "not run".
      not_run_needs_certainty: "Not run" is not said while an own intent may come to count.
      retry_blurs_refusal: A refused append counts as not written only if no other copy was sent.
      tell_after_read_back: A verdict is told only from the log.
      keeper_remembers: The keeper handles an attempt once, also one that it did not send on.
      dispatch_names_keeper: A dispatch holds the keeper's epoch and other keepers refuse it.
    """

    ledger: LedgerGuards = LedgerGuards()
    licence_once: bool = True
    licence_of_own_incarnation: bool = True
    licence_after_read_back: bool = True
    surrender_ends_licence: bool = True
    silence_may_have_run: bool = True
    old_intent_may_have_run: bool = True
    not_run_needs_certainty: bool = True
    retry_blurs_refusal: bool = True
    tell_after_read_back: bool = True
    keeper_remembers: bool = True
    dispatch_names_keeper: bool = True


class Bounds(NamedTuple):
    """How much may happen.

    Attributes:
      records: In the stream, not counting void ones.
      restarts: Of daemons together.
      keeper_restarts: Of the keeper, which is a role of its own here.
      append_copies: How often a daemon sends one group.
      dispatch_copies: How often one dispatch may arrive.
      asks: How often the caller asks.
      yields: Whether owners yield.
    """

    records: int = 4
    restarts: int = 0
    keeper_restarts: int = 0
    append_copies: int = 1
    dispatch_copies: int = 1
    asks: int = ASKS
    yields: bool = False


class Daemon(NamedTuple):
    """One daemon's incarnation.

    Attributes:
      read: The prefix of the stream that it has read.
      incarnation: Its number.
      sent: Its group that it has not read back yet.
      copies: How often it has sent that.
      sequence: Of its next group.
      spent: Whether the licence is used or given up.
      decided: The verdict that it means to record.
      asks: The caller's asks that wait here.
    """

    read: Stream
    incarnation: int = 0
    sent: Record | None = None
    copies: int = 0
    sequence: int = 0
    spent: bool = False
    decided: Verdict | None = None
    asks: frozenset[int] = frozenset()


class Dispatch(NamedTuple):
    """A licensed call on its way to the keeper; `copies` may still arrive."""

    writer: Writer
    ask: int
    keeper_epoch: int
    copies: int


class State(NamedTuple):
    """Everything.

    Attributes:
      log: The stream.
      flights: Copies of records that may still land, sorted.
      daemons: Both daemons.
      restarts: Daemon restarts so far.
      keeper_epoch: Of the keeper in force; a new keeper remembers nothing.
      keeper_seen: The attempts which this keeper has handled.
      dispatches: On their way to the keeper.
      effects: Effects on the backend server for each ask.
      asked: How many asks the caller has made.
      told: What each ask was answered.
    """

    log: Stream
    daemons: tuple[Daemon, ...]
    flights: tuple[Record, ...] = ()
    restarts: int = 0
    keeper_epoch: int = 0
    keeper_seen: frozenset[Writer] = frozenset()
    dispatches: tuple[Dispatch, ...] = ()
    effects: tuple[int, ...] = (0,) * ASKS
    asked: int = 0
    told: tuple[Verdict | None, ...] = (None,) * ASKS

    def with_daemon(self, index: int, daemon: Daemon) -> State:
        """Returns the state with one daemon replaced."""
        return self._replace(
            daemons=tuple(daemon if i == index else d for i, d in enumerate(self.daemons))
        )

    def without_flight(self, record: Record) -> State:
        """Returns the state with one copy of a record no longer under way."""
        place = self.flights.index(record)
        return self._replace(flights=self.flights[:place] + self.flights[place + 1 :])

    def with_flight(self, record: Record) -> State:
        """Returns the state with one more copy of a record under way."""
        return self._replace(flights=tuple(sorted((*self.flights, record))))

    def with_effect(self, ask: int) -> State:
        """Returns the state with one more effect."""
        # Two effects are a violation already; counting on would only add states.
        return self._replace(
            effects=tuple(min(2, n + 1) if i == ask else n for i, n in enumerate(self.effects))
        )

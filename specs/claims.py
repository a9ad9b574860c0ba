"""Claims, intents and takeovers: one partition, one non-idempotent call, one keeper hop.

Two daemons share a stream. Any of them may claim the partition at any time (death is only a
suspicion), act on a view of the log that is arbitrarily old (that is what a frozen process does),
or restart with nothing. Appends are copies in flight that land late, twice, or never. The caller
asks at one daemon and may ask again at any daemon. The owner sends the licensed call through a
keeper, which may restart, and dispatches arrive late, twice, or never. No rule rests on time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from specs.checking import Specification
from specs.ledger import NO_EPOCH
from specs.ledger import Kind
from specs.ledger import Ledger
from specs.ledger import LedgerGuards
from specs.ledger import Record
from specs.ledger import Verdict
from specs.ledger import Writer
from specs.ledger import read_prefix

if TYPE_CHECKING:
    from collections.abc import Iterator

    Steps = Iterator[tuple[str, "State"]]

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
      keeper_remembers: The keeper sends an attempt id once.
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
    """How much may happen."""

    log_length: int = 5
    restarts: int = 1
    keeper_restarts: int = 1
    append_copies: int = 2
    dispatch_copies: int = 2
    yields: bool = False


class Daemon(NamedTuple):
    """One daemon's incarnation.

    Attributes:
      incarnation: Its number.
      read: How many records it has read.
      sent: Its group that it has not read back yet.
      copies: How often it has sent that.
      sequence: Of its next group.
      spent: Whether the licence is used or given up.
      decided: The verdict that it means to record.
      asks: The caller's asks that wait here.
    """

    incarnation: int = 0
    read: int = 0
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
      answers: From the keeper on their way to an owner.
      effects: Effects on the backend server for each ask.
      asked: How many asks the caller has made.
      told: What each ask was answered.
    """

    log: tuple[Record, ...] = ()
    flights: tuple[Record, ...] = ()
    daemons: tuple[Daemon, ...] = (Daemon(), Daemon())
    restarts: int = 0
    keeper_epoch: int = 0
    keeper_seen: frozenset[Writer] = frozenset()
    dispatches: tuple[Dispatch, ...] = ()
    answers: frozenset[tuple[Writer, Verdict]] = frozenset()
    effects: tuple[int, ...] = (0,) * ASKS
    asked: int = 0
    told: tuple[Verdict | None, ...] = (None,) * ASKS


class Claims:
    """The steps of the protocol under given guards and bounds."""

    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def successors(self, state: State) -> Steps:
        """Yields every step from a state."""
        yield from self._caller_steps(state)
        yield from self._log_steps(state)
        yield from self._keeper_steps(state)
        for index, daemon in enumerate(state.daemons):
            view = self.view(state, daemon)
            yield from self._life_steps(state, index, daemon, view)
            yield from self._append_steps(state, index, daemon, view)
            yield from self._call_steps(state, index, daemon, view)
            yield from self._tell_steps(state, index, daemon, view)

    def view(self, state: State, daemon: Daemon) -> Ledger:
        """Returns what a daemon knows."""
        return read_prefix(state.log[: daemon.read], self._guards.ledger)

    def truth(self, state: State) -> Ledger:
        """Returns what the whole stream says."""
        return read_prefix(state.log, self._guards.ledger)

    def _caller_steps(self, state: State) -> Steps:
        if state.asked == ASKS:
            return
        for index, daemon in enumerate(state.daemons):
            asking = daemon._replace(asks=daemon.asks | {state.asked})
            yield (
                f"ask {state.asked} at {index}",
                _with(state, index, asking)._replace(asked=state.asked + 1),
            )

    def _log_steps(self, state: State) -> Steps:
        if len(state.log) == self._bounds.log_length:
            return
        for record in dict.fromkeys(state.flights):
            landed = state._replace(
                log=(*state.log, record),
                flights=_without(state.flights, record),
            )
            yield f"land {_name(record)}", landed

    def _keeper_steps(self, state: State) -> Steps:
        if state.keeper_epoch < self._bounds.keeper_restarts and state.keeper_seen:
            yield (
                "keeper restarts",
                state._replace(keeper_epoch=state.keeper_epoch + 1, keeper_seen=frozenset()),
            )
        for dispatch in state.dispatches:
            yield from self._delivery_steps(state, dispatch)

    def _delivery_steps(self, state: State, dispatch: Dispatch) -> Steps:
        if dispatch.copies == 0:
            return
        left = dispatch._replace(copies=dispatch.copies - 1)
        dispatches = tuple(left if d is dispatch else d for d in state.dispatches)
        if self._guards.dispatch_names_keeper and dispatch.keeper_epoch != state.keeper_epoch:
            return
        if self._guards.keeper_remembers and dispatch.writer in state.keeper_seen:
            return
        seen = state._replace(
            dispatches=dispatches, keeper_seen=state.keeper_seen | {dispatch.writer}
        )
        ran = seen._replace(effects=_increased(seen.effects, dispatch.ask))
        yield "keeper: ran", _answered(ran, dispatch.writer, Verdict.RAN)
        yield "keeper: ran, unsure", _answered(ran, dispatch.writer, Verdict.MAY_HAVE_RUN)
        yield "keeper: not sent", _answered(seen, dispatch.writer, Verdict.NOT_RUN)

    def _life_steps(self, state: State, index: int, daemon: Daemon, view: Ledger) -> Steps:
        if daemon.read < len(state.log):
            yield f"{index} reads", _with(state, index, self._read_one(state, index, daemon))
        if state.restarts < self._bounds.restarts and daemon != Daemon():
            fresh = Daemon(incarnation=daemon.incarnation + 1)
            yield f"{index} restarts", _with(state, index, fresh)._replace(
                restarts=state.restarts + 1
            )

    def _read_one(self, state: State, index: int, daemon: Daemon) -> Daemon:
        daemon = daemon._replace(read=daemon.read + 1)
        expected = self.view(state, daemon).expected(Writer(index, daemon.incarnation))
        if daemon.sent and expected is not None and expected > daemon.sent.sequence:
            return daemon._replace(sent=None, copies=0, sequence=daemon.sequence + 1)
        return daemon

    def _append_steps(self, state: State, index: int, daemon: Daemon, view: Ledger) -> Steps:
        if daemon.sent:
            yield from self._resend_steps(state, index, daemon)
            return
        writer = Writer(index, daemon.incarnation)
        if view.holder != writer:
            yield self._append(state, index, daemon, Kind.CLAIM, view.epoch)
            return
        yield from self._owner_appends(state, index, daemon, view)

    def _owner_appends(self, state: State, index: int, daemon: Daemon, view: Ledger) -> Steps:
        if view.outcome is not None or (view.intent is None and not daemon.asks):
            if self._bounds.yields and view.outcome is not None:
                yield self._append(state, index, daemon, Kind.YIELD, view.epoch)
            return
        if view.intent is None:
            for ask in daemon.asks:
                yield self._append(state, index, daemon, Kind.INTENT, view.epoch, ask)
            return
        verdict = daemon.decided
        if view.intent.epoch != view.epoch:
            certain = self._guards.old_intent_may_have_run
            verdict = Verdict.MAY_HAVE_RUN if certain else Verdict.NOT_RUN
        if verdict is not None:
            yield self._append(state, index, daemon, Kind.OUTCOME, view.epoch, verdict)

    def _append(
        self, state: State, index: int, daemon: Daemon, kind: Kind, epoch: int, detail: int = 0
    ) -> tuple[str, State]:
        writer = Writer(index, daemon.incarnation)
        record = Record(writer, daemon.sequence, kind, epoch, detail)
        sending = daemon._replace(sent=record, copies=1)
        flights = tuple(sorted((*state.flights, record)))
        return f"{index} sends {_name(record)}", _with(state, index, sending)._replace(
            flights=flights
        )

    def _resend_steps(self, state: State, index: int, daemon: Daemon) -> Steps:
        assert daemon.sent
        if daemon.copies < self._bounds.append_copies:
            flights = tuple(sorted((*state.flights, daemon.sent)))
            again = daemon._replace(copies=daemon.copies + 1)
            yield f"{index} sends again", _with(state, index, again)._replace(flights=flights)
        if daemon.sent not in state.flights:
            return
        # A refusal is a definite answer about one copy only.
        if daemon.copies == 1 or not self._guards.retry_blurs_refusal:
            refused = daemon._replace(sent=None, copies=0)
            yield f"{index} refused by log", _with(state, index, refused)._replace(
                flights=_without(state.flights, daemon.sent)
            )

    def _call_steps(self, state: State, index: int, daemon: Daemon, view: Ledger) -> Steps:
        writer = Writer(index, daemon.incarnation)
        intent = self._licence(index, daemon, view)
        if intent and not (daemon.spent and self._guards.licence_once) and daemon.decided is None:
            yield f"{index} dispatches", self._dispatched(state, index, daemon, intent)
        if intent and not daemon.spent:
            given_up = daemon._replace(
                decided=Verdict.NOT_RUN, spent=self._guards.surrender_ends_licence
            )
            yield f"{index} gives up unsent", _with(state, index, given_up)
        if intent and not self._guards.surrender_ends_licence and daemon.decided is not None:
            yield f"{index} dispatches late", self._dispatched(state, index, daemon, intent)
        if daemon.spent and daemon.decided is None:
            certain = self._guards.silence_may_have_run
            verdict = Verdict.MAY_HAVE_RUN if certain else Verdict.NOT_RUN
            yield f"{index} hears nothing", _with(state, index, daemon._replace(decided=verdict))
            for to, answer in state.answers:
                if to == writer:
                    heard = daemon._replace(decided=answer)
                    yield f"{index} hears {answer.name}", _with(state, index, heard)

    def _licence(self, index: int, daemon: Daemon, view: Ledger) -> Record | None:
        writer = Writer(index, daemon.incarnation)
        if not self._guards.licence_after_read_back and daemon.sent:
            if daemon.sent.kind is Kind.INTENT:
                return daemon.sent
        intent = view.intent
        if intent is None or view.outcome is not None or intent.epoch != view.epoch:
            return None
        if self._guards.licence_of_own_incarnation and intent.writer != writer:
            return None
        return intent if intent.writer.daemon == index else None

    def _dispatched(self, state: State, index: int, daemon: Daemon, intent: Record) -> State:
        writer = Writer(index, daemon.incarnation)
        dispatch = Dispatch(
            writer, intent.detail, state.keeper_epoch, self._bounds.dispatch_copies
        )
        return _with(state, index, daemon._replace(spent=True))._replace(
            dispatches=(*state.dispatches, dispatch)
        )

    def _tell_steps(self, state: State, index: int, daemon: Daemon, view: Ledger) -> Steps:
        for ask in daemon.asks:
            if view.outcome is not None:
                yield self._tell(state, index, daemon, ask, view.outcome)
            elif not self._guards.tell_after_read_back and daemon.decided is not None:
                yield self._tell(state, index, daemon, ask, daemon.decided)
            elif self._surely_not_run(daemon, view):
                yield self._tell(state, index, daemon, ask, Verdict.NOT_RUN)

    def _surely_not_run(self, daemon: Daemon, view: Ledger) -> bool:
        if view.intent is not None:
            return False
        if daemon.sent is None or daemon.sent.kind is not Kind.INTENT:
            return True
        superseded = view.epoch != daemon.sent.epoch
        return superseded or not self._guards.not_run_needs_certainty

    def _tell(
        self, state: State, index: int, daemon: Daemon, ask: int, verdict: Verdict
    ) -> tuple[str, State]:
        told = tuple(verdict if i == ask else t for i, t in enumerate(state.told))
        rest = daemon._replace(asks=daemon.asks - {ask})
        return f"{index} tells {ask} {verdict.name}", _with(state, index, rest)._replace(told=told)


def make_claims(
    guards: Guards = Guards(), bounds: Bounds = Bounds()
) -> Specification[State]:
    """Returns the specification, or a mutant of it if a guard is off."""
    claims = Claims(guards, bounds)

    def agrees(state: State) -> bool:
        outcome = claims.truth(state).outcome
        return all(t in (None, Verdict.NOT_RUN, outcome) for t in state.told)

    def recorded_is_true(state: State) -> bool:
        outcome = claims.truth(state).outcome
        if outcome is Verdict.RAN:
            return sum(state.effects) == 1
        return outcome is not Verdict.NOT_RUN or sum(state.effects) == 0

    def not_run_is_true(state: State) -> bool:
        pairs = zip(state.told, state.effects, strict=True)
        return all(effects == 0 for told, effects in pairs if told is Verdict.NOT_RUN)

    def told_by_both(state: State) -> bool:
        return None not in state.told and Verdict.NOT_RUN not in state.told

    return Specification(
        initial=State(),
        successors=claims.successors,
        rules={
            "at most one effect": lambda s: sum(s.effects) <= 1,
            "told not run is true": not_run_is_true,
            "told agrees with the log": agrees,
            "recorded is true": recorded_is_true,
            "one licence": lambda s: claims.truth(s).intents <= 1,
            "no epoch replaced unseen": lambda s: claims.truth(s).unseen_takeovers == 0,
        },
        sights={
            "told ran": lambda s: Verdict.RAN in s.told,
            "told may have run, and it ran": lambda s: (
                Verdict.MAY_HAVE_RUN in s.told and sum(s.effects) == 1
            ),
            "told may have run, and it did not": lambda s: (
                Verdict.MAY_HAVE_RUN in s.told and sum(s.effects) == 0
            ),
            "told not run from the log": lambda s: (
                Verdict.NOT_RUN in s.told and claims.truth(s).outcome is Verdict.NOT_RUN
            ),
            "told not run, then ran when asked again": lambda s: s.told
            == (Verdict.NOT_RUN, Verdict.RAN),
            "repeat gets the stored answer": told_by_both,
            "taken over with an intent open": lambda s: (
                (t := claims.truth(s)).intent is not None
                and t.outcome is None
                and t.epoch not in (NO_EPOCH, t.intent.epoch)
            ),
        },
    )


def _with(state: State, index: int, daemon: Daemon) -> State:
    daemons = tuple(daemon if i == index else d for i, d in enumerate(state.daemons))
    return state._replace(daemons=daemons)


def _without(flights: tuple[Record, ...], record: Record) -> tuple[Record, ...]:
    place = flights.index(record)
    return flights[:place] + flights[place + 1 :]


def _increased(effects: tuple[int, ...], ask: int) -> tuple[int, ...]:
    # Two effects are a violation already; counting on would only add states.
    return tuple(min(2, n + 1) if i == ask else n for i, n in enumerate(effects))


def _answered(state: State, writer: Writer, verdict: Verdict) -> State:
    return state._replace(answers=state.answers | {(writer, verdict)})


def _name(record: Record) -> str:
    detail = f" {Verdict(record.detail).name}" if record.kind is Kind.OUTCOME else ""
    writer = f"{record.writer.daemon}.{record.writer.incarnation}"
    return f"{record.kind.name}{detail} of {writer} at {record.epoch}"

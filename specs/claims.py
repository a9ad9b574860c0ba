"""Claims, intents and takeovers: one partition, one non-idempotent call, one keeper hop.

Two daemons share a stream. Any of them may claim the partition at any time (death is only a
suspicion), act on a view of the log that is arbitrarily old (that is what a frozen process does),
or restart with nothing. Appends are copies in flight that land late, twice, or never. The caller
asks at one daemon and may ask again at any daemon. The owner sends the licensed call through a
keeper, which may restart; dispatches arrive late, twice, or never. No rule rests on time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from specs.checking import Specification
from specs.claims_state import Bounds
from specs.claims_state import Daemon
from specs.claims_state import Dispatch
from specs.claims_state import Guards
from specs.claims_state import State
from specs.ledger import NO_EPOCH
from specs.ledger import LedgerGuards
from specs.ledger import Record
from specs.ledger import Writer
from specs.ledger import empty_stream

if TYPE_CHECKING:
    from collections.abc import Iterator

    from specs.ledger import Kind
    from specs.ledger import Ledger
    from specs.ledger import Verdict

    Steps = Iterator[tuple[str, State]]

ALL_GUARDS = Guards()
BOUNDS = Bounds()


class Claims:
    """The steps of the protocol under given guards and bounds."""

    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds
        self._mutated_ledger = guards.ledger != LedgerGuards()
        self._empty = empty_stream(guards.ledger)

    def initial(self) -> State:
        """Returns the state in which nothing has happened."""
        return State(log=self._empty, daemons=(Daemon(self._empty), Daemon(self._empty)))

    def successors(self, state: State) -> Steps:
        """Yields every step from a state, without what can no longer matter in the next one."""
        for label, successor in self._steps(state):
            yield label, self._pruned(successor)

    def _steps(self, state: State) -> Steps:
        yield from self._caller_steps(state)
        yield from self._log_steps(state)
        yield from self._keeper_steps(state)
        for index, daemon in enumerate(state.daemons):
            yield from self._life_steps(state, index, daemon)
            if self._worth_appending(state, daemon):
                yield from self._append_steps(state, index, daemon)
            yield from self._call_steps(state, index, daemon)
            yield from self._tell_steps(state, index, daemon)

    def _caller_steps(self, state: State) -> Steps:
        if state.asked == self._bounds.asks:
            return
        for index, daemon in enumerate(state.daemons):
            asking = daemon._replace(asks=daemon.asks | {state.asked})
            asked = state.with_daemon(index, asking)._replace(asked=state.asked + 1)
            yield f"ask {state.asked} at {index}", asked
            if state.asked == 0:
                return  # The daemons are alike, so who is asked first does not matter.

    def _log_steps(self, state: State) -> Steps:
        if len(state.log) == self._bounds.records:
            return
        for record in dict.fromkeys(state.flights):
            landed = state.without_flight(record)._replace(log=state.log.append(record))
            yield f"lands: {_name(record)}", landed

    def _keeper_steps(self, state: State) -> Steps:
        if state.keeper_epoch < self._bounds.keeper_restarts:
            fresh = state._replace(keeper_epoch=state.keeper_epoch + 1, keeper_seen=frozenset())
            yield "keeper restarts", fresh
        for dispatch in state.dispatches:
            if self._keeper_accepts(state, dispatch):
                yield from self._delivery_steps(state, dispatch)

    def _keeper_accepts(self, state: State, dispatch: Dispatch) -> bool:
        if self._guards.dispatch_names_keeper and dispatch.keeper_epoch != state.keeper_epoch:
            return False
        return not (self._guards.keeper_remembers and dispatch.writer in state.keeper_seen)

    def _delivery_steps(self, state: State, dispatch: Dispatch) -> Steps:
        rest = [d for d in state.dispatches if d is not dispatch]
        if dispatch.copies > 1:
            rest.append(dispatch._replace(copies=dispatch.copies - 1))
        seen = state._replace(
            dispatches=tuple(rest),
            keeper_seen=state.keeper_seen | {dispatch.writer},
        )
        ran = seen.with_effect(dispatch.ask)
        yield "keeper: ran", _answered(ran, dispatch.writer, "ran")
        yield "keeper: ran, answer lost", ran
        yield "keeper: not sent", _answered(seen, dispatch.writer, "not_run")
        yield "keeper: not sent, answer lost", seen

    def _life_steps(self, state: State, index: int, daemon: Daemon) -> Steps:
        if len(daemon.read) < len(state.log):
            yield f"{index} reads", state.with_daemon(index, _read_one(state, index, daemon))
        fresh = Daemon(self._empty, incarnation=daemon.incarnation + 1)
        if state.restarts < self._bounds.restarts:
            restarted = state.with_daemon(index, fresh)._replace(restarts=state.restarts + 1)
            yield f"{index} restarts", restarted

    def _append_steps(self, state: State, index: int, daemon: Daemon) -> Steps:
        view = daemon.read.ledger
        if daemon.sent:
            yield from self._sent_steps(state, index, daemon, daemon.sent)
        elif view.holder != Writer(index, daemon.incarnation):
            yield _append(state, index, daemon, "claim")
        elif view.outcome:
            if self._bounds.yields:
                yield _append(state, index, daemon, "yield")
        elif view.intent is None:
            for ask in daemon.asks:
                yield _append(state, index, daemon, "intent", ask=ask)
        else:
            verdict = daemon.decided
            if view.intent.epoch != view.epoch:
                verdict = "may_have_run" if self._guards.old_intent_may_have_run else "not_run"
            if verdict:
                yield _append(state, index, daemon, "outcome", verdict=verdict)

    def _sent_steps(self, state: State, index: int, daemon: Daemon, sent: Record) -> Steps:
        if daemon.copies < self._bounds.append_copies:
            again = daemon._replace(copies=daemon.copies + 1)
            yield f"{index} sends again", state.with_daemon(index, again).with_flight(sent)
        # A refusal is a definite answer about one copy only.
        certain = daemon.copies == 1 or not self._guards.retry_blurs_refusal
        if certain and sent in state.flights:
            refused = daemon._replace(sent=None, copies=0)
            yield f"{index} refused", state.with_daemon(index, refused).without_flight(sent)

    def _call_steps(self, state: State, index: int, daemon: Daemon) -> Steps:
        intent = self._licence(index, daemon)
        if intent and not (daemon.spent and self._guards.licence_once):
            yield f"{index} dispatches", self._dispatched(state, index, daemon, intent)
        if intent and not daemon.spent:
            spent = self._guards.surrender_ends_licence
            given_up = daemon._replace(decided="not_run", spent=spent)
            yield f"{index} gives up unsent", state.with_daemon(index, given_up)
        if daemon.spent and daemon.decided is None:
            verdict: Verdict = "may_have_run" if self._guards.silence_may_have_run else "not_run"
            silent = daemon._replace(decided=verdict)
            yield f"{index} hears nothing", state.with_daemon(index, silent)

    def _licence(self, index: int, daemon: Daemon) -> Record | None:
        if daemon.sent and daemon.sent.kind == "intent":
            return None if self._guards.licence_after_read_back else daemon.sent
        view = daemon.read.ledger
        if view.intent is None or view.outcome or view.intent.writer.daemon != index:
            return None
        own = view.intent.writer.incarnation == daemon.incarnation
        if not own and self._guards.licence_of_own_incarnation:
            return None
        return view.intent if view.intent.epoch == view.epoch else None

    def _dispatched(self, state: State, index: int, daemon: Daemon, intent: Record) -> State:
        writer = Writer(index, daemon.incarnation)
        copies = self._bounds.dispatch_copies
        dispatch = Dispatch(writer, intent.ask, state.keeper_epoch, copies)
        sent = state.with_daemon(index, daemon._replace(spent=True))
        return sent._replace(dispatches=(*(d for d in state.dispatches if d != dispatch), dispatch))

    def _tell_steps(self, state: State, index: int, daemon: Daemon) -> Steps:
        view = daemon.read.ledger
        for ask in daemon.asks:
            if view.outcome:
                yield _tell(state, index, daemon, ask, view.outcome)
            elif not self._guards.tell_after_read_back and daemon.decided:
                yield _tell(state, index, daemon, ask, daemon.decided)
            elif self._surely_not_run(daemon, view):
                yield _tell(state, index, daemon, ask, "not_run")

    def _surely_not_run(self, daemon: Daemon, view: Ledger) -> bool:
        if view.intent is not None:
            return False
        if daemon.sent is None or daemon.sent.kind != "intent":
            return True
        superseded = view.epoch != daemon.sent.epoch
        return superseded or not self._guards.not_run_needs_certainty

    def _worth_appending(self, state: State, daemon: Daemon) -> bool:
        # An epoch never comes back (but for `NO_EPOCH` after a yield), so a record under an epoch
        # that is over can never count. A daemon that writes one is like a daemon that waits.
        if self._mutated_ledger or self._bounds.yields:
            return True
        return daemon.read.ledger.epoch == state.log.ledger.epoch

    def _pruned(self, state: State) -> State:
        if not (self._mutated_ledger or self._bounds.yields):
            flights = [f for f in state.flights if _may_count(state, f)]
            if len(flights) != len(state.flights):
                state = state._replace(flights=tuple(flights))
        if (
            state.dispatches
            and self._guards.dispatch_names_keeper
            and self._guards.keeper_remembers
        ):
            accepted = tuple(d for d in state.dispatches if self._keeper_accepts(state, d))
            state = state._replace(dispatches=accepted)
        return state


def make_claims(guards: Guards = ALL_GUARDS, bounds: Bounds = BOUNDS) -> Specification[State]:
    """Returns the specification, or a mutant of it if a guard is off."""
    claims = Claims(guards, bounds)
    return Specification(
        initial=claims.initial(),
        successors=claims.successors,
        rules={
            "at most one effect": lambda s: sum(s.effects) <= 1,
            "told not run is true": _told_not_run_is_true,
            "told agrees with the log": _told_agrees_with_the_log,
            "recorded is true": _recorded_is_true,
            "one licence": lambda s: s.log.ledger.intents <= 1,
            "no epoch replaced unseen": lambda s: s.log.ledger.unseen_takeovers == 0,
        },
        sights={
            "told ran": lambda s: "ran" in s.told,
            "told may have run, and it ran": lambda s: (
                "may_have_run" in s.told and sum(s.effects) == 1
            ),
            "told may have run, and it did not": lambda s: (
                "may_have_run" in s.told and sum(s.effects) == 0
            ),
            "told not run from the log": lambda s: (
                "not_run" in s.told and s.log.ledger.outcome == "not_run"
            ),
            "taken over with an intent open": _taken_over_with_an_intent_open,
        },
    )


def _told_not_run_is_true(state: State) -> bool:
    pairs = zip(state.told, state.effects, strict=True)
    return all(effects == 0 for told, effects in pairs if told == "not_run")


def _told_agrees_with_the_log(state: State) -> bool:
    return all(told in (None, "not_run", state.log.ledger.outcome) for told in state.told)


def _recorded_is_true(state: State) -> bool:
    outcome = state.log.ledger.outcome
    if outcome == "ran":
        return sum(state.effects) == 1
    return outcome != "not_run" or sum(state.effects) == 0


def _taken_over_with_an_intent_open(state: State) -> bool:
    ledger = state.log.ledger
    if ledger.intent is None or ledger.outcome:
        return False
    return ledger.epoch not in (NO_EPOCH, ledger.intent.epoch)


def _read_one(state: State, index: int, daemon: Daemon) -> Daemon:
    daemon = daemon._replace(read=state.log.prefix(len(daemon.read) + 1))
    if daemon.sent is None:
        return daemon
    ledger = daemon.read.ledger
    expected = ledger.expected(Writer(index, daemon.incarnation))
    if expected is not None and expected > daemon.sent.sequence:
        return daemon._replace(sent=None, copies=0, sequence=daemon.sequence + 1)
    if ledger.epoch != daemon.sent.epoch:
        # Void wherever it lands. That its copy may still use up the sequence number only delays
        # the writer's next group.
        return daemon._replace(sent=None, copies=0)
    return daemon


def _append(
    state: State,
    index: int,
    daemon: Daemon,
    kind: Kind,
    *,
    ask: int = -1,
    verdict: Verdict | None = None,
) -> tuple[str, State]:
    writer = Writer(index, daemon.incarnation)
    epoch = daemon.read.ledger.epoch
    record = Record(writer, daemon.sequence, kind, epoch, ask, verdict or "")
    sending = daemon._replace(sent=record, copies=1)
    return f"sends: {_name(record)}", state.with_daemon(index, sending).with_flight(record)


def _tell(
    state: State, index: int, daemon: Daemon, ask: int, verdict: Verdict
) -> tuple[str, State]:
    told = tuple(verdict if i == ask else t for i, t in enumerate(state.told))
    rest = daemon._replace(asks=daemon.asks - {ask})
    return f"{index} tells {ask}: {verdict}", state.with_daemon(index, rest)._replace(told=told)


def _answered(state: State, writer: Writer, verdict: Verdict) -> State:
    # An answer under way is like an owner that is slow to act on it, so it arrives at once.
    owner = state.daemons[writer.daemon]
    if owner.incarnation != writer.incarnation or owner.decided is not None:
        return state
    return state.with_daemon(writer.daemon, owner._replace(decided=verdict))


def _may_count(state: State, record: Record) -> bool:
    ledger = state.log.ledger
    expected = ledger.expected(record.writer)
    in_line = expected is not None and expected <= record.sequence
    return in_line and record.epoch == ledger.epoch


def _name(record: Record) -> str:
    writer = f"{record.writer.daemon}.{record.writer.incarnation}"
    return f"{record.kind} {record.verdict} by {writer} at {record.epoch}"

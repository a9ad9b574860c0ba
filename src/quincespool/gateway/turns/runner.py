"""Admits turns at the owner of their program's partition, and runs them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.clock import now_ms
from quincespool.gateway.clock import wall_ms
from quincespool.gateway.model import MEMORY_SHORT
from quincespool.gateway.model import not_run
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.turns.ledger import Admission
from quincespool.gateway.turns.records import split_history
from quincespool.gateway.turns.settlement import LostPartitionError
from quincespool.gateway.turns.turn_records import STORE_UNREACHABLE
from quincespool.gateway.turns.turn_records import RecordContext
from quincespool.gateway.turns.turn_records import TurnFailedError
from quincespool.gateway.turns.turn_run import TurnContext
from quincespool.gateway.turns.turn_run import TurnRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.backends.attempt import AttemptContext
    from quincespool.gateway.callers.reply import Reply
    from quincespool.gateway.model import BackendIncarnation
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.model import Turn
    from quincespool.gateway.model import TurnParameters
    from quincespool.gateway.turns.admission import ProgramAdmission
    from quincespool.gateway.turns.finder import TurnFinder
    from quincespool.gateway.turns.history_memory import HistoryMemory
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.gateway.turns.turn_records import SettleAtOwner

# While the store does not answer, no record of a turn can be made durable. Callers have few
# retries; at intervals of a third of their usual four seconds, the retries outlast an outage of
# about four seconds.
STALLED_RETRY_MS = 1_300
# The new owner of a partition has read its log within some tens of milliseconds.
OWNER_CHANGED_RETRY_MS = 100
# While the store is unreachable, a call with more than this share of the route's time limit left is
# refused once, to be retried later. A call with less time left has already waited: its turn runs,
# and the end of the turn is recorded if the store is reachable again in time.
RETRY_LATER_SHARE = 0.8
PARTITION_STALLED = "partition_stalled"
UNAVAILABLE_STATUS = 503
NO_SUCH_TURN_STATUS = 404
# Histories leave the memory as their retention ends, or when other daemons take partitions over.
MEMORY_RETRY_MS = 1_000
_MEMORY_REFUSAL = not_run(MEMORY_SHORT, retry_after_ms=MEMORY_RETRY_MS)


class TurnRunner:
    """Runs turns of programs in partitions that this daemon owns."""

    def __init__(
        self,
        context: AttemptContext,
        *,
        settle_at_owner: SettleAtOwner,
        finder: TurnFinder,
        store_reachable: Callable[[], bool],
        admission: ProgramAdmission,
        histories: HistoryMemory,
    ) -> None:
        self._histories = histories
        self._context = context
        self._finder = finder
        self._admission = admission
        self._store_reachable = store_reachable
        self._settlement_tasks: set[asyncio.Task[None]] = set()
        self._turn_context = TurnContext(
            context,
            RecordContext(settle_at_owner, store_reachable, self._settlement_tasks),
            admission,
            histories,
        )
        self._last_engine: dict[str, BackendIncarnation] = {}

    @property
    def unsettled_turns(self) -> int:
        """The number of failed turns whose records the partition's owner may not have yet."""
        return len(self._settlement_tasks)

    async def run(
        self,
        call: Call,
        parameters: TurnParameters,
        owned: OwnedPartition,
        reply: Reply,
        *,
        until_ms: int,
    ) -> None:
        """Answers one turn.

        Args:
          call: The call; its `turn` is set.
          parameters: The service that runs the turn, its time limits and its other parameters.
          owned: The partition of its program.
          reply: Receives the answer or the refusal.
          until_ms: Monotonic clock (ms) at which the time limit of the caller or the route is over.
        """
        turn = call.turn
        assert turn is not None
        left_ms = until_ms - now_ms()
        can_retry_later = left_ms > RETRY_LATER_SHARE * parameters.timeout_ms
        if not parameters.keeps_history:
            # Only turns with a history continue others.
            turn = turn._replace(previous_id="")
        refusal = self._admit(call, turn, owned, can_retry_later=can_retry_later)
        if refusal is not None and refusal.status == NO_SUCH_TURN_STATUS:
            refusal = await self._import_history(call, turn, parameters, owned)
        elif refusal is not None:
            refusal = await _confirm_refusal(refusal, owned)
        if refusal is None and not self._has_room_for(call, parameters, owned):
            refusal = _MEMORY_REFUSAL
        if refusal is None:
            refusal = self._admission.refuse(call, parameters, owned.ledger)
        if refusal is not None:
            reply.refuse(refusal)
            return
        run = TurnRun(
            self._turn_context,
            call,
            parameters,
            owned,
            reply=reply,
            until_ms=until_ms,
            engine=self._last_engine.get(turn.program_id),
        )
        try:
            with owned.turn_in_progress():
                async with asyncio.timeout(max(0, until_ms - now_ms()) / 1000):
                    await run.answer()
        except TimeoutError:
            reply.refuse(run.timeout_refusal())
        except TurnFailedError as error:
            reply.refuse(error.refusal)
        finally:
            self._remember_engine(turn.program_id, run.engine)
            run.close()

    def evict_programs(self, max_programs: int = 4_096) -> None:
        """Limits for how many programs the last engine is stored; updates the admission estimates.

        Args:
          max_programs: Maximum number of programs whose last engine is stored; those of the least
            recently active programs are removed.
        """
        for program_id in list(self._last_engine)[:-max_programs]:
            del self._last_engine[program_id]
        self._admission.update_estimates()

    async def _import_history(
        self, call: Call, turn: Turn, parameters: TurnParameters, owned: OwnedPartition
    ) -> Refusal | None:
        """Copies the history of another program's turn to the partition of the calling program.

        The calling program can then continue that turn.

        Returns:
          The refusal if the turn can't be continued, None if it can.
        """
        found = await self._finder.find(turn.previous_id, parameters.account)
        if found is None:
            return not_run("turn_not_found_yet", retry_after_ms=STALLED_RETRY_MS)
        self._context.log.write(
            "turn looked for",
            call_id=call.call_id,
            program_id=turn.program_id,
            previous_id=turn.previous_id,
            found=found.history is not None,
        )
        if found.history is None:
            return not_run("no_such_turn", status=NO_SUCH_TURN_STATUS)
        if not self._histories.has_room(len(found.history), is_new_program=False):
            return _MEMORY_REFUSAL
        parts = split_history(
            turn.previous_id,
            turn.program_id,
            found.history,
            retention_ms=max(found.retention_ms, parameters.retention_ms),
            at_ms=wall_ms(),
        )
        for part in parts:
            owned.submit(part)
        refusal = self._admit(call, turn, owned, can_retry_later=False)
        return None if refusal is None else await _confirm_refusal(refusal, owned)

    def _has_room_for(self, call: Call, parameters: TurnParameters, owned: OwnedPartition) -> bool:
        added_bytes = len(call.body) if parameters.keeps_history else 0
        is_new_program = call.program_id not in owned.ledger.programs
        return self._histories.has_room(added_bytes, is_new_program=is_new_program)

    def _remember_engine(self, program_id: str, engine: BackendIncarnation | None) -> None:
        if engine is not None:
            self._last_engine.pop(program_id, None)
            self._last_engine[program_id] = engine

    def _admit(
        self, call: Call, turn: Turn, owned: OwnedPartition, *, can_retry_later: bool
    ) -> Refusal | None:
        is_reachable = self._store_reachable()
        may_begin = owned.unrecorded.may_start_turn(turn.program_id, turn.max_tokens)
        if (owned.stalled or not is_reachable) and (can_retry_later or not may_begin):
            # The reason lets a daemon that can reach the store tell two cases apart: this daemon
            # can't reach the store, so it loses the partition soon, or only its appends are not
            # acknowledged.
            reason = PARTITION_STALLED if is_reachable else STORE_UNREACHABLE
            return not_run(reason, retry_after_ms=STALLED_RETRY_MS)
        admission = owned.ledger.admit(
            program_id=turn.program_id,
            previous_id=turn.previous_id,
            budget_tokens=turn.budget_tokens,
            max_tokens=turn.max_tokens,
        )
        if admission is Admission.ADMITTED:
            return None
        program = owned.ledger.programs.get(turn.program_id)
        self._context.log.write(
            "turn not admitted",
            call_id=call.call_id,
            program_id=turn.program_id,
            admission=admission.value,
            previous_id=turn.previous_id,
            budget_tokens=turn.budget_tokens,
            most_tokens=turn.max_tokens,
            spent_tokens=program.spent_tokens if program is not None else 0,
            reserved_tokens=sum(program.reserved.values()) if program is not None else 0,
            epoch=owned.epoch,
        )
        if admission is Admission.OVER_BUDGET:
            return not_run("over_budget", status=402)
        return not_run("no_such_turn", status=NO_SUCH_TURN_STATUS)


async def _confirm_refusal(refusal: Refusal, owned: OwnedPartition) -> Refusal:
    """Returns the refusal if it is valid, else one that lets the caller retry.

    A new owner may have the turn, or more unspent budget. A refusal for a missing turn or a spent
    budget ends the program, so it is returned only after the store has confirmed the owner.
    """
    if refusal.status == UNAVAILABLE_STATUS:
        return refusal
    try:
        await owned.confirm()
    except LostPartitionError:
        return not_run("owner_changed", retry_after_ms=OWNER_CHANGED_RETRY_MS)
    except StoreError:
        return not_run(STORE_UNREACHABLE, retry_after_ms=STALLED_RETRY_MS)
    return refusal

"""Admits turns at the owner of their program, and has them run."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.clock import now_ms
from quincespool.gateway.clock import wall_ms
from quincespool.gateway.model import not_run
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.turns.ledger import Admission
from quincespool.gateway.turns.ledger import split_history
from quincespool.gateway.turns.settlement import LostPartitionError
from quincespool.gateway.turns.turn_records import STORE_AWAY
from quincespool.gateway.turns.turn_records import BrokenTurnError
from quincespool.gateway.turns.turn_records import RecordServices
from quincespool.gateway.turns.turn_run import TurnRun
from quincespool.gateway.turns.turn_run import TurnServices

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.backends.attempt import Services
    from quincespool.gateway.callers.reply import Reply
    from quincespool.gateway.model import BackendIncarnation
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.model import Turn
    from quincespool.gateway.model import TurnParameters
    from quincespool.gateway.turns.admission import ProgramAdmission
    from quincespool.gateway.turns.finder import TurnFinder
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.gateway.turns.turn_records import SettleElsewhere

# While the store does not answer, nothing that a turn produces can be kept. Callers have few
# retries; spread over a third of the usual four seconds they outlast an outage of about four.
STALLED_RETRY_MS = 1_300
# The new owner of a partition has read it within some tens of milliseconds.
OWNER_CHANGED_RETRY_MS = 100
# A caller that has more than this part of the route's time left is sent away to come back once; one
# that has waited already has its turn run, and its end kept if the store is back in time.
PATIENT_SHARE = 0.8
PARTITION_STALLED = "partition_stalled"
REFUSED_STATUS = 503
NO_SUCH_TURN_STATUS = 404


class TurnRunner:
    """Runs turns of programs in partitions that this daemon owns."""

    def __init__(
        self,
        services: Services,
        *,
        settle_elsewhere: SettleElsewhere,
        finder: TurnFinder,
        store_reachable: Callable[[], bool],
        admission: ProgramAdmission,
    ) -> None:
        self._services = services
        self._finder = finder
        self._admission = admission
        self._store_reachable = store_reachable
        self._settling: set[asyncio.Task[None]] = set()
        self._run_services = TurnServices(
            services, RecordServices(settle_elsewhere, store_reachable, self._settling), admission
        )
        self._last_engine: dict[str, BackendIncarnation] = {}

    @property
    def settling(self) -> int:
        """Turns that broke off and of which the present owner is still to be told."""
        return len(self._settling)

    async def run(
        self,
        call: Call,
        terms: TurnParameters,
        owned: OwnedPartition,
        reply: Reply,
        *,
        until_ms: int,
    ) -> None:
        """Answers one turn.

        Args:
          call: With `turn` set.
          terms: Where it goes, and how long it may take.
          owned: The partition of its program.
          reply: Takes the answer.
          until_ms: Steady clock at which the caller or the route has waited long enough.
        """
        turn = call.turn
        assert turn is not None
        left_ms = until_ms - now_ms()
        is_patient = left_ms > PATIENT_SHARE * terms.timeout_ms
        refusal = self._admit(call, turn, owned, is_patient=is_patient)
        if refusal is not None and refusal.status == NO_SUCH_TURN_STATUS:
            refusal = await self._import(call, turn, terms, owned)
        elif refusal is not None:
            refusal = await _confirmed(refusal, owned)
        if refusal is None:
            refusal = self._admission.refuse(call, terms, owned.ledger)
        if refusal is not None:
            reply.refuse(refusal)
            return
        run = TurnRun(
            self._run_services,
            call,
            terms,
            owned,
            reply=reply,
            until_ms=until_ms,
            engine=self._last_engine.get(turn.program_id),
        )
        try:
            with owned.turn_under_way():
                async with asyncio.timeout(max(0, until_ms - now_ms()) / 1000):
                    await run.answer()
        except TimeoutError:
            reply.refuse(run.timeout_refusal())
        except BrokenTurnError as error:
            reply.refuse(error.refusal)
        finally:
            self._remember(turn.program_id, run.engine)
            run.close()

    def forget_programs(self, keep: int = 4_096) -> None:
        """Bounds what is remembered of programs, the oldest first, and learns from them."""
        for program_id in list(self._last_engine)[:-keep]:
            del self._last_engine[program_id]
        self._admission.learn()

    async def _import(
        self, call: Call, turn: Turn, terms: TurnParameters, owned: OwnedPartition
    ) -> Refusal | None:
        """Brings the history of another program's turn here, so that this program can go on."""
        found = await self._finder.find(turn.previous_id, terms.account)
        if found is None:
            return not_run("turn_not_found_yet", retry_after_ms=STALLED_RETRY_MS)
        self._services.log.write(
            "turn looked for",
            call_id=call.call_id,
            program_id=turn.program_id,
            previous_id=turn.previous_id,
            found=found.history is not None,
        )
        if found.history is None:
            return not_run("no_such_turn", status=NO_SUCH_TURN_STATUS)
        parts = split_history(
            turn.previous_id,
            turn.program_id,
            found.history,
            retention_ms=max(found.retention_ms, terms.retention_ms),
            at_ms=wall_ms(),
        )
        for part in parts:
            owned.submit(part)
        refusal = self._admit(call, turn, owned, is_patient=False)
        return None if refusal is None else await _confirmed(refusal, owned)

    def _remember(self, program_id: str, engine: BackendIncarnation | None) -> None:
        if engine is not None:
            self._last_engine.pop(program_id, None)
            self._last_engine[program_id] = engine

    def _admit(
        self, call: Call, turn: Turn, owned: OwnedPartition, *, is_patient: bool
    ) -> Refusal | None:
        reachable = self._store_reachable()
        may_begin = owned.uncertain.may_begin(turn.program_id, turn.max_tokens)
        if (owned.stalled or not reachable) and (is_patient or not may_begin):
            # Another daemon, which the store may serve, is told apart whether this one is turned
            # away, and loses the partition soon, or only its appends are not answered.
            reason = PARTITION_STALLED if reachable else STORE_AWAY
            return not_run(reason, retry_after_ms=STALLED_RETRY_MS)
        admission = owned.ledger.admit(
            program_id=turn.program_id,
            previous_id=turn.previous_id,
            budget_tokens=turn.budget_tokens,
            most_tokens=turn.max_tokens,
        )
        if admission is Admission.FINE:
            return None
        program = owned.ledger.programs.get(turn.program_id)
        self._services.log.write(
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


async def _confirmed(refusal: Refusal, owned: OwnedPartition) -> Refusal:
    """Returns a refusal that is true whoever owns the partition now.

    That a turn does not exist, or that a budget is spent, may have changed at a new owner; such an
    answer ends the program, so it is given only after the store has confirmed the owner.
    """
    if refusal.status == REFUSED_STATUS:
        return refusal
    try:
        await owned.confirm()
    except LostPartitionError:
        return not_run("owner_changed", retry_after_ms=OWNER_CHANGED_RETRY_MS)
    except StoreError:
        return not_run(STORE_AWAY, retry_after_ms=STALLED_RETRY_MS)
    return refusal

"""The calls of a program keep their order at its keeper (`specs/order.py` found them swapped)."""

from __future__ import annotations

import pytest

from quincespool.core import messages as ms
from tests.core.keeper import keeper_bench as kb
from tests.core.keeper.keeper_bench import Bench


@pytest.fixture
def bench() -> Bench:
    return Bench()


def licensed(call_number: int) -> ms.Dispatch:
    return kb.dispatch(
        f"call-{call_number}",
        backend="s",
        program_id="p",
        call_number=call_number,
        non_idempotent=True,
    )


def test_waiting_call_does_not_run_after_its_successor(bench: Bench) -> None:
    """Symptom: a program's second order takes effect before its first.

    Events: both slots are taken, so call 1 waits; the owner's link breaks on the owner's side only,
    it records that call 1 may have run and sends call 2. Cause: the keeper went by epoch and
    priority alone, and both calls are of one epoch.
    """
    for number in range(2):
        bench.tell("o1", kb.dispatch(f"busy-{number}", backend="s"))
    bench.tell("o1", licensed(1))
    effects = bench.tell("o1", licensed(2))
    assert kb.ends(effects) == [("call-1", "not_run", "no_owner")]
    assert kb.started(bench.answer(1, 200)) == ["call-2"]
    assert kb.ends(bench.tell("o1", licensed(1)._replace(attempt_id="late"))) == [
        ("late", "not_run", "no_owner")
    ]


def test_call_waits_for_its_open_predecessor(bench: Bench) -> None:
    """Symptom: a program's second order takes effect while its first is still on its way.

    Events: call 1 is sent; the owner gives it up as "may have run" and sends call 2 through a free
    slot. Cause: slots say nothing of whose call is still open.
    """
    assert kb.started(bench.tell("o1", licensed(1))) == ["call-1"]
    assert kb.started(bench.tell("o1", licensed(2))) == []
    assert kb.started(bench.answer(1, 200)) == ["call-2"]


def test_attempt_for_the_process_before_is_not_sent(bench: Bench) -> None:
    """Symptom: a program's order takes effect out of turn after its keeper restarted.

    Events: an owner that has not heard of the restart sends to the new process. Cause: the new one
    knows nothing of the attempts and the order of the old one.
    """
    effects = bench.tell("o1", licensed(1)._replace(keeper_incarnation=7))
    assert kb.started(effects) == []
    assert kb.told(effects, ms.KeeperElsewhere) == [ms.KeeperElsewhere("call-1", "s", "")]

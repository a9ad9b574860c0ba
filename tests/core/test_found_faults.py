"""Faults that reading, trials and the fuzzer found, each brought about on purpose."""

from __future__ import annotations

import json

import pytest

from quincespool.verdict import Verdict
from tests.core.samples import abay_catalogue
from tests.core.samples import model_call
from tests.core.samples import reorder_call
from tests.core.world import World


@pytest.fixture
def world() -> World:
    settled = World(members=3, seed=4, catalogue=abay_catalogue())
    settled.run(6_000)
    return settled


def owner_of(world: World, program_id: str) -> str:
    for name, daemon in world.daemons.items():
        ledger = daemon.state.ledger
        if ledger.epoch_held(ledger.partition(program_id)) is not None:
            return name
    raise AssertionError("nobody holds the partition")


def test_restarted_front_door_gives_nobody_another_programs_answer(world: World) -> None:
    """Symptom: a caller gets the answer to another program's order.

    Events: a front door dies with a call under way and starts again; a new caller's request takes
    the number that the dead process had given; the owner answers the old one. Cause: tickets that
    began at 1 in every process.
    """
    first, second = [f"x{n}" for n in range(50) if owner_of(world, f"x{n}") == "d1"][:2]
    world.service_delay_ms = 400
    world.call("d0", reorder_call(first, 1))
    world.run(100)
    world.kill("d0")
    world.start("d0")
    told = world.answer(world.call("d0", reorder_call(second, 1)))
    assert told is not None
    assert json.loads(told.body) == {"program": second, "call": 1}


def test_ended_program_says_nothing_of_failed_attempts(world: World) -> None:
    """Symptom: "not run" of a model call that ran until its engine crashed.

    Events: both engines crash with the call, the caller is told that it may have run, ends the
    program and sends the call again. Cause: the mark of the failed attempt went with the program.
    """
    assert world.answer(world.call("d0", model_call("p", 1))) is not None
    world.crash_on = b"poison"
    poisoned = model_call("p", 2, text="poison")
    told = world.answer(world.call("d0", poisoned))
    assert told is not None
    assert told.verdict == Verdict.MAY_HAVE_RUN
    assert world.answer(world.end("d0", "p")) is not None
    again = world.answer(world.call("d1", poisoned))
    assert again is not None
    assert (again.reason, again.verdict) == ("program_ended", Verdict.MAY_HAVE_RUN)


def test_call_during_the_end_does_not_run(world: World) -> None:
    """Symptom: a call is told "not run" although the engine worked on it.

    Events: a program's end is on its way to the log when its next call comes; it is dispatched, and
    refused when the end is read back. Cause: only callers of the end were looked at, not the end.
    """
    assert world.answer(world.call("d0", model_call("p", 1))) is not None
    owner = owner_of(world, "p")
    served = world.served_tokens["p"]
    ending = world.end(owner, "p")
    late = world.answer(world.call(owner, model_call("p", 2)))
    assert late is not None
    assert late.reason == "program_ended"
    assert world.answer(ending) is not None
    assert world.served_tokens["p"] == served


def test_intent_read_back_too_late_does_not_block_its_program(world: World) -> None:
    """Symptom: a program stands still for good, each repeat is refused as a gap.

    Events: the log is out while an intent is written; it is read back when the daemon can't tell
    whether it still holds the partition. Cause: the unused intent was dropped, not given back.
    """
    assert world.answer(world.call("d0", reorder_call("p", 1))) is not None
    owner = owner_of(world, "p")
    late = world.call(owner, reorder_call("p", 2))
    world.log.out = True
    world.log.hides_end = True
    world.run(1_700)
    world.log.out = False
    told = world.answer(late)
    assert told is not None
    assert told.verdict != Verdict.RAN
    world.log.hides_end = False
    world.run(1_000)
    again = world.answer(world.call("d1", reorder_call("p", 2)))
    assert again is not None
    assert again.verdict == Verdict.RAN
    assert [effect.call_number for effect in world.effects] == [1, 2]


def test_daemons_that_reach_only_the_log_do_not_storm_it(world: World) -> None:
    """Symptom: the log fills with claims and every call is cut by a change of owner.

    Events: daemons reach the log but not one another, and believe each other dead. Cause: a
    resource was claimed back as soon as somebody else had claimed it.
    """
    before = world.log.appends
    for member in world.daemons:
        world.set_cut(member, True, log_too=False)
    world.run(60_000)
    claims = [
        entry
        for records in world.log.streams.values()
        for body in records
        for group in json.loads(body).get("groups", [])
        for entry in group["entries"]
        if entry["kind"] == "claim"
    ]
    assert len(claims) < 250
    assert world.log.appends - before < 400


def test_suspect_crashes_two_backend_servers_at_the_most(world: World) -> None:
    """Symptom: one request takes down engine after engine.

    Events: a request crashes each engine that runs it, and its caller sends it again, under other
    programs and through other daemons. Cause: it is known by its content only.
    """
    world.crash_on = b"poison"
    doors = ["d0", "d1", "d2"]
    for number in range(6):
        call = model_call(f"q{number}", 1, text="poison")
        told = world.answer(world.call(doors[number % 3], call))
        assert told is not None
        assert told.verdict != Verdict.RAN
        world.run(1_500)
    assert len(world.crashes) <= 2

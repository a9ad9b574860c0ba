"""The whole reducer, driven by events alone: no clock, socket or randomness of its own."""

from __future__ import annotations

import json
from typing import Any

import pytest

from quincespool.verdict import Verdict
from tests.core.samples import abay_catalogue
from tests.core.samples import model_call
from tests.core.samples import reorder_call
from tests.core.world import World


@pytest.fixture
def world() -> World:
    settled = World(members=3, seed=1, catalogue=abay_catalogue())
    settled.run(6_000)
    return settled


def test_a_whole_program_runs_in_order(world: World) -> None:
    first = world.answer(world.call("d0", model_call("p1", 1)))
    assert first is not None
    assert first.status == 200, first
    assert json.loads(first.body)["choices"][0]["message"]["content"] == "p1#1 done"
    child = world.answer(world.call("d1", model_call("p1/sub", 1)))
    assert child is not None
    assert child.status == 200, child
    second = world.answer(world.call("d2", reorder_call("p1", 2)))
    assert second is not None
    assert (second.status, second.verdict) == (200, Verdict.RAN)
    ended = world.answer(world.end("d0", "p1"))
    assert ended is not None
    assert ended.status == 200
    assert [(e.program_id, e.call_number) for e in world.effects] == [("p1", 2)]


def test_every_daemon_holds_its_share(world: World) -> None:
    held = [set(d.state.ledger.held()) for d in world.daemons.values()]
    union = set.union(*held)
    assert len(union) == sum(len(part) for part in held) == 4 + 4
    assert all(d.state.ready for d in world.daemons.values())


def test_audit_tells_recorded_outcomes_from_made_up_ones(world: World) -> None:
    told = world.answer(world.call("d0", reorder_call("p1", 1)))
    assert told is not None
    found = _audit(world, told.outcome_id)
    assert found["recorded"] is True
    assert found["entry"] == {
        "name": "class/stock",
        "version": 0,
        "owner": "buyers",
        "editor": "test",
    }
    assert [step["step"] for step in found["steps"]] == ["opened", "intent", "outcome"]
    made_up = _audit(world, told.outcome_id.replace("~1~", "~9~"))
    assert made_up["recorded"] is False


def test_refusals_lead_to_their_entry_too(world: World) -> None:
    refused = world.answer(world.call("d1", model_call("p2", 1, target="other-model")))
    assert refused is not None
    assert (refused.reason, refused.verdict) == ("not_allowed", Verdict.NOT_RUN)
    assert _audit(world, refused.outcome_id)["entry"]["owner"] == "buyers"


def _audit(world: World, outcome_id: str) -> dict[str, Any]:
    answer = world.answer(world.audit("d2", outcome_id))
    assert answer is not None
    found: dict[str, Any] = json.loads(answer.body)
    return found


def test_request_that_no_entry_had_a_part_in_audits_too(world: World) -> None:
    found = _audit(world, "@-1~malformed~0~-")
    assert (found["reason"], found["recorded"]) == ("malformed", False)
    assert found["entry"]["owner"] == ""

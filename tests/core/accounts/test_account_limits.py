"""Client-account limits in whole daemons: the reducers, the log and backend servers that count."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from quincespool.core.events import MessageReceived
from quincespool.core.messages import DispatchDone
from quincespool.core.placement import partition_of
from quincespool.core.reasons import Reason
from quincespool.verdict import Verdict
from tests.core.agents import Agent
from tests.core.samples import abay_catalogue
from tests.core.samples import model_call
from tests.core.samples import reorder_call
from tests.core.world import World

if TYPE_CHECKING:
    from collections.abc import Callable

LIMIT = 2
AGENTS = 8


@pytest.fixture
def world() -> World:
    catalogue = abay_catalogue()
    catalogue["account/abay"]["concurrent_calls"] = LIMIT
    settled = World(members=3, seed=5, catalogue=catalogue)
    settled.run(6_000)
    settled.service_delay_ms = 400
    return settled


@pytest.fixture
def agents(world: World) -> list[Agent]:
    made = [Agent(world, f"a{number}") for number in range(AGENTS)]
    for agent in made:
        agent.look()
    return made


def home_of(world: World) -> str:
    resource = partition_of("account:abay", 4)
    daemons = world.daemons.items()
    return next(n for n, d in daemons if d.state.ledger.epoch_held(resource) is not None)


def finished(agents: list[Agent]) -> int:
    return sum(agent.finished_calls for agent in agents)


def test_the_limit_is_reached_and_never_passed(world: World, agents: list[Agent]) -> None:
    world.run(30_000)
    assert world.most_in_progress == LIMIT
    assert all(agent.finished_calls for agent in agents)


@pytest.mark.parametrize("at", ["home", "other"])
@pytest.mark.parametrize("fault", ["kill", "freeze", "cut"])
def test_the_limit_holds_across_a_fault(
    world: World, agents: list[Agent], fault: str, at: str
) -> None:
    """Symptom: more calls of an account run at backend servers than its entry allows.

    A daemon with calls under way dies, freezes or is cut off, and comes back: what it has sent runs
    on, its callers send again elsewhere, and the account's home may have to be another daemon.
    """
    world.run(3_000)
    world.service_delay_ms = 3_000
    home = home_of(world)
    member = home if at == "home" else next(name for name in world.daemons if name != home)
    strike: dict[str, Callable[[], None]] = {
        "kill": lambda: world.kill(member),
        "freeze": lambda: world.freeze(member),
        "cut": lambda: world.set_cut(member, True),
    }
    heal: dict[str, Callable[[], None]] = {
        "kill": lambda: world.start(member),
        "freeze": lambda: world.thaw(member),
        "cut": lambda: world.set_cut(member, False),
    }
    for for_ms in (900, 12_000):
        world.run(2_500)
        strike[fault]()
        world.run(for_ms)
        heal[fault]()
        world.run(10_000)
    before = finished(agents)
    world.run(90_000)
    assert world.most_in_progress == LIMIT
    assert finished(agents) > before + AGENTS


def test_a_call_given_up_while_it_runs_keeps_its_permit(world: World) -> None:
    """Symptom: an account passes its limit by one with each keeper that is cut off.

    The owner gives the call up when its keeper can't be reached; the backend server goes on.
    """
    world.engine_hangs = {"127.0.0.1:4000", "127.0.0.1:4001"}
    for number in range(12):
        world.call(f"d{number % 3}", model_call(f"p{number}", 1, first_send=True))
        world.run(100)
    keeper = next(n for n, d in world.daemons.items() if d.state.keeper.busy())
    world.set_cut(keeper, True)
    for number in range(12, 24):
        world.run(600)
        door = next(name for name in world.daemons if name != keeper)
        world.call(door, model_call(f"p{number}", 1, first_send=True))
    assert world.most_in_progress == LIMIT


@pytest.mark.parametrize("reason", [Reason.NO_OWNER, Reason.BACKEND_FAILED])
def test_a_keeper_that_started_anew_says_nothing_of_what_ran_before(
    world: World, reason: Reason
) -> None:
    """Symptom: an account passes its limit by one. A keeper's process is replaced.

    The new one answers that the attempt may have run; what the earlier one sent may still run. A
    keeper that saw its attempt end is believed, and the permit is free.
    """
    world.engine_hangs = {"127.0.0.1:4000", "127.0.0.1:4001"}
    world.call("d0", model_call("p", 1, first_send=True))
    world.run(200)
    owner = next(d for d in world.daemons.values() if d.state.owner.runs.attempts)
    (attempt_id,) = owner.state.owner.runs.attempts
    done = DispatchDone(
        attempt_id=attempt_id,
        verdict=Verdict.MAY_HAVE_RUN,
        status=0,
        body=b"",
        content_type="",
        prompt_tokens=0,
        cached_tokens=0,
        completion_tokens=0,
        finish_reason="",
        reason=reason,
        retry_after_ms=0,
        crashed=False,
    )
    world.give(owner.state.settings.member_id, MessageReceived("d0", done))
    (holding,) = owner.state.accounts.holdings.values()
    assert (attempt_id in holding.busy) == (reason == Reason.NO_OWNER)


def test_a_refusal_is_final_and_costs_no_append(world: World) -> None:
    world.service_delay_ms = 4_000
    for number in range(LIMIT):
        world.call("d0", reorder_call(f"busy{number}", 1, first_send=True))
    world.run(500)
    appends = len(world.log.streams["programs-0"]) + len(world.log.streams["programs-1"])
    answer = world.answer(world.call("d0", reorder_call("late", 1, first_send=True)))
    assert answer is not None
    assert (answer.reason, answer.verdict, answer.status) == (Reason.RATE, Verdict.NOT_RUN, 429)
    assert answer.retry_after_ms > 0
    records = [body for name in ("programs-0", "programs-1") for body in world.log.streams[name]]
    assert not any(b'"late"' in body for body in records[appends:])
    assert all(effect.program_id != "late" for effect in world.effects)


@pytest.mark.parametrize("change", ["no entry", "too few tokens"])
def test_what_the_catalogue_does_not_allow_is_refused_for_good(change: str) -> None:
    catalogue = abay_catalogue()
    catalogue["account/abay"]["tokens_per_minute"] = 20
    if change == "no entry":
        del catalogue["account/abay"]
    world = World(members=3, seed=5, catalogue=catalogue)
    world.run(6_000)
    answer = world.answer(world.call("d1", model_call("p", 1, first_send=True)))
    assert answer is not None
    reason = Reason.NOT_ALLOWED if change == "no entry" else Reason.RATE
    assert (answer.reason, answer.verdict) == (reason, Verdict.NOT_RUN)
    assert answer.retry_after_ms == 0


def test_tokens_in_one_minute_stay_within_the_limit() -> None:
    catalogue = abay_catalogue()
    catalogue["account/abay"]["tokens_per_minute"] = 1_000
    world = World(members=3, seed=6, catalogue=catalogue)
    world.run(6_000)
    calls = [model_call(f"p{number}", 1, first_send=True) for number in range(30)]
    cost = len(calls[0].body) + calls[0].max_tokens
    sent = [world.call(f"d{number % 3}", call) for number, call in enumerate(calls)]
    world.run(30_000)
    ran = [i for i in sent if world.answers[i].verdict == Verdict.RAN]
    assert 1 <= len(ran) <= 1_000 // cost
    refused = [world.answers[i] for i in sent if i not in ran]
    assert {answer.reason for answer in refused} == {Reason.RATE}
    assert all(answer.retry_after_ms > 1_000 for answer in refused)


def test_the_first_call_long_after_a_takeover_need_not_wait(world: World) -> None:
    """Symptom: an account that was idle is refused for most of a minute.

    Its home dies after lending the whole limit. The next home counts that as lent for a term; it
    must do so from its claim on, not from when the account's next call comes.
    """
    world.service_delay_ms = 20
    home = home_of(world)
    held = world.daemons[home].state.ledger
    for program in (f"p{number}" for number in range(20)):
        if held.epoch_held(partition_of(program, 4)) is not None:
            world.call(home, model_call(program, 1, first_send=True))
    world.run(500)
    world.kill(home)
    world.run(90_000)
    door = home_of(world)
    answer = world.answer(world.call(door, model_call("late", 1, first_send=True)))
    assert answer is not None
    assert answer.status == 200, answer

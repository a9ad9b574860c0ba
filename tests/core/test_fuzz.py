"""Stateful fuzzing of the real reducers against an oracle that knows only two things.

What callers sent and were told, and what the backend servers did. The number of examples is fixed
and derived from the test itself, so that every run gives the same verdict; `QUINCESPOOL_FUZZ=N`
asks for a longer run of N examples.
"""

from __future__ import annotations

import json
import os
import random
from typing import TYPE_CHECKING

import pytest
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from quincespool.core import events as ev
from quincespool.verdict import Verdict
from tests.core.agents import Agent
from tests.core.samples import abay_catalogue
from tests.core.world import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.call import Call
    from tests.core.agents import Sent

MEMBERS = 3
AGENTS = 4
DAEMONS = [f"d{number}" for number in range(MEMBERS)]
BUDGET_TOKENS = 800
QUIET_MS = 30_000
PROGRESS_MS = 15_000
ACCOUNT_MS = 60_000
"""After its home has changed, what a small account had lent counts for about 45 s more."""
WIDE, NARROW = 100, 2
WALKS = 12
FOUND = [175]
NARROW_WALKS = 8
EXAMPLES = int(os.environ.get("QUINCESPOOL_FUZZ", "12"))

daemons = st.sampled_from(DAEMONS)


class Deployment(RuleBasedStateMachine):
    """Faults at any moment, twice and together, while agent programs number and repeat calls."""

    @initialize(seed=st.integers(0, 1_000_000))
    def begin(self, seed: int, concurrent_calls: int = WIDE) -> None:
        self.concurrent_calls = concurrent_calls
        catalogue = abay_catalogue()
        catalogue["account/abay"]["concurrent_calls"] = concurrent_calls
        if concurrent_calls == NARROW:
            catalogue["class/stock"]["idle_limit_ms"] += ACCOUNT_MS
        catalogue["class/stock"]["budget_tokens"] = BUDGET_TOKENS
        self.world = World(members=MEMBERS, seed=seed, catalogue=catalogue)
        self.world.run(4_000)
        self.down: set[str] = set()
        self.frozen: set[str] = set()
        self.agents = [Agent(self.world, f"a{number}") for number in range(AGENTS)]
        for agent in self.agents:
            agent.look()

    # -- time and faults --------------------------------------------------------------------

    @rule(for_ms=st.sampled_from([2, 10, 60, 300, 1_500, 6_000]))
    def wait(self, for_ms: int) -> None:
        self.world.run(for_ms)

    @precondition(lambda self: len(self.down | self.frozen) < MEMBERS - 1)
    @rule(member=daemons)
    def kill(self, member: str) -> None:
        if member not in self.down:
            self.frozen.discard(member)
            self.down.add(member)
            self.world.kill(member)

    @rule(member=daemons)
    def restart(self, member: str) -> None:
        if member in self.down:
            self.down.discard(member)
            self.world.start(member)

    @precondition(lambda self: len(self.down | self.frozen) < MEMBERS - 1)
    @rule(member=daemons)
    def freeze(self, member: str) -> None:
        if member not in self.down | self.frozen:
            self.frozen.add(member)
            self.world.freeze(member)

    @rule(member=daemons)
    def thaw(self, member: str) -> None:
        if member in self.frozen:
            self.frozen.discard(member)
            self.world.thaw(member)

    @rule(member=daemons, is_cut=st.booleans(), log_too=st.booleans())
    def cut(self, member: str, is_cut: bool, log_too: bool) -> None:
        if member not in self.down:
            self.world.set_cut(member, is_cut, log_too=log_too)

    @rule(is_out=st.booleans())
    def log_service(self, is_out: bool) -> None:
        self.world.log.out = is_out

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self.world.log.lose_answers = count

    @rule()
    def expire(self) -> None:
        self.world.log.expire_old()

    @rule(delay_ms=st.sampled_from([1, 20, 400, 3_000]))
    def service_delay(self, delay_ms: int) -> None:
        self.world.service_delay_ms = delay_ms

    @rule(member=daemons)
    def drain(self, member: str) -> None:
        if member not in self.down | self.frozen:
            self.world.give(member, ev.DrainRequested())

    # -- the oracle -------------------------------------------------------------------------

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        self._heal()
        self._check_effects()
        self._check_answers()
        self._check_not_run()
        self._check_budget_and_cache()
        self._check_account()
        self._check_progress()

    def _heal(self) -> None:
        world = self.world
        for agent in self.agents:
            agent.active = False
        world.log.out = False
        world.log.lose_answers = 0
        world.service_delay_ms = 20
        for member in DAEMONS:
            world.set_cut(member, False)
            if member in self.frozen:
                world.thaw(member)
            if member in self.down:
                world.start(member)
        # A daemon that drains stops during the quiet; the platform replaces those that stopped.
        for _ in range(2):
            for member in DAEMONS:
                if world.daemons[member].stopped:
                    world.start(member)
            world.run(QUIET_MS)

    def _check_effects(self) -> None:
        """No non-idempotent call ran twice; a program's calls took effect in its order."""
        last: dict[str, int] = {}
        for effect in self.world.effects:
            assert effect.call_number > last.get(effect.program_id, 0), self.world.effects
            last[effect.program_id] = effect.call_number

    def _check_answers(self) -> None:
        """Everybody who was told `ran` got the whole answer to the own call, always the same."""
        bodies: dict[tuple[str, int], bytes] = {}
        for sent in self._sent():
            answer = self.world.answers.get(sent.request_id)
            if answer is None or answer.verdict != Verdict.RAN:
                continue
            key = (sent.call.program_id, sent.call.call_number)
            assert bodies.setdefault(key, answer.body) == answer.body
            self._check_content(sent.call, json.loads(answer.body))

    def _check_content(self, call: Call, body: dict[str, object]) -> None:
        if call.path == "/reorder":
            assert body == {"program": call.program_id, "call": call.call_number}
            done = [(e.program_id, e.call_number) for e in self.world.effects]
            assert (call.program_id, call.call_number) in done
            return
        text = f"{call.program_id}#{call.call_number} done"
        assert body["choices"][0]["message"]["content"] == text  # type: ignore[index]

    def _check_not_run(self) -> None:
        """A send told as not run did not run, nor did any earlier send of the same call.

        A later send of the same call may have run by then, and a send marked as the first has no
        earlier ones to speak for.
        """
        told_ms = {told.request_id: told.at_ms for told in self.world.told}
        for sent in self._sent():
            answer = self.world.answers.get(sent.request_id)
            if answer is None or answer.verdict != Verdict.NOT_RUN:
                continue
            key = (sent.call.program_id, sent.call.call_number)
            for effect in self.world.effects:
                if effect[:2] != key:
                    continue
                early = effect.at_ms <= told_ms[sent.request_id]
                since_ms = sent.at_ms if early and not sent.call.first_send else 0
                assert self._accounted_for(sent, since_ms, effect.at_ms), (sent, answer, effect)

    def _accounted_for(self, sent: Sent, since_ms: int, until_ms: int) -> bool:
        """Whether another send of the call, made in that time, was not told that it didn't run."""
        for other in self._sent():
            if other.request_id == sent.request_id or not since_ms <= other.at_ms <= until_ms:
                continue
            if other.call[:2] != sent.call[:2]:
                continue
            answer = self.world.answers.get(other.request_id)
            if answer is None or answer.verdict != Verdict.NOT_RUN:
                return True
        return False

    def _check_account(self) -> None:
        """Never more attempts at backend servers at once than the account's entry allows."""
        assert self.world.most_in_progress <= self.concurrent_calls
        if self.concurrent_calls == NARROW:
            self.world.run(ACCOUNT_MS)

    def _check_progress(self) -> None:
        """With all healed, no program is stuck: each one's present call gets a final answer."""
        for agent in self.agents:
            agent.active = True
            agent.forget_answers()
            before = agent.finished_calls
            agent.look()
            self.world.run(PROGRESS_MS)
            agent.active = False
            assert agent.finished_calls > before, (agent.program_id, agent.sent[-1])

    def _sent(self) -> list[Sent]:
        return [sent for agent in self.agents for sent in agent.sent]

    def _ended(self) -> dict[str, int]:
        return {program: id_ for agent in self.agents for program, id_ in agent.ended.items()}

    def _check_budget_and_cache(self) -> None:
        """Nobody spent more than the budget, and ended programs hold no engine memory."""
        for program, tokens in self.world.served_tokens.items():
            assert tokens <= BUDGET_TOKENS, (program, tokens)
        told = {told.request_id: told.answer for told in self.world.told}
        for program, request_id in self._ended().items():
            if request_id in told and told[request_id].status == 200:
                for address, held in self.world.held_cache.items():
                    assert program not in held, (program, address)


Deployment.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    # Shrinking takes minutes; a failure's steps are printed whole and replay from the seed.
    phases=[Phase.explicit, Phase.generate],
)
TestDeployment = Deployment.TestCase


@pytest.mark.parametrize("seed", [*range(WALKS), *FOUND])
def test_random_walk(seed: int) -> None:
    """Longer walks than hypothesis takes, with more healing: more calls meet each fault.

    Seeds in `FOUND` once failed: 175, a call refused in a log outage went on when its entries were
    read back, beside its repeat; only one of the two could be recorded and the program was stuck.
    """
    _walk(seed, concurrent_calls=WIDE)


@pytest.mark.parametrize("seed", range(NARROW_WALKS))
def test_random_walk_of_a_narrow_account(seed: int) -> None:
    """As above, but the callers' account allows fewer calls at once than they want."""
    _walk(seed, concurrent_calls=NARROW)


def _walk(seed: int, *, concurrent_calls: int) -> None:
    chance = random.Random(seed)
    machine = Deployment()
    machine.begin(seed=seed, concurrent_calls=concurrent_calls)
    for _ in range(30):
        _take_step(machine, chance)
    machine.teardown()


def _take_step(machine: Deployment, chance: random.Random) -> None:
    member = chance.choice(DAEMONS)
    steps: list[Callable[[], object]] = [
        *[lambda: machine.wait(chance.choice([2, 10, 60, 300, 1_500, 6_000]))] * 4,
        lambda: machine.restart(member),
        lambda: machine.thaw(member),
        lambda: machine.thaw(member),
        lambda: machine.cut(member, True, chance.random() < 0.7),
        lambda: machine.cut(member, False, True),
        lambda: machine.log_service(chance.random() < 0.5),
        lambda: machine.lose_answers(chance.randint(1, 3)),
        lambda: machine.service_delay(chance.choice([1, 20, 400, 3_000])),
        machine.expire,
    ]
    if len(machine.down | machine.frozen) < MEMBERS - 1:
        steps += [lambda: machine.kill(member), lambda: machine.freeze(member)]
        steps += [lambda: machine.drain(member)] if chance.random() < 0.3 else []
    chance.choice(steps)()

"""Seeded programs for the comparison of policies: turns, pauses, sub-agents, lengths, arrivals."""

from __future__ import annotations

import math
import random
from typing import NamedTuple


class Tool(NamedTuple):
    """A tool (or a person) that programs wait for; pauses are log-normal."""

    name: str
    weight: float
    median_ms: float
    spread: float


class ClassShape(NamedTuple):
    """What the programs of one class look like.

    Attributes:
      name: Of the class.
      share: Of all programs.
      first_tokens: Median length of the first prompt.
      turn_tokens: Median length of what each further turn adds (a tool's answer).
      completion_tokens: Median generated per call.
      mean_turns: Mean of the geometric number of turns, at least 1.
      max_turns: The class entry's turn limit.
      deadline_ms: The class entry's program deadline.
      sub_agents_chance: That a turn starts sub-agents in place of a tool.
      tools: What it pauses for.
    """

    name: str
    share: float
    first_tokens: float
    turn_tokens: float
    completion_tokens: float
    mean_turns: float
    max_turns: int
    deadline_ms: int
    sub_agents_chance: float
    tools: tuple[Tool, ...]


class EngineShape(NamedTuple):
    """A model engine. A token's time grows with the batch; prompts are computed one by one."""

    slots: int
    cache_tokens: int
    prefill_ms_per_token: float
    decode_base_ms: float
    decode_per_running_ms: float
    import_ms_per_token: float


class Mix(NamedTuple):
    """A deployment with its work."""

    name: str
    engine_count: int
    zones: tuple[str, ...]
    daemon_count: int
    engine: EngineShape
    classes: tuple[ClassShape, ...]
    latency_weight: float
    cache_weight: float


class Turn(NamedTuple):
    """One call and what follows it: a pause for a tool, or sub-agents."""

    new_tokens: int
    completion_tokens: int
    tool: str
    pause_ms: int
    sub_agents: tuple[tuple[Turn, ...], ...]


class Program(NamedTuple):
    """A root program, whole; policies see only what has happened of it so far."""

    program_id: str
    arrival_ms: int
    deadline_ms: int
    zone: str
    turns: tuple[Turn, ...]


CALM_RATE = 0.6
CALM_MS = 120_000
RUSH_RATE = 1.8
RUSH_MS = 60_000
"""Rates relative to the mean, and mean lengths of the phases; together their mean is 1."""

SUB_AGENT_MEAN_TURNS = 2.5
SUB_AGENT_MAX_TURNS = 6

LOOKUP = Tool("lookup", weight=6, median_ms=400, spread=0.6)
ORDER = Tool("order", weight=3, median_ms=2500, spread=0.5)
PERSON = Tool("person", weight=1, median_ms=20_000, spread=0.6)
DEALER = Tool("dealer", weight=4, median_ms=25_000, spread=0.7)

ABAY = Mix(
    name="abay",
    engine_count=6,
    zones=("bole", "kality", "akaki", "merkato"),
    daemon_count=10,
    engine=EngineShape(8, 160_000, 0.125, 14.0, 1.5, 0.01),
    classes=(
        ClassShape("stock", 0.8, 1800, 500, 110, 4.0, 15, 90_000, 0.06, (LOOKUP, ORDER)),
        ClassShape("reorder", 0.2, 3500, 1200, 220, 9.0, 30, 360_000, 0.1, (LOOKUP, ORDER, PERSON)),
    ),
    latency_weight=1.0,
    cache_weight=0.5,
)

HARWICK = Mix(
    name="harwick",
    engine_count=5,
    zones=("walsall", "coventry", "derby"),
    daemon_count=9,
    engine=EngineShape(8, 240_000, 0.125, 14.0, 1.5, 0.01),
    classes=(
        ClassShape("papers", 0.6, 2500, 900, 130, 5.0, 20, 240_000, 0.05, (LOOKUP, ORDER, PERSON)),
        ClassShape("fleet", 0.4, 5000, 1500, 200, 14.0, 50, 900_000, 0.06, (LOOKUP, ORDER, DEALER)),
    ),
    latency_weight=0.5,
    cache_weight=1.0,
)

MIXES = {mix.name: mix for mix in (ABAY, HARWICK)}


def make_programs(mix: Mix, *, seed: int, load: float, window_ms: int) -> list[Program]:
    """Returns the programs that arrive within `window_ms` at `load` times the mix's capacity.

    Arrivals are a Poisson process whose rate alternates between calm and rush (see `RUSH_RATE`).
    """
    rng = random.Random(f"{mix.name}|{seed}")
    gap_ms = capacity_gap_ms(mix) / load
    programs: list[Program] = []
    now_ms = 0.0
    rush = False
    while now_ms < window_ms:
        phase_ms = rng.expovariate(1 / (RUSH_MS if rush else CALM_MS))
        rate = (RUSH_RATE if rush else CALM_RATE) / gap_ms
        at_ms = now_ms + rng.expovariate(rate)
        while at_ms < min(now_ms + phase_ms, window_ms):
            programs.append(_make_program(rng, mix, number=len(programs), arrival_ms=int(at_ms)))
            at_ms += rng.expovariate(rate)
        now_ms += phase_ms
        rush = not rush
    return programs


def capacity_gap_ms(mix: Mix, *, sample: int = 3000) -> float:
    """Returns the mean gap between programs that fills the engines if nothing is computed twice.

    The tightest of three limits counts: slots (each token at the speed of a full batch), prompts
    (computed one by one in each engine) and cache memory (each program keeps its prefix in it from
    its first call to its end, pauses included).
    """
    rng = random.Random("capacity")
    demand = Demand(0.0, 0.0, 0.0)
    for number in range(sample):
        program = _make_program(rng, mix, number=number, arrival_ms=0)
        demand = _add(demand, _demand(mix.engine, program.turns)[0])
    engine = mix.engine
    limits = (
        demand.slot_ms / engine.slots,
        demand.prefill_ms,
        demand.cache_token_ms / engine.cache_tokens,
    )
    return max(limits) / sample / mix.engine_count


def shortest_ms(engine: EngineShape, turns: tuple[Turn, ...]) -> float:
    """Returns how long a program takes alone on an engine, pauses included: no policy is faster."""
    token_ms = engine.decode_base_ms + engine.decode_per_running_ms
    whole_ms = 0.0
    for turn in turns:
        whole_ms += turn.new_tokens * engine.prefill_ms_per_token
        whole_ms += turn.completion_tokens * token_ms
        if turn.sub_agents:
            whole_ms += max(shortest_ms(engine, sub_agent) for sub_agent in turn.sub_agents)
        else:
            whole_ms += turn.pause_ms
    return whole_ms


class Demand(NamedTuple):
    """What a program asks of the engines at the least."""

    slot_ms: float
    prefill_ms: float
    cache_token_ms: float


def _demand(engine: EngineShape, turns: tuple[Turn, ...]) -> tuple[Demand, float]:
    """Returns the demand of a program or sub-agent and how long it takes at a full batch."""
    total = Demand(0.0, 0.0, 0.0)
    token_ms = engine.decode_base_ms + engine.decode_per_running_ms * engine.slots
    context_tokens = 0
    whole_ms = 0.0
    for turn in turns:
        own_ms = turn.new_tokens * engine.prefill_ms_per_token
        service_ms = own_ms + turn.completion_tokens * token_ms
        context_tokens += turn.new_tokens + turn.completion_tokens
        pause_ms = float(turn.pause_ms)
        if turn.sub_agents:
            parts = [_demand(engine, sub_agent) for sub_agent in turn.sub_agents]
            pause_ms = max(part_ms for _, part_ms in parts)
            for part, _ in parts:
                total = _add(total, part)
        held = context_tokens * (service_ms + pause_ms)
        total = _add(total, Demand(service_ms, own_ms, held))
        whole_ms += service_ms + pause_ms
    return total, whole_ms


def _add(one: Demand, other: Demand) -> Demand:
    return Demand(
        one.slot_ms + other.slot_ms,
        one.prefill_ms + other.prefill_ms,
        one.cache_token_ms + other.cache_token_ms,
    )


def _make_program(rng: random.Random, mix: Mix, *, number: int, arrival_ms: int) -> Program:
    shape = rng.choices(mix.classes, weights=[c.share for c in mix.classes])[0]
    return Program(
        program_id=f"{shape.name}-{number}",
        arrival_ms=arrival_ms,
        deadline_ms=shape.deadline_ms,
        zone=rng.choice(mix.zones),
        turns=_make_turns(rng, shape, mean=shape.mean_turns, limit=shape.max_turns, depth=0),
    )


def _make_turns(
    rng: random.Random, shape: ClassShape, *, mean: float, limit: int, depth: int
) -> tuple[Turn, ...]:
    count = min(1 + _geometric(rng, mean - 1), limit)
    return tuple(
        _make_turn(rng, shape, first=index == 0, last=index == count - 1, depth=depth)
        for index in range(count)
    )


def _make_turn(
    rng: random.Random, shape: ClassShape, *, first: bool, last: bool, depth: int
) -> Turn:
    median = shape.first_tokens if first else shape.turn_tokens
    tool = rng.choices(shape.tools, weights=[t.weight for t in shape.tools])[0]
    sub_agents: tuple[tuple[Turn, ...], ...] = ()
    if not last and depth == 0 and rng.random() < shape.sub_agents_chance:
        sub_agents = tuple(
            _make_turns(rng, shape, mean=SUB_AGENT_MEAN_TURNS, limit=SUB_AGENT_MAX_TURNS, depth=1)
            for _ in range(rng.randint(2, 3))
        )
    return Turn(
        new_tokens=_lognormal(rng, median, 0.5),
        completion_tokens=_lognormal(rng, shape.completion_tokens, 0.6),
        tool=tool.name,
        pause_ms=0 if last else _lognormal(rng, tool.median_ms, tool.spread),
        sub_agents=sub_agents,
    )


def _lognormal(rng: random.Random, median: float, spread: float) -> int:
    return max(1, int(rng.lognormvariate(math.log(median), spread)))


def _geometric(rng: random.Random, mean: float) -> int:
    return int(rng.expovariate(1.0) / math.log(1 + 1 / mean))

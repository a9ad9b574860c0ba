"""Drives one policy through one seeded set of programs in virtual time.

What the product's mechanisms do for every policy alike is done here for every policy alike:
keepers' summaries, the release of a program's cache when it ends, the end at the deadline, and
sending again what a lost engine had. Only the decisions differ.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.policy.experiment.engine import Engine
from quincespool.policy.experiment.engine import Job
from quincespool.policy.experiment.measures import Tally
from quincespool.policy.experiment.views import Watcher
from quincespool.policy.protocol import CacheAction
from quincespool.policy.protocol import CachePlanner
from quincespool.policy.protocol import CallOutcome
from quincespool.policy.protocol import CallView
from quincespool.policy.protocol import Learner
from quincespool.policy.protocol import PauseView
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.policy.experiment.workload import Mix
    from quincespool.policy.experiment.workload import Program
    from quincespool.policy.experiment.workload import Turn
    from quincespool.policy.protocol import Policy

TICK_MS = 1000
RELEASE_DELAY_MS = 100
LOSS_NOTICED_MS = 1000
MAX_TOKENS = 1024
HOP_MS = 3


class Options(NamedTuple):
    """Switches of a run, besides the policy.

    Attributes:
      release_at_end: Whether the cache of ended programs is released by order.
      export: Whether the engines export KV cache, for policies that plan what pauses.
      lose_engine_at_ms: When the first engine is lost for good; -1 for never.
    """

    release_at_end: bool = True
    export: bool = False
    lose_engine_at_ms: int = -1


class Root:
    """What is known of a root program with its sub-agents."""

    def __init__(self, program: Program) -> None:
        self.program = program
        self.attained_ms = 0
        self.ended_ms = -1
        self.agents: list[Agent] = []
        self.jobs: dict[Job, Engine] = {}
        self.daemon = stable_hash(program.program_id)


class Agent:
    """A program id: a root program or a sub-agent, and where it stands."""

    def __init__(
        self, root: Root, program_id: str, turns: tuple[Turn, ...], parent: Agent | None
    ) -> None:
        self.root = root
        self.program_id = program_id
        self.turns = turns
        self.parent = parent
        self.index = 0
        self.context_tokens = 0
        self.children_open = 0
        self.exported_tokens = 0
        self.paused_since_ms = 0
        root.agents.append(self)

    @property
    def turn(self) -> Turn:
        """The turn it is at."""
        return self.turns[self.index]

    @property
    def prompt_tokens(self) -> int:
        """The whole prompt of the present call."""
        return self.context_tokens + self.turn.new_tokens


def run(
    mix: Mix, programs: list[Program], policies: list[Policy], *, options: Options | None = None
) -> Tally:
    """Runs all programs to their end; `policies` has one policy for each daemon."""
    driver = _Driver(mix, programs, policies, options or Options())
    driver.run()
    return driver.tally


class _Driver:
    def __init__(
        self, mix: Mix, programs: list[Program], policies: list[Policy], options: Options
    ) -> None:
        self.now_ms = 0
        self.options = options
        self.policies = policies
        self.engines = {
            f"engine-{i}": Engine(f"engine-{i}", mix.zones[i % len(mix.zones)], mix.engine)
            for i in range(mix.engine_count)
        }
        self.watchers = [Watcher(self.engines) for _ in policies]
        self.tally = Tally()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._open = len(programs)
        self._last_arrival_ms = programs[-1].arrival_ms
        for program in programs:
            self._at(program.arrival_ms, lambda p=program: self._arrive(p))  # type: ignore[misc]
        if options.lose_engine_at_ms >= 0:
            self._at(options.lose_engine_at_ms, self._lose_engine)
        self._at(TICK_MS, self._tick)

    def run(self) -> None:
        while self._events and self._open:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.tally.close(self.now_ms)

    def _at(self, at_ms: int, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, action))

    def _after(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._at(self.now_ms + delay_ms, action)

    def _tick(self) -> None:
        if self.now_ms <= self._last_arrival_ms:
            self.tally.note_use(e for e in self.engines.values() if e.alive)
        for watcher in self.watchers:
            watcher.report()
        for engine in self.engines.values():
            for program_id in engine.evicted:
                self.tally.note_dropped(program_id, engine.name, self.now_ms)
                for watcher in self.watchers:
                    watcher.hear_evicted(program_id, engine.name)
            engine.evicted.clear()
        self._after(TICK_MS, self._tick)

    def _lose_engine(self) -> None:
        engine = next(iter(self.engines.values()))
        for job in engine.crash():
            agent = job.owner
            assert isinstance(agent, Agent)
            agent.root.jobs.pop(job, None)
            self._after(LOSS_NOTICED_MS, lambda a=agent: self._call(a))  # type: ignore[misc]

    def _arrive(self, program: Program) -> None:
        root = Root(program)
        agent = Agent(root, program.program_id, program.turns, None)
        self._after(program.deadline_ms, lambda: self._end(root, finished=False))
        self._call(agent)

    def _call(self, agent: Agent) -> None:
        root = agent.root
        if root.ended_ms >= 0:
            return
        policy = self.policies[root.daemon % len(self.policies)]
        watcher = self.watchers[root.daemon % len(self.policies)]
        call = self._call_view(agent)
        views = watcher.views(agent.program_id, now_ms=self.now_ms)
        admission = policy.admit(call, views)
        if not admission.admitted:
            self._refuse(agent, admission.retry_after_ms)
            return
        name = policy.choose(call, views, now_ms=self.now_ms)
        chosen = next(view for view in views if view.name == name)
        rank = policy.rank(call, now_ms=self.now_ms, backend=chosen)
        job = Job(
            agent,
            agent.program_id,
            prompt_tokens=agent.prompt_tokens,
            completion_tokens=agent.turn.completion_tokens,
        )
        job.exported_tokens = agent.exported_tokens
        root.jobs[job] = self.engines[name]
        new_there = 0 if agent.program_id in self.engines[name].live else agent.prompt_tokens
        watcher.note_sent(name, call.prompt_tokens + call.max_tokens, live_tokens=new_there)
        self._after(HOP_MS, lambda: self._submit(job, name, rank))

    def _submit(self, job: Job, name: str, rank: int) -> None:
        if job.gone:
            return
        engine = self.engines[name]
        if engine.alive:
            for other in self.engines.values():
                other.forget(job.program_id)
            engine.submit(job, rank=rank)
            self._start_jobs(engine)
            return
        agent = job.owner
        assert isinstance(agent, Agent)
        agent.root.jobs.pop(job, None)
        self._after(LOSS_NOTICED_MS, lambda: self._call(agent))

    def _refuse(self, agent: Agent, retry_after_ms: int) -> None:
        self.tally.refusals += 1
        if retry_after_ms > 0:
            self._after(retry_after_ms, lambda: self._call(agent))
            return
        self._end(agent.root, finished=False)

    def _start_jobs(self, engine: Engine) -> None:
        while (started := engine.start_next(self.now_ms)) is not None:
            job, end_ms = started
            agent = job.owner
            assert isinstance(agent, Agent)
            self.tally.note_started(job, seen_before_tokens=agent.context_tokens)
            agent.exported_tokens = 0
            self._at(end_ms, lambda j=job: self._finish(j, engine))  # type: ignore[misc]

    def _finish(self, job: Job, engine: Engine) -> None:
        if job.gone:
            return
        engine.finish(job)
        agent = job.owner
        assert isinstance(agent, Agent)
        root = agent.root
        del root.jobs[job]
        service_ms = self.now_ms - job.started_ms
        root.attained_ms += service_ms
        agent.context_tokens = job.whole_tokens
        index = root.daemon % len(self.policies)
        self.watchers[index].note_cached(agent.program_id, engine.name, job.whole_tokens)
        policy = self.policies[index]
        if isinstance(policy, Learner):
            policy.observe_call(
                CallOutcome(
                    computed_tokens=job.computed_tokens,
                    completion_tokens=job.completion_tokens,
                    first_token_ms=job.first_token_ms,
                    service_ms=service_ms,
                )
            )
        self._go_on(agent, engine, policy)
        self._start_jobs(engine)

    def _go_on(self, agent: Agent, engine: Engine, policy: Policy) -> None:
        turn = agent.turn
        if agent.index + 1 == len(agent.turns):
            self._agent_done(agent)
            return
        agent.index += 1
        agent.paused_since_ms = self.now_ms
        if turn.sub_agents:
            agent.children_open = len(turn.sub_agents)
            children = [
                Agent(agent.root, f"{agent.program_id}/{agent.index}-{n}", turns, agent)
                for n, turns in enumerate(turn.sub_agents)
            ]
            self._plan_pause(agent, engine, policy, tool="sub-agents")
            for child in children:
                self._call(child)
            return
        self._plan_pause(agent, engine, policy, tool=turn.tool)
        self._after(turn.pause_ms, lambda: self._resume(agent, turn.tool))

    def _resume(self, agent: Agent, tool: str) -> None:
        policy = self.policies[agent.root.daemon % len(self.policies)]
        if isinstance(policy, Learner):
            policy.observe_pause(tool, self.now_ms - agent.paused_since_ms)
        self._call(agent)

    def _plan_pause(self, agent: Agent, engine: Engine, policy: Policy, *, tool: str) -> None:
        if not (self.options.export and isinstance(policy, CachePlanner)):
            return
        watcher = self.watchers[agent.root.daemon % len(self.policies)]
        view = next(
            v for v in watcher.views(agent.program_id, now_ms=self.now_ms) if v.name == engine.name
        )
        pause = PauseView(
            tool=tool,
            cached_tokens=agent.context_tokens,
            backend=view,
            can_export=True,
        )
        action = policy.plan_pause(pause)
        if action is CacheAction.KEEP:
            return
        tokens = engine.release(agent.program_id)
        engine.forget(agent.program_id)
        watcher.note_cached(agent.program_id, engine.name, 0)
        agent.exported_tokens = tokens
        self.tally.exported_tokens += tokens

    def _agent_done(self, agent: Agent) -> None:
        self._release(agent)
        parent = agent.parent
        if parent is None:
            self._end(agent.root, finished=True)
            return
        parent.children_open -= 1
        if parent.children_open == 0:
            self._resume(parent, "sub-agents")

    def _end(self, root: Root, *, finished: bool) -> None:
        if root.ended_ms >= 0:
            return
        root.ended_ms = self.now_ms
        self._open -= 1
        self.tally.note_ended(root.program, self.now_ms, finished=finished)
        for job, engine in list(root.jobs.items()):
            if not job.queued:
                job.gone = True
                continue
            engine.cancel(job)
            self._start_jobs(engine)
        root.jobs.clear()
        for agent in root.agents:
            self._release(agent)

    def _release(self, agent: Agent) -> None:
        for engine in self.engines.values():
            engine.forget(agent.program_id)
        self.tally.note_over(agent.program_id, self.engines.values(), self.now_ms)
        if self.options.release_at_end:
            self._after(RELEASE_DELAY_MS, lambda: self._release_now(agent.program_id))

    def _release_now(self, program_id: str) -> None:
        for engine in self.engines.values():
            if engine.release(program_id):
                self.tally.note_dropped(program_id, engine.name, self.now_ms)

    def _call_view(self, agent: Agent) -> CallView:
        root = agent.root
        return CallView(
            program_id=agent.program_id,
            call_number=agent.index + 1,
            prompt_tokens=agent.prompt_tokens,
            max_tokens=MAX_TOKENS,
            attained_ms=root.attained_ms,
            program_age_ms=self.now_ms - root.program.arrival_ms,
            deadline_left_ms=root.program.arrival_ms + root.program.deadline_ms - self.now_ms,
            priority=0,
            sub_agent=agent.parent is not None,
            exported_tokens=agent.exported_tokens,
        )

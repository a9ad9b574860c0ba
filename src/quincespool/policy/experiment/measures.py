"""What a run is judged by."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quincespool.policy.experiment.engine import Engine
    from quincespool.policy.experiment.engine import Job
    from quincespool.policy.experiment.workload import Program

WARM_UP_MS = 300_000


class Measures(NamedTuple):
    """One run. Latencies are of whole programs.

    A program that did not finish counts with the longest deadline of all, so that it is slower
    than any that did and no policy gains by giving programs up.

    Attributes:
      p50_ms: Median.
      p95_ms: 95th percentile.
      p99_ms: 99th percentile.
      finished_p95_ms: 95th percentile among those that finished.
      goodput: Share of programs that finished within their deadline.
      again_tokens: Prompt tokens computed although they had been computed before.
      again_share: The same as a share of all prompt tokens computed.
      held_token_s: Token-seconds of cache held by programs that had ended.
      exported_tokens: Tokens of KV cache exported.
      refusals: Refusals given, several a program included.
      utilisation: Share of slots in use while programs arrive.
    """

    p50_ms: float
    p95_ms: float
    p99_ms: float
    finished_p95_ms: float
    goodput: float
    again_tokens: float
    again_share: float
    held_token_s: float
    exported_tokens: float
    refusals: float
    utilisation: float


class Tally:
    """Collects while a run goes on."""

    def __init__(self) -> None:
        self.refusals = 0
        self.exported_tokens = 0
        self.again_tokens = 0
        self.computed_tokens = 0
        self.held_token_ms = 0
        self.finished_ms: list[int] = []
        self.lost = 0
        self._longest_ms = 0
        self._slots_used = 0
        self._slots_seen = 0
        self._held: dict[tuple[str, str], tuple[int, int]] = {}

    def note_started(self, job: Job, *, seen_before_tokens: int) -> None:
        """A call starts; of its prompt, `seen_before_tokens` have been computed once already."""
        self.computed_tokens += job.computed_tokens
        new_tokens = job.prompt_tokens - seen_before_tokens
        self.again_tokens += max(job.computed_tokens - new_tokens, 0)

    def note_ended(self, program: Program, now_ms: int, *, finished: bool) -> None:
        """A root program is over; one that came before the engines were warm doesn't count."""
        self._longest_ms = max(self._longest_ms, program.deadline_ms)
        if program.arrival_ms < WARM_UP_MS:
            return
        if finished:
            self.finished_ms.append(now_ms - program.arrival_ms)
        else:
            self.lost += 1

    def note_over(self, program_id: str, engines: Iterable[Engine], now_ms: int) -> None:
        """A program id has ended; what engines hold of it counts from now."""
        for engine in engines:
            tokens = engine.cache.get(program_id)
            if tokens:
                self._held.setdefault((program_id, engine.name), (tokens, now_ms))

    def note_dropped(self, program_id: str, engine_name: str, now_ms: int) -> None:
        """An engine no longer holds anything of a program id."""
        tokens, since_ms = self._held.pop((program_id, engine_name), (0, 0))
        self.held_token_ms += tokens * (now_ms - since_ms)

    def note_use(self, engines: Iterable[Engine]) -> None:
        """Samples how many slots are in use, while programs still arrive."""
        for engine in engines:
            self._slots_used += len(engine.running)
            self._slots_seen += engine.shape.slots

    def close(self, now_ms: int) -> None:
        """Ends the run."""
        for program_id, engine_name in list(self._held):
            self.note_dropped(program_id, engine_name, now_ms)

    def measures(self) -> Measures:
        """Returns the figures of the run."""
        everyone = sorted(self.finished_ms) + [self._longest_ms] * self.lost
        return Measures(
            p50_ms=percentile(everyone, 50),
            p95_ms=percentile(everyone, 95),
            p99_ms=percentile(everyone, 99),
            finished_p95_ms=percentile(sorted(self.finished_ms), 95),
            goodput=len(self.finished_ms) / max(len(everyone), 1),
            again_tokens=self.again_tokens,
            again_share=self.again_tokens / max(self.computed_tokens, 1),
            held_token_s=self.held_token_ms / 1000,
            exported_tokens=self.exported_tokens,
            refusals=self.refusals,
            utilisation=self._slots_used / max(self._slots_seen, 1),
        )


def percentile(ordered: list[int], percent: int) -> float:
    """Returns the nearest-rank percentile of an ascending list; 0 for an empty one."""
    if not ordered:
        return 0.0
    return float(ordered[max(-(-len(ordered) * percent // 100) - 1, 0)])

"""A model engine in virtual time: slots, a queue by rank, and a prefix cache with LRU eviction."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quincespool.policy.experiment.workload import EngineShape


class Job:
    """One attempt of a call on an engine."""

    __slots__ = (
        "completion_tokens",
        "computed_tokens",
        "exported_tokens",
        "first_token_ms",
        "gone",
        "owner",
        "program_id",
        "prompt_tokens",
        "queued",
        "started_ms",
    )

    def __init__(
        self, owner: object, program_id: str, *, prompt_tokens: int, completion_tokens: int
    ) -> None:
        self.owner = owner
        self.program_id = program_id
        self.prompt_tokens = prompt_tokens
        self.completion_tokens = completion_tokens
        self.exported_tokens = 0
        self.queued = False
        self.started_ms = -1
        self.first_token_ms = 0
        self.computed_tokens = 0
        self.gone = False

    @property
    def whole_tokens(self) -> int:
        """Prompt and generation together."""
        return self.prompt_tokens + self.completion_tokens


class Engine:
    """One engine. Its cache holds, for each program id, how many tokens of its prefix."""

    def __init__(self, name: str, zone: str, shape: EngineShape) -> None:
        self.name = name
        self.zone = zone
        self.shape = shape
        self.alive = True
        self.running: set[Job] = set()
        self.waiting = 0
        self.waiting_tokens = 0
        self.held_tokens = 0
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.evicted: list[str] = []
        self.live: dict[str, int] = {}
        self.live_tokens = 0
        self._queue: list[tuple[int, int, Job]] = []
        self._sequence = 0
        self._pinned_tokens = 0
        self._prefill_free_ms = 0.0

    def submit(self, job: Job, *, rank: int) -> None:
        """Queues a job."""
        job.queued = True
        self._sequence += 1
        heapq.heappush(self._queue, (rank, self._sequence, job))
        self.waiting += 1
        self.waiting_tokens += job.whole_tokens
        self.live[job.program_id] = job.whole_tokens
        self.live_tokens += job.whole_tokens

    def start_next(self, now_ms: int) -> tuple[Job, int] | None:
        """Starts the first of the queue if there is a slot and memory; returns it and its end."""
        self._drop_gone()
        if not self._queue or len(self.running) >= self.shape.slots:
            return None
        job = self._queue[0][2]
        if self.running and self._pinned_tokens + job.whole_tokens > self.shape.cache_tokens:
            return None
        heapq.heappop(self._queue)
        self.waiting -= 1
        return job, self._start(job, now_ms)

    def finish(self, job: Job) -> None:
        """Ends a running job; its prompt and generation stay cached."""
        self.running.discard(job)
        self.waiting_tokens -= job.whole_tokens
        self._pinned_tokens -= job.whole_tokens
        self.held_tokens -= job.whole_tokens
        self._store(job.program_id, job.whole_tokens)

    def cancel(self, job: Job) -> None:
        """Takes a job out, whether it waits or runs; nothing of it stays cached."""
        job.gone = True
        if job in self.running:
            self.finish(job)
            self.release(job.program_id)
            return
        self.waiting -= 1
        self.waiting_tokens -= job.whole_tokens

    def release(self, program_id: str) -> int:
        """Drops a program's prefix and returns how many tokens it had."""
        tokens = self.cache.pop(program_id, 0)
        self.held_tokens -= tokens
        return tokens

    def forget(self, program_id: str) -> None:
        """Takes note that a program has ended, moved, or had its cache released on purpose."""
        self.live_tokens -= self.live.pop(program_id, 0)

    def crash(self) -> list[Job]:
        """Loses everything; returns the jobs that waited or ran."""
        lost = [job for _, _, job in self._queue if not job.gone] + sorted(
            self.running, key=lambda job: job.program_id
        )
        self.alive = False
        self.evicted += list(self.cache)
        self.running.clear()
        self.cache.clear()
        self._queue.clear()
        for job in lost:
            job.gone = True
        return lost

    def _start(self, job: Job, now_ms: int) -> int:
        shape = self.shape
        cached = self.release(job.program_id)
        hit = min(cached, job.prompt_tokens)
        imported = max(min(job.exported_tokens, job.prompt_tokens) - hit, 0)
        job.computed_tokens = job.prompt_tokens - hit - imported
        job.started_ms = now_ms
        prefill_at_ms = max(float(now_ms), self._prefill_free_ms)
        prefill_ms = job.computed_tokens * shape.prefill_ms_per_token
        self._prefill_free_ms = prefill_at_ms + prefill_ms
        first_token_at_ms = self._prefill_free_ms + imported * shape.import_ms_per_token
        job.first_token_ms = int(first_token_at_ms) - now_ms
        self.running.add(job)
        self._pinned_tokens += job.whole_tokens
        self.held_tokens += job.whole_tokens
        self._make_room()
        token_ms = shape.decode_base_ms + shape.decode_per_running_ms * len(self.running)
        return int(first_token_at_ms + job.completion_tokens * token_ms)

    def _store(self, program_id: str, tokens: int) -> None:
        self.cache[program_id] = tokens
        self.cache.move_to_end(program_id)
        self.held_tokens += tokens
        self._make_room()

    def _make_room(self) -> None:
        while self.held_tokens > self.shape.cache_tokens and self.cache:
            program_id, tokens = self.cache.popitem(last=False)
            self.held_tokens -= tokens
            self.evicted.append(program_id)

    def _drop_gone(self) -> None:
        while self._queue and self._queue[0][2].gone:
            heapq.heappop(self._queue)

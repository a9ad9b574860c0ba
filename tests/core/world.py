"""Several real reducers, one log and a few backend servers, all as data in virtual time.

No clock, socket or thread: a heap of things to happen. Tests and the fuzzer steer the faults.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from quincespool.core import effects as fx
from quincespool.core import events as ev
from quincespool.core import reducer
from quincespool.settings import Settings
from tests.core.exchange_events import COMPLETION_TOKENS
from tests.core.exchange_events import PROMPT_TOKENS
from tests.core.exchange_events import completion
from tests.core.exchange_events import whole
from tests.core.log_stand_in import LogService

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.call import Answer
    from quincespool.core.call import Call

START_MS = 1_700_000_000_000


class Effect(NamedTuple):
    """One effect at a plain service: which call, and when."""

    program_id: str
    call_number: int
    at_ms: int


class Told(NamedTuple):
    """What a caller was told."""

    request_id: int
    answer: Answer
    at_ms: int


class Daemon:
    """One reducer with what its shell would keep."""

    def __init__(self, state: Any, port: int) -> None:
        self.state = state
        self.port = port
        self.alive = True
        self.frozen = False
        self.cut = False
        self.log_cut = False
        self.stopped = False
        self.follows: dict[str, int] = {}
        self.generation: dict[str, int] = {}
        self.held_back: list[ev.Event] = []
        self.links = 0


class World:
    """The deployment."""

    def __init__(self, *, members: int, seed: int, catalogue: dict[str, Any]) -> None:
        self.now_ms = START_MS
        self.random = random.Random(seed)
        self.log = LogService()
        self.daemons: dict[str, Daemon] = {}
        self.effects: list[Effect] = []
        self.told: list[Told] = []
        self.answers: dict[int, Answer] = {}
        self.texts: dict[int, str] = {}
        self.service_delay_ms = 20
        self.served_tokens: dict[str, int] = {}
        self.engine_hangs: set[str] = set()
        self.crash_on = b""
        self.crashes: list[str] = []
        self.in_progress: set[tuple[str, int, int]] = set()
        self.most_in_progress = 0
        """Attempts at backend servers at once, those of dead and frozen daemons included."""
        self.held_cache: dict[str, set[str]] = {}
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._link_ms: dict[tuple[str, str], int] = {}
        self._stopped_exchanges: set[tuple[str, int, int]] = set()
        self._request_ids = itertools.count(1)
        self._member_count = members
        changes = [
            {"name": name, "base_version": -1, "entry": entry} for name, entry in catalogue.items()
        ]
        edit = {"kind": "edit", "edit_id": "first", "editor": "test", "changes": changes}
        self.log.append("catalogue", json.dumps(edit).encode())
        for number in range(members):
            self.start(f"d{number}")

    # -- steering ---------------------------------------------------------------------------

    def start(self, member_id: str) -> None:
        """Starts a daemon, or starts one anew with nothing."""
        number = int(member_id[1:])
        settings = Settings(
            member_id=member_id,
            zone=f"zone-{number % 2}",
            host="127.0.0.1",
            http_port=1000 + number,
            peer_port=2000 + number,
            log_address="127.0.0.1:3000",
            seeds=tuple(f"127.0.0.1:{2000 + n}" for n in range(self._member_count) if n != number),
            stream_count=2,
            partition_count=4,
            checkpoint_records=40,
            checkpoint_every_ms=20_000,
        )
        state = reducer.make_daemon(settings, now_ms=self.now_ms, seed=self.random.getrandbits(32))
        self.daemons[member_id] = Daemon(state, settings.peer_port)
        self.give(member_id, ev.Started())
        self._arm(member_id, self.daemons[member_id])

    def kill(self, member_id: str) -> None:
        """Kills a daemon; its links break."""
        self.daemons[member_id].alive = False
        self._break_links(member_id)

    def freeze(self, member_id: str) -> None:
        """Stops a daemon as SIGSTOP does."""
        self.daemons[member_id].frozen = True

    def thaw(self, member_id: str) -> None:
        """Lets a frozen daemon go on; what waited in its buffers comes in."""
        daemon = self.daemons[member_id]
        daemon.frozen = False
        waiting, daemon.held_back = daemon.held_back, []
        links = daemon.links
        for event in waiting:
            if isinstance(event, ev.MessageReceived) and daemon.links != links:
                continue
            self.give(member_id, event)

    def set_cut(self, member_id: str, is_cut: bool, *, log_too: bool = True) -> None:
        """Cuts a daemon off from its peers, or heals it; backend servers it still reaches."""
        daemon = self.daemons[member_id]
        daemon.log_cut = is_cut and log_too
        if daemon.cut != is_cut:
            daemon.cut = is_cut
            self._break_links(member_id)

    def call(self, door: str, call: Call) -> int:
        """Sends a call to a daemon; returns the request id."""
        request_id = next(self._request_ids)
        self.give(door, ev.CallReceived(request_id, call))
        return request_id

    def end(self, door: str, program_id: str) -> int:
        """Ends a program; returns the request id."""
        request_id = next(self._request_ids)
        self.give(door, ev.EndReceived(request_id, program_id))
        return request_id

    def audit(self, door: str, outcome_id: str) -> int:
        """Asks for what stands behind an outcome; returns the request id."""
        request_id = next(self._request_ids)
        self.give(door, ev.AuditReceived(request_id, outcome_id))
        return request_id

    def run(self, for_ms: int) -> None:
        """Lets virtual time pass."""
        until_ms = self.now_ms + for_ms
        while self._heap and self._heap[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self._heap)
            self.now_ms = max(self.now_ms, at_ms)
            action()
        self.now_ms = until_ms

    def answer(self, request_id: int, *, within_ms: int = 30_000) -> Answer | None:
        """Lets time pass until a request is answered."""
        until_ms = self.now_ms + within_ms
        while self.now_ms < until_ms:
            if request_id in self.answers:
                return self.answers[request_id]
            self.run(50)
        return None

    # -- what happens -----------------------------------------------------------------------

    def give(self, member_id: str, event: ev.Event) -> None:
        """Hands an event to a daemon now, or when it thaws."""
        daemon = self.daemons[member_id]
        if not daemon.alive or daemon.stopped:
            return
        if daemon.frozen:
            daemon.held_back.append(event)
            return
        self._carry_out(member_id, daemon, reducer.step(daemon.state, self.now_ms, event))

    def later(self, after_ms: int, action: Callable[[], None]) -> None:
        """Does something after a while."""
        heapq.heappush(self._heap, (self.now_ms + after_ms, next(self._order), action))

    def _arm(self, member_id: str, daemon: Daemon) -> None:
        def tick() -> None:
            if self.daemons[member_id] is not daemon or not daemon.alive or daemon.stopped:
                return
            if not daemon.frozen:
                self._carry_out(member_id, daemon, reducer.tick(daemon.state, self.now_ms))
            due_ms = daemon.state.timers.next_due_ms()
            wait_ms = max(1, (due_ms or 0) - self.now_ms) if not daemon.frozen else 50
            self.later(min(wait_ms, 50), tick)

        self.later(1, tick)

    def _carry_out(self, member_id: str, daemon: Daemon, effects: fx.Effects) -> None:
        for effect in effects:
            self._carry_out_one(member_id, daemon, effect)

    def _carry_out_one(self, member_id: str, daemon: Daemon, effect: fx.Effect) -> None:
        match effect:
            case fx.Respond(request_id, answer):
                self.told.append(Told(request_id, answer, self.now_ms))
                self.answers[request_id] = answer
            case fx.RespondText(request_id, text):
                self.texts[request_id] = self.texts.get(request_id, "") + text
            case fx.SendMessage(target, message):
                self._send(member_id, target, ev.MessageReceived(member_id, message))
            case fx.SendDatagram(_, port, datagram):
                self._send_datagram(daemon, port, datagram)
            case fx.CloseLinks():
                self._break_links(member_id)
            case fx.FollowStream(stream, offset):
                daemon.generation[stream] = daemon.generation.get(stream, 0) + 1
                daemon.follows[stream] = offset
                self._poll(member_id, daemon, stream, daemon.generation[stream])
            case fx.UnfollowStream(stream):
                daemon.generation[stream] += 1
            case fx.AppendRecord(stream, append_id, body):
                self._append(member_id, daemon, ev.AppendDone(stream, append_id, 0), body)
            case fx.StartExchange():
                self._start_exchange(member_id, daemon, effect)
            case fx.StopExchange(exchange_id):
                key = (member_id, daemon.state.incarnation, exchange_id)
                self._stopped_exchanges.add(key)
                self.in_progress.discard(key)
            case fx.Stop():
                daemon.stopped = True
                self._break_links(member_id)
            case _:
                pass

    def _send(self, sender: str, target: str, event: ev.Event) -> None:
        source, destination = self.daemons[sender], self.daemons.get(target)
        if destination is None or not destination.alive or destination.stopped or source.cut:
            self.later(1, lambda: self.give(sender, ev.LinkDown(target)))
            return
        links = (source.links, destination.links)

        def deliver() -> None:
            unbroken = (source.links, destination.links) == links
            if unbroken and self.daemons.get(target) is destination:
                self.give(target, event)

        # A link delivers in order, as TCP does.
        at_ms = max(self.now_ms + self.random.randint(1, 3), self._link_ms.get((sender, target), 0))
        self._link_ms[(sender, target)] = at_ms
        self.later(at_ms - self.now_ms, deliver)

    def _send_datagram(self, daemon: Daemon, port: int, datagram: Any) -> None:
        if daemon.cut or self.random.random() < 0.02:
            return
        for target, other in self.daemons.items():
            if other.port == port and not other.cut:
                event = ev.DatagramReceived("127.0.0.1", daemon.port, datagram)
                self.later(self.random.randint(1, 3), partial(self.give, target, event))

    def _break_links(self, member_id: str) -> None:
        self.daemons[member_id].links += 1
        for other in self.daemons:
            if other != member_id:
                self.later(2, partial(self.give, other, ev.LinkDown(member_id)))
                self.later(2, partial(self.give, member_id, ev.LinkDown(other)))

    def _poll(self, member_id: str, daemon: Daemon, stream: str, generation: int) -> None:
        def arrive(event: ev.Event, next_offset: int | None, again_ms: int) -> None:
            if self.daemons[member_id] is not daemon or daemon.generation[stream] != generation:
                return
            if daemon.frozen:
                self.later(50, lambda: arrive(event, next_offset, again_ms))
                return
            if next_offset is not None:
                daemon.follows[stream] = next_offset
            self.give(member_id, event)
            if not isinstance(event, ev.StreamExpired):
                self.later(again_ms, read)

        def read() -> None:
            if self.daemons[member_id] is not daemon or not daemon.alive or daemon.stopped:
                return
            if daemon.generation[stream] != generation:
                return
            if daemon.frozen or self.log.out or daemon.log_cut:
                self.later(50, read)
                return
            event, next_offset = self._read(daemon, stream)
            again_ms = 1 if isinstance(event, ev.RecordsRead) and event.records else 20
            self.later(self.random.randint(1, 3), lambda: arrive(event, next_offset, again_ms))

        self.later(1, read)

    def _read(self, daemon: Daemon, stream: str) -> tuple[ev.Event, int | None]:
        offset = daemon.follows[stream]
        earliest = self.log.first_kept.get(stream, 0)
        if offset < earliest:
            return ev.StreamExpired(stream, earliest), None
        records = self.log.streams.get(stream, [])
        taken = tuple(ev.LogRecord(offset + i, b) for i, b in enumerate(records[offset:][:500]))
        next_offset = offset + len(taken)
        end_offset = len(records) + (1 if self.log.hides_end else 0)
        return ev.RecordsRead(stream, taken, next_offset, end_offset), next_offset

    def _append(self, member_id: str, daemon: Daemon, done: ev.AppendDone, body: bytes) -> None:
        def reply(event: ev.Event) -> None:
            if self.daemons[member_id] is daemon:
                self.give(member_id, event)

        def write() -> None:
            if self.log.out or daemon.log_cut:
                failed = ev.AppendFailed(done.stream, done.append_id, False, 0, "out")
                self.later(1, lambda: reply(failed))
                return
            offset = self.log.append(done.stream, body)
            if self.log.lose_answers > 0:
                self.log.lose_answers -= 1
                failed = ev.AppendFailed(done.stream, done.append_id, True, 0, "lost")
                self.later(5, lambda: reply(failed))
                return
            self.later(1, lambda: reply(done._replace(offset=offset)))

        self.later(self.random.randint(1, 4), write)

    def _start_exchange(self, member_id: str, daemon: Daemon, effect: fx.StartExchange) -> None:
        headers = dict(effect.headers)
        key = (member_id, daemon.state.incarnation, effect.exchange_id)

        def reply(event: ev.Event) -> None:
            if self.daemons[member_id] is daemon and key not in self._stopped_exchanges:
                self.give(member_id, event)

        def arrive() -> None:
            if self.crash_on and self.crash_on in effect.body:
                self.crashes.append(effect.address)
                cut = ev.ExchangeFailed(effect.exchange_id, True, True, "crashed")
                self.later(2, lambda: reply(cut))
                return
            if key in self._stopped_exchanges:
                return
            if "x-call-number" in headers:
                self.in_progress.add(key)
                self.most_in_progress = max(self.most_in_progress, len(self.in_progress))
                self.later(effect.time_limit_ms, lambda: self.in_progress.discard(key))
            if effect.address in self.engine_hangs:
                return
            for event, after_ms in self._serve(effect, headers):
                self.later(after_ms, partial(reply, event))
            self.later(after_ms, lambda: self.in_progress.discard(key))

        self.later(self.random.randint(1, 3), arrive)
        failed = ev.ExchangeFailed(effect.exchange_id, True, False, "time limit")
        self.later(effect.time_limit_ms, lambda: reply(failed))

    def _serve(
        self, effect: fx.StartExchange, headers: dict[str, str]
    ) -> list[tuple[ev.Event, int]]:
        number = effect.exchange_id
        program_id = headers.get("x-program-id", "")
        held = self.held_cache.setdefault(effect.address, set())
        if effect.path == "/v1/chat/completions":
            held.add(program_id)
            root_id = program_id.split("/")[0]
            served = self.served_tokens.get(root_id, 0)
            self.served_tokens[root_id] = served + PROMPT_TOKENS + COMPLETION_TOKENS
            return completion(number, program_id, headers, self.service_delay_ms)
        if effect.path == "/v1/cache":
            listed = {"programs": [{"program_id": p, "tokens": 1} for p in sorted(held)]}
            return whole(number, json.dumps(listed).encode(), 1)
        if effect.path == "/v1/cache/release":
            held.discard(json.loads(effect.body)["program_id"])
            return whole(number, b'{"released_tokens": 1}', 1)
        call_number = int(headers["x-call-number"])
        self.effects.append(Effect(program_id, call_number, self.now_ms))
        body = {"program": program_id, "call": call_number}
        return whole(number, json.dumps(body).encode(), self.service_delay_ms)

"""A keeper with its quarantine, fakes for the rest of the daemon, and a clock to turn by hand."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from typing import TypeVar
from typing import cast

from quincespool.core import effects as fx
from quincespool.core import events as ev
from quincespool.core import messages as ms
from quincespool.core.context import CatalogueView
from quincespool.core.context import Context
from quincespool.core.keeper import reducer as keeper
from quincespool.core.members import Member
from quincespool.core.quarantine import reducer as quarantine
from quincespool.core.timers import Timers
from quincespool.settings import Settings

Kind = TypeVar("Kind")
CHAT = (
    b'data: {"choices":[{"index":0,"delta":{"content":"in stock"},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":5}}}\n\n'
    b"data: [DONE]\n\n"
)


def make_settings() -> Settings:
    """Returns the settings of daemon `k1`."""
    return Settings(
        member_id="k1",
        zone="z",
        host="127.0.0.1",
        http_port=1,
        peer_port=2,
        log_address="127.0.0.1:3",
        partition_count=8,
    )


class FakeMembers:
    def __init__(self, ids: list[str]) -> None:
        self.ids = ids
        self.leaving: set[str] = set()
        self.self_id = "k1"
        self.settled = True
        self.incarnation = 1

    def alive(self) -> tuple[Member, ...]:
        return tuple(Member(one, 1, "z", "127.0.0.1", 1, 2) for one in sorted(self.ids))

    def find(self, member_id: str) -> Member | None:
        return next((one for one in self.alive() if one.member_id == member_id), None)

    def backend_leaving(self, address: str) -> bool:
        return address in self.leaving


class FakeClaims:
    def __init__(self) -> None:
        self.holders: dict[str, str] = {}
        self.epochs: dict[str, int] = {}
        self.fresh = True

    def epoch_held(self, resource: str) -> int | None:
        return self.epochs.get(resource) if self.fresh else None

    def holder(self, resource: str) -> str | None:
        return self.holders.get(resource)


class Bench:
    """The keeper `k1`, which holds the engine `e` and the service `s`, two slots each."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000
        self.timers = Timers()
        self.backends: dict[str, dict[str, Any]] = {}
        self.members = FakeMembers(["k1", "o1", "o2"])
        self.claims = FakeClaims()
        self.quarantine = quarantine.make_quarantine(make_settings(), incarnation=1)
        self.keeper = keeper.make_keeper(make_settings(), incarnation=1, quarantine=self.quarantine)
        self.effects: fx.Effects = []
        for name, kind in (("e", "model"), ("s", "service")):
            self.backends[name] = {
                "address": f"127.0.0.1:{name}",
                "backend_kind": kind,
                "slots": 2,
            }
            self.claims.holders[f"backend/{name}"] = "k1"
            self.claims.epochs[f"backend/{name}"] = 41
        self.give(ev.RecordsRead("quarantine", (), 0, 0))

    @property
    def context(self) -> Context:
        view = cast("CatalogueView", SimpleNamespace(backends=lambda: self.backends))
        return Context(self.now_ms, view, self.members, self.claims, self.timers)

    def give(self, event: ev.Event) -> fx.Effects:
        """Hands an event to both parts, and what is due then; returns the effects."""
        before = len(self.effects)
        self._reduce(event)
        for fired in self.timers.pop_due(self.now_ms):
            self._reduce(fired)
        return self.effects[before:]

    def tell(self, sender: str, message: ms.Message) -> fx.Effects:
        return self.give(ev.MessageReceived(sender, message))

    def wait(self, duration_ms: int) -> fx.Effects:
        """Lets time go by, timer after timer."""
        before = len(self.effects)
        end_ms = self.now_ms + duration_ms
        while (due_ms := self.timers.next_due_ms()) is not None and due_ms <= end_ms:
            self.now_ms = max(self.now_ms, due_ms)
            for fired in self.timers.pop_due(self.now_ms):
                self._reduce(fired)
        self.now_ms = end_ms
        return self.effects[before:]

    def finish_chat(self, exchange_id: int, chat: bytes = CHAT) -> fx.Effects:
        """Answers a model call."""
        before = len(self.effects)
        self.give(ev.ExchangeHead(exchange_id, 200, {}))
        self.give(ev.ExchangeData(exchange_id, chat))
        self.give(ev.ExchangeEnd(exchange_id))
        return self.effects[before:]

    def answer(
        self, exchange_id: int, status: int, headers: dict[str, str] | None = None
    ) -> fx.Effects:
        """Answers a service call, or a model call with an error."""
        self.give(ev.ExchangeHead(exchange_id, status, headers or {}))
        self.give(ev.ExchangeData(exchange_id, b'{"n":1}'))
        return self.give(ev.ExchangeEnd(exchange_id))

    def cut(self, exchange_id: int) -> fx.Effects:
        return self.give(ev.ExchangeFailed(exchange_id, sent=True, cut=True, detail="reset"))

    def _reduce(self, event: ev.Event) -> None:
        self.effects += quarantine.reduce(self.quarantine, self.context, event)
        self.effects += keeper.reduce(self.keeper, self.context, event)


def dispatch(attempt_id: str, **changes: Any) -> ms.Dispatch:
    """Returns an attempt of a model call (or service call, with `backend="s"`)."""
    service = changes.get("backend") == "s"
    base = ms.Dispatch(
        attempt_id=attempt_id,
        backend="e",
        program_id=f"p-{attempt_id}",
        call_number=1,
        epoch=10,
        call_kind="service" if service else "model",
        target="t",
        path="/run" if service else "/v1/chat/completions",
        body=b'{"model":"m","messages":[]}',
        non_idempotent=False,
        priority=5,
        time_limit_ms=20_000,
        max_tokens=9,
        prompt_tokens=3,
        attained_ms=0,
        fingerprint=f"f-{attempt_id}",
        keeper_incarnation=0,
    )
    return base._replace(**changes)


def crash(bench: Bench, fingerprint: str, backend: str) -> fx.Effects:
    """Tells the bench's quarantine, as the owner does, that a request crashed a server."""
    return bench.quarantine.note_crash(
        bench.context,
        fingerprint=fingerprint,
        backend=backend,
        program_id="p",
        call_number=1,
        class_name="stock",
    )


def of(effects: list[fx.Effect], kind: type[Kind]) -> list[Kind]:
    """Returns the effects of one kind."""
    return [effect for effect in effects if isinstance(effect, kind)]


def told(effects: list[fx.Effect], kind: type[Kind]) -> list[Kind]:
    """Returns the messages of one kind."""
    sent = of(effects, fx.SendMessage)
    return [send.message for send in sent if isinstance(send.message, kind)]


def ends(effects: list[fx.Effect]) -> list[tuple[str, str, str]]:
    """Returns attempt id, verdict and reason of what has ended."""
    return [(one.attempt_id, one.verdict, one.reason) for one in told(effects, ms.DispatchDone)]


def started(effects: list[fx.Effect]) -> list[str]:
    """Returns the attempts that have been started."""
    headers = [dict(start.headers) for start in of(effects, fx.StartExchange)]
    return [one["x-request-id"] for one in headers if "x-request-id" in one]

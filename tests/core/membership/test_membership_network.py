"""A network of membership parts in virtual time, for the other membership tests."""

from __future__ import annotations

import heapq
import random
import time
from typing import TYPE_CHECKING
from typing import cast

from quincespool.core import effects as fx
from quincespool.core import events as ev
from quincespool.core.context import Context
from quincespool.core.membership.gossip import update_bytes
from quincespool.core.membership.reducer import make_membership
from quincespool.core.membership.reducer import reduce
from quincespool.core.membership.reducer import say_left
from quincespool.core.messages import MembersTold
from quincespool.core.timers import Timers
from quincespool.settings import Settings

if TYPE_CHECKING:
    from quincespool.core.context import CatalogueView
    from quincespool.core.context import ClaimsView

HEADER_BYTES = 28 + 88
START_MS = 1_000_000_000
STALE_AFTER_MS = 1_500


class NoBackends:
    """The part of a catalogue that membership uses."""

    def backends(self) -> dict[str, object]:
        return {}


class Node:
    """A process: the part, its timers, and what waits in its socket while it is frozen."""

    def __init__(self, number: int, seeds: tuple[str, ...], now_ms: int) -> None:
        settings = Settings(
            member_id=f"m{number}",
            zone=f"zone-{number % 3}",
            host=f"10.0.{number // 250}.{number % 250 + 1}",
            http_port=80,
            peer_port=7000,
            log_address="",
            seeds=seeds,
        )
        self.state = make_membership(settings, incarnation=now_ms, seed=now_ms + number)
        self.timers = Timers()
        self.address = f"{settings.host}:{settings.peer_port}"
        self.frozen_ms = 0
        self.buffer: list[ev.Event] = []
        self.wake_ms = 0
        self.sent_bytes = 0
        self.told: tuple[str, ...] = ()


class Network:
    """Delivers datagrams and messages late, twice, out of order or not at all."""

    def __init__(self, count: int, *, seed: int = 1, loss: float = 0) -> None:
        self.rng = random.Random(seed)
        self.now_ms = START_MS
        self.loss = loss
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[str, str] = {}
        self.side: dict[str, int] = {}
        self.queue: list[tuple[int, int, str, ev.Event | None]] = []
        self.pushed = 0
        self.events = 0
        self.cpu_s = 0.0
        self.false_deaths = 0
        for number in range(count):
            self.start(number)

    def start(self, number: int) -> None:
        self.now_ms += 1
        node = Node(number, ("10.0.0.1:7000", "10.0.0.2:7000"), self.now_ms)
        self.nodes[node.state.self_id] = node
        self.by_address[node.address] = node.state.self_id
        self.handle(node, ev.Started())

    def freeze(self, member_id: str) -> None:
        self.nodes[member_id].frozen_ms = self.now_ms

    def thaw(self, member_id: str) -> None:
        node = self.nodes[member_id]
        gap_ms = self.now_ms - node.frozen_ms
        node.frozen_ms = 0
        if gap_ms > STALE_AFTER_MS:
            self.handle(node, ev.Woken(gap_ms))
            node.buffer = [e for e in node.buffer if isinstance(e, ev.DatagramReceived)]
        self.fire_timers(node)
        for event in node.buffer:
            self.handle(node, event)
        node.buffer = []

    def stop(self, member_id: str) -> None:
        node = self.nodes.pop(member_id)
        self.carry_out(node, say_left(node.state))

    def run(self, ms: int) -> None:
        until_ms = self.now_ms + ms
        while self.queue and self.queue[0][0] <= until_ms:
            self.now_ms, _, member_id, event = heapq.heappop(self.queue)
            node = self.nodes.get(member_id)
            if node is None:
                continue
            if node.frozen_ms:
                node.buffer += [event] if event else []
            elif event:
                self.handle(node, event)
            elif self.now_ms >= node.wake_ms:
                self.fire_timers(node)
        self.now_ms = until_ms

    def agreed(self, without: frozenset[str] = frozenset()) -> bool:
        nodes = [node for member_id, node in self.nodes.items() if member_id not in without]
        truth = sorted((node.state.self_id, node.state.incarnation) for node in nodes)
        return all(
            len(node.state.alive()) == len(truth)
            and [member[:2] for member in node.state.alive()] == truth
            for node in nodes
        )

    def ms_until_agreed(self, without: frozenset[str] = frozenset(), limit_ms: int = 90_000) -> int:
        began_ms = self.now_ms
        while not self.agreed(without) and self.now_ms - began_ms < limit_ms:
            self.run(100)
        return self.now_ms - began_ms

    def fire_timers(self, node: Node) -> None:
        node.wake_ms = 0
        for fired in node.timers.pop_due(self.now_ms):
            self.handle(node, fired)
        self.wake_at(node, node.timers.next_due_ms() or 0)

    def handle(self, node: Node, event: ev.Event) -> None:
        self.events += 1
        context = Context(
            self.now_ms,
            cast("CatalogueView", NoBackends()),
            node.state,
            cast("ClaimsView", None),
            node.timers,
        )
        began_s = time.perf_counter()
        out = reduce(node.state, context, event)
        self.cpu_s += time.perf_counter() - began_s
        self.wake_at(node, node.timers.next_due_ms() or 0)
        self.carry_out(node, out)

    def wake_at(self, node: Node, due_ms: int) -> None:
        if node.wake_ms and node.wake_ms <= due_ms:
            return
        node.wake_ms = max(due_ms, self.now_ms)
        self.push(node.state.self_id, node.wake_ms, None)

    def carry_out(self, node: Node, out: list[fx.Effect]) -> None:
        for effect in out:
            match effect:
                case fx.SendDatagram():
                    self.send_datagram(node, effect)
                case fx.SendMessage(member_id=to_id, message=MembersTold() as message):
                    self.send_message(node, to_id, message)
                case fx.Raise(event=ev.MembersChanged(members=members)):
                    node.told = tuple(member.member_id for member in members)
                case fx.Raise(event=event):
                    self.handle(node, event)
                case fx.Log(fields={"member_ids": list() as ids}):
                    self.false_deaths += sum(1 for member_id in ids if member_id in self.nodes)

    def send_datagram(self, node: Node, sent: fx.SendDatagram) -> None:
        node.sent_bytes += HEADER_BYTES + sum(map(update_bytes, sent.datagram.updates))
        to_id = self.by_address.get(f"{sent.host}:{sent.port}", "")
        host, _, port = node.address.rpartition(":")
        event = ev.DatagramReceived(host, int(port), sent.datagram)
        copies = 2 if self.loss and self.rng.random() < self.loss else 1
        for _ in range(copies):
            if self.reaches(node.state.self_id, to_id) and self.rng.random() >= self.loss:
                delay_ms = self.rng.randint(1, 200 if copies == 2 else 8)
                self.push(to_id, self.now_ms + delay_ms, event)

    def send_message(self, node: Node, to_id: str, message: MembersTold) -> None:
        node.sent_bytes += HEADER_BYTES + sum(map(update_bytes, message.updates))
        if to_id in self.nodes and self.reaches(node.state.self_id, to_id):
            event = ev.MessageReceived(node.state.self_id, message)
            self.push(to_id, self.now_ms + self.rng.randint(1, 8), event)
        else:
            self.push(node.state.self_id, self.now_ms + 8, ev.LinkDown(to_id))

    def reaches(self, from_id: str, to_id: str) -> bool:
        return self.side.get(from_id, 0) == self.side.get(to_id, 0)

    def push(self, member_id: str, at_ms: int, event: ev.Event | None) -> None:
        self.pushed += 1
        heapq.heappush(self.queue, (at_ms, self.pushed, member_id, event))

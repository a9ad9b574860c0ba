"""Tests of the links between daemons."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest

from quincespool.core.effects import SendDatagram
from quincespool.core.events import DatagramReceived
from quincespool.core.events import LinkDown
from quincespool.core.events import MessageReceived
from quincespool.core.members import Member
from quincespool.core.messages import ForwardText
from quincespool.core.messages import Ping
from quincespool.net.codec import Hello
from quincespool.net.codec import encode
from quincespool.net.framing import FrameError
from quincespool.net.framing import FrameReader
from quincespool.net.framing import frame
from quincespool.net.gossip import Gossip
from quincespool.net.held_memory import HeldMemory
from quincespool.net.metrics import Metrics
from quincespool.net.peers import Peers
from tests.net.conftest import typed
from tests.net.conftest import until

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.events import Event
    from quincespool.settings import Settings
    from tests.net.conftest import StepClock


class Daemon:
    """The links of one daemon, and the events they made."""

    def __init__(self, settings: Settings, clock: StepClock, incarnation: int) -> None:
        self.events: list[Event] = []
        self.known: dict[str, Member] = {}
        self.incarnation = incarnation
        self.on_event: Callable[[Event], None] = lambda _: None
        self.peers = Peers(
            settings=settings,
            memory=HeldMemory(10_000_000),
            max_incoming=10,
            incarnation=incarnation,
            find_member=self.known.get,
            post=self._post,
            clock=clock,
            metrics=Metrics(),
        )

    def _post(self, event: Event) -> None:
        self.events.append(event)
        self.on_event(event)

    def knows(self, other: Daemon) -> None:
        name = other.peers.member_id
        self.known[name] = Member(name, other.incarnation, "z", "127.0.0.1", 1, other.peers.port)


class Deployment:
    """Makes daemons."""

    def __init__(self, settings: Settings, clock: StepClock) -> None:
        self._settings = settings
        self._clock = clock

    async def daemon(self, member_id: str, *, incarnation: int = 1) -> Daemon:
        values = {name: getattr(self._settings, name) for name in self._settings.__struct_fields__}
        settings = type(self._settings)(**{**values, "member_id": member_id})
        daemon = Daemon(settings, self._clock, incarnation)
        await daemon.peers.start()
        return daemon


@pytest.fixture
def deployment(settings: Settings, clock: StepClock) -> Deployment:
    return Deployment(settings, clock)


def text(number: int) -> ForwardText:
    return ForwardText(ticket=number, text="t")


def received(daemon: Daemon) -> list[int]:
    messages = [e.message for e in daemon.events if isinstance(e, MessageReceived)]
    return [m.ticket for m in messages if isinstance(m, ForwardText)]


async def test_messages_arrive_in_order_with_their_sender(deployment: Deployment) -> None:
    a, b = await deployment.daemon("a"), await deployment.daemon("b")
    a.knows(b)
    for number in range(100):
        a.peers.send("b", text(number))
    await until(lambda: len(b.events) == 100)
    assert b.events[0] == MessageReceived("a", text(0))
    assert received(b) == list(range(100))
    assert a.events == []


async def test_link_that_cannot_be_made_is_told(deployment: Deployment) -> None:
    a, b = await deployment.daemon("a"), await deployment.daemon("b")
    a.knows(b)
    b.peers.close()
    a.peers.send("b", text(1))
    a.peers.send("unknown", text(1))
    await until(lambda: len(a.events) == 2)
    assert typed(a.events) == typed([LinkDown("unknown"), LinkDown("b")])


async def test_both_ends_are_told_of_a_broken_link_and_a_new_one_starts_afresh(
    deployment: Deployment,
) -> None:
    a, b = await deployment.daemon("a"), await deployment.daemon("b")
    a.knows(b)
    a.peers.send("b", text(1))
    await until(lambda: b.events)
    a.peers.close_links()
    await until(lambda: len(b.events) == 2)
    a.peers.send("b", text(2))
    await until(lambda: len(b.events) == 3)
    assert typed(a.events) == typed([LinkDown("b")])
    assert b.events == [
        MessageReceived("a", text(1)),
        LinkDown("a"),
        MessageReceived("a", text(2)),
    ]


async def test_process_that_stood_still_while_connecting_sends_nothing(
    deployment: Deployment, clock: StepClock
) -> None:
    """A message of a holder that has been replaced.

    Symptom: a dispatch arrives from an owner that lost its partition a minute ago. Events: the
    message waits for the link, the process stands still, goes on, and the link is made. Cause: what
    waits is sent without a look at how long it has waited.
    """
    a, b = await deployment.daemon("a"), await deployment.daemon("b")
    a.knows(b)
    a.peers.send("b", text(1))
    await asyncio.sleep(0)
    clock.ahead_ms = 60_000
    await until(lambda: a.events)
    a.peers.send("b", text(2))
    await until(lambda: received(b))
    assert typed(a.events) == typed([LinkDown("b")])
    assert received(b) == [2]


async def test_closing_links_drops_what_has_come_in_but_was_not_handled(
    deployment: Deployment,
) -> None:
    """Old messages after a pause.

    Symptom: a daemon that has just found out that it stood still acts on messages from before.
    Events: many messages wait on a link, the first event says `Woken`, the links are closed. Cause:
    the messages in the same read are handed on nevertheless.
    """
    a, b = await deployment.daemon("a"), await deployment.daemon("b")
    a.knows(b)
    b.on_event = lambda event: b.peers.close_links() if isinstance(event, MessageReceived) else None
    for number in range(50):
        a.peers.send("b", text(number))
    await until(lambda: a.events)
    assert typed(b.events) == typed([MessageReceived("a", text(0)), LinkDown("a")])


async def test_daemon_started_anew_gets_a_new_link(deployment: Deployment) -> None:
    a, b = await deployment.daemon("a"), await deployment.daemon("b")
    a.knows(b)
    a.peers.send("b", text(1))
    await until(lambda: received(b))
    anew = await deployment.daemon("b", incarnation=2)
    a.knows(anew)
    a.peers.send("b", text(2))
    await until(lambda: received(anew))
    assert typed(a.events) == typed([LinkDown("b")])
    assert (received(b), received(anew)) == ([1], [2])


async def test_earlier_incarnation_cannot_speak_after_its_successor(deployment: Deployment) -> None:
    """Two processes of one name.

    Symptom: messages of a replaced process undo those of its successor. Events: a daemon is
    replaced while the old process is cut off or paused; it comes back. Cause: links are told apart
    by name only.
    """
    b = await deployment.daemon("b")
    old = await deployment.daemon("a", incarnation=1)
    new = await deployment.daemon("a", incarnation=2)
    old.knows(b)
    new.knows(b)
    new.peers.send("b", text(2))
    await until(lambda: received(b) == [2])
    old.peers.send("b", text(1))
    await until(lambda: old.events)
    assert received(b) == [2]
    assert new.events == []


def first_frames(*messages: bytes) -> bytes:
    return b"".join(frame(message) for message in messages)


@pytest.mark.parametrize(
    "data",
    [
        first_frames(encode("a", Hello(1, "other")), encode("a", text(1))),
        first_frames(encode("a", text(1))),
        first_frames(encode("a", Hello(1, "b")), encode("x", text(1))),
        first_frames(encode("a", Hello(1, "b")), encode("a", Ping(1, "a", ()))),
        b"\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
    ids=["target", "hello", "sender", "datagram", "length", "http"],
)
async def test_links_that_are_not_ours_are_closed(deployment: Deployment, data: bytes) -> None:
    b = await deployment.daemon("b")
    reader, writer = await asyncio.open_connection("127.0.0.1", b.peers.port)
    writer.write(data)
    with contextlib.suppress(ConnectionResetError):
        await reader.read()
    writer.close()
    assert received(b) == []


async def test_message_that_cannot_be_read_is_dropped_and_the_link_goes_on(
    deployment: Deployment,
) -> None:
    b = await deployment.daemon("b")
    _, writer = await asyncio.open_connection("127.0.0.1", b.peers.port)
    hello = encode("a", Hello(1, "b"))
    writer.write(first_frames(hello, b"junk", encode("a", text(3))))
    await until(lambda: received(b) == [3])
    writer.close()


def test_frames_in_pieces() -> None:
    reader = FrameReader()
    got = []
    for byte in frame(b"abc") + frame(b"d"):
        reader.feed(bytes([byte]))
        got.append(reader.next_message())
    assert [message for message in got if message] == [b"abc", b"d"]
    reader.feed(b"\0\0\0\0")
    with pytest.raises(FrameError):
        reader.next_message()


async def test_datagrams_and_junk(settings: Settings) -> None:
    events: list[Event] = []
    gossip = Gossip(settings=settings, post=events.append, metrics=Metrics())
    await gossip.start()
    assert gossip._transport is not None
    host, port = gossip._transport.get_extra_info("sockname")
    gossip._transport.sendto(b"junk", (host, port))
    gossip.send(SendDatagram(host, port, Ping(1, "m1", ())))
    await until(lambda: events)
    assert events == [DatagramReceived(host, port, Ping(1, "m1", ()))]
    gossip.close()

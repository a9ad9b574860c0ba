"""One connection of a caller or operator: HTTP/1.1 by `h11`, one request at a time.

Whatever comes in is bounded in size and time, so that no caller can harm another one's request by
sending too much, too slowly or never, or by not reading its answer.
"""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING
from typing import cast

import h11

from quincespool.net.arrival_times import ArrivalTimes
from quincespool.net.connection_memory import ConnectionMemory
from quincespool.net.connection_phase import Phase
from quincespool.net.connection_phase import PhaseTimer
from quincespool.net.http_response import encode_response
from quincespool.net.http_response import make_head
from quincespool.net.incoming_request import IncomingRequest
from quincespool.net.incoming_request import head_too_large
from quincespool.net.read_stall import ReadStall
from quincespool.net.requests import RequestError
from quincespool.net.socket_options import reset_on_close

if TYPE_CHECKING:
    from quincespool.net.connection_owner import ConnectionOwner
    from quincespool.net.http_response import Headers
    from quincespool.net.http_response import HttpResponse
    from quincespool.net.requests import HttpRequest

MAX_SENT_AHEAD_BYTES = 65_536
# Of whole answers, before the next request on the connection is taken.
MAX_UNREAD_BYTES = 16_384
# Of a stream that goes on meanwhile.
MAX_UNSENT_BYTES = 1_048_576

HTTP_1_1 = b"1.1"


class Connection(asyncio.Protocol):
    """The server's side of one connection.

    Attributes:
      waited_s: For how long the last request has waited behind earlier ones.
    """

    def __init__(self, owner: ConnectionOwner[Connection]) -> None:
        self._owner = owner
        # This bound stays for the life of a connection; `_await_data` has the one in force.
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._timer = PhaseTimer(lambda: owner.limits, self._out_of_time)
        self._stall: ReadStall
        self._incoming: IncomingRequest | None = None
        self._memory: ConnectionMemory
        self._arrivals = ArrivalTimes()
        self._lost = False
        # Whether what has arrived waits until its owner takes requests again.
        self._held = False
        self._request: HttpRequest | None = None
        self.waited_s = 0.0

    @property
    def lost(self) -> bool:
        """Whether nothing can be sent to the caller any more."""
        return self._lost

    @property
    def busy(self) -> bool:
        """Whether a request is coming in, being answered or its answer may not be read yet."""
        unsent = not self._lost and self._transport.get_write_buffer_size() > 0
        return unsent or self._held or not self._is_idle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the time limit for the first request."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        self._stall = ReadStall(self._transport, drop=self._drop)
        self._memory = ConnectionMemory(self._owner.memory, self, self._transport)
        if not self._owner.opened(self):
            self._owner.overloaded(self)
            # It must not linger, since it counts nowhere.
            self._transport.close()
            return
        self._timer.enter(Phase.NEW)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the server that the caller has gone."""
        self._lost = True
        self._stall.stop()
        self._timer.stop()
        self._memory.close()
        self._owner.closed(self)

    def data_received(self, data: bytes) -> None:
        """Takes what the caller sends."""
        if self._timer.phase is Phase.DISCARD:
            return
        self._arrivals.add(len(data), self._loop.time())
        self._http.receive_data(data)
        if not self._is_waiting:
            self._advance()
        if self._is_waiting and self._sent_ahead_bytes > MAX_SENT_AHEAD_BYTES:
            # A caller that sends request after request while one is answered, or that doesn't read
            # its answers, would fill memory.
            self._transport.pause_reading()
        self._report_held()

    def eof_received(self) -> bool:
        """Takes the end of what the caller sends for the end of its interest.

        A caller that closes and one that closes only its sending side look alike; waiting for the
        difference would keep calls of callers that have gone running.
        """
        partial = self._timer.phase is Phase.BODY or (
            self._timer.phase is Phase.HEAD and bool(self._http.trailing_data[0])
        )
        if not partial:
            return False
        self._owner.refuse(self, RequestError(status=400, message="the request ended early"))
        return True

    def pause_writing(self) -> None:
        """Starts the time limit for a caller that does not read."""
        self._stall.start()

    def resume_writing(self) -> None:
        """Goes on with the next request, which waited for the last answer to be read."""
        self._stall.stop()
        self._loop.call_soon(self._advance)

    def respond(self, response: HttpResponse) -> None:
        """Sends a whole response and takes the next request."""
        if self._lost or self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        headers = [*response.headers, ("content-length", str(len(response.body)))]
        head = self._response_head(response.status, headers)
        self._write(encode_response(self._http, head, response.body))
        self._finish()

    def start_stream(self, status: int, headers: Headers) -> None:
        """Sends the head of a response whose body follows piece by piece."""
        if self._lost:
            return
        if self._ends_by_close:
            # Only a reset tells a response that is broken off from a complete one.
            reset_on_close(self._transport, enabled=True)
        self._write(self._http.send(self._response_head(status, headers)))

    def send_piece(self, data: bytes) -> None:
        """Sends a piece of the body, or drops a caller that reads too slowly to be waited for."""
        if self._lost:
            return
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._drop()
            return
        self._write(self._http.send(h11.Data(data=data)))

    def end_stream(self) -> None:
        """Ends a response that has been sent piece by piece and takes the next request."""
        if self._lost:
            return
        if self._ends_by_close:
            reset_on_close(self._transport, enabled=False)
        self._write(self._http.send(h11.EndOfMessage()))
        self._finish()

    def fail(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answers a request whose handler has failed; breaks off an answer that has begun.

        Without effect if the request was answered whole before.
        """
        if self._lost or self._request is not request:
            return
        if self._http.our_state is h11.SEND_RESPONSE:
            self.respond(response)
        else:
            self.abort()

    def abort(self) -> None:
        """Breaks the connection off."""
        self._lost = True
        self._transport.abort()

    @property
    def _is_idle(self) -> bool:
        """Whether nothing of a request has come since the last answer."""
        return self._timer.phase in {Phase.NEW, Phase.IDLE}

    @property
    def _is_receiving(self) -> bool:
        """Whether the next request is awaited or arrives."""
        return self._is_idle or self._timer.phase in {Phase.HEAD, Phase.BODY}

    @property
    def _is_waiting(self) -> bool:
        """Whether requests that arrive wait, for an answer or for the owner."""
        return self._held or self._timer.phase is Phase.ANSWER or self._stall.is_running

    @property
    def _sent_ahead_bytes(self) -> int:
        """Size of what has arrived behind the current request."""
        return len(self._http.trailing_data[0])

    @property
    def _ends_by_close(self) -> bool:
        """Whether the caller knows no chunks, so that its connection ends a streamed response."""
        version = self._http.their_http_version
        return version is not None and version < HTTP_1_1

    def evict(self) -> None:
        """See `Evictable.evict`."""
        self.abort()

    def measure_held(self) -> int:
        """See `Holder.measure_held`."""
        return 0 if self._lost else self._memory.measure(self._arrived_bytes)

    def shed(self) -> None:
        """See `Holder.shed`. Refuses a request that is still arriving, and may go elsewhere."""
        if self._timer.phase is Phase.BODY:
            self._owner.overloaded(self)
        else:
            self._drop()

    def apply_limits(self) -> None:
        """Has the present time limit follow a change of the limits in force."""
        self._timer.apply_limits()

    def resume(self) -> None:
        """Takes what has arrived while the owner took no requests."""
        if self._held and not self._lost:
            self._held = False
            self._timer.apply_limits()
            self._advance()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is on it."""
        if not self.busy:
            self._transport.close()

    def _drop(self) -> None:
        self._owner.dropped()
        self.abort()

    def _advance(self) -> None:
        if self._lost:
            return
        if not self._owner.may_take():
            self._held = True
            # Nothing of it is late while it waits here.
            self._timer.stop()
            return
        while self._is_receiving and not self._stall.is_running:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse_protocol(error)
                return
            if event is h11.NEED_DATA:
                self._await_data()
                return
            self._take(event)

    def _await_data(self) -> None:
        self._transport.resume_reading()
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(go_on))
        arrived_bytes = self._sent_ahead_bytes
        if self._is_idle and arrived_bytes:
            self._timer.enter(Phase.HEAD)
        max_head_bytes = self._owner.limits.max_head_bytes
        if arrived_bytes > max_head_bytes:
            self._owner.refuse(self, head_too_large(max_head_bytes))

    def _take(self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]) -> None:
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._take_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._take_end()
        else:
            self._transport.close()
            self._timer.enter(Phase.DISCARD)

    def _take_head(self, head: h11.Request) -> None:
        self._incoming = IncomingRequest(head)
        self._timer.enter(Phase.BODY)
        fault = self._incoming.find_head_fault(self._owner.limits)
        if fault is not None:
            self._owner.refuse(self, fault)

    def _take_data(self, data: bytes) -> None:
        assert self._incoming is not None
        fault = self._incoming.add(data, self._owner.limits)
        if fault is not None:
            self._owner.refuse(self, fault)

    def _take_end(self) -> None:
        assert self._incoming is not None
        incoming, self._incoming = self._incoming, None
        self._timer.enter(Phase.ANSWER)
        arrived_s = self._arrivals.consume(left_bytes=self._sent_ahead_bytes)
        self.waited_s = self._loop.time() - arrived_s
        if not self._memory.reserve(incoming.cost_bytes):
            self._owner.overloaded(self)
            return
        if self._lost:
            # The reservation has shed this connection: nobody would get the answer.
            return
        self._request = incoming.to_request()
        self._owner.handle(self, self._request)

    def _finish(self) -> None:
        """After a response: the next request, or the end of the connection."""
        self._request = None
        self._memory.release()
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._timer.enter(Phase.IDLE)
            self._loop.call_soon(self._advance)
            return
        self._incoming = None
        self._linger()

    def _linger(self) -> None:
        """Sends no more, and reads on for a while behind the last answer.

        Closing with bytes unread resets the connection; a caller that has sent more, such as the
        rest of what was refused or its next request, would see the reset in place of the answer.
        Reading until the caller closes prevents it.
        """
        self._timer.enter(Phase.DISCARD)
        self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def _out_of_time(self) -> None:
        if self._timer.phase is Phase.DISCARD:
            self.abort()
            return
        if self._timer.phase is Phase.BODY or self._http.trailing_data[0]:
            message = "the request did not arrive whole in time"
            self._owner.refuse(self, RequestError(status=408, message=message))
            return
        self.abort()

    def _refuse_protocol(self, error: h11.RemoteProtocolError) -> None:
        status = error.error_status_hint
        self._owner.refuse(
            self, RequestError(status=status, message=f"unreadable as HTTP/1.1: {error}")
        )

    def _write(self, data: bytes | None) -> None:
        if data:
            self._transport.write(data)
            self._memory.record_write(len(data))
            self._report_held()

    def _report_held(self) -> None:
        if not self._lost:
            self._memory.report(self._arrived_bytes)

    @property
    def _arrived_bytes(self) -> int:
        """Memory of what has arrived, but for the request under way."""
        arriving_bytes = self._incoming.held_bytes if self._incoming is not None else 0
        return arriving_bytes + self._sent_ahead_bytes

    def _response_head(self, status: int, headers: Headers) -> h11.Response:
        is_unread = self._http.their_state is not h11.DONE
        # What came behind this request is answered first, and says it in its turn.
        ends_here = self._owner.draining and not self._sent_ahead_bytes
        return make_head(status, headers, closes=ends_here or is_unread)

"""Messages as Cap'n Proto bytes, mapped by name from `NamedTuple` to struct.

The mapping knows no message by itself: the fields of a NamedTuple are those of the struct of the
same name, `snake_case` here and `camelCase` there. A schema has one `Envelope` with a version, the
sender and a union of all messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import capnp

if TYPE_CHECKING:
    from pathlib import Path

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 32_000_000


class CodecError(Exception):
    """Bytes that are no message of this protocol version, or a message that does not fit in it."""


class _Field(NamedTuple):
    name: str
    is_list: bool
    element: _Plan | None


class _Plan(NamedTuple):
    kind: type[Any]
    union_name: str
    fields: tuple[_Field, ...]


class StructCodec:
    """Encodes and decodes the messages of one schema."""

    def __init__(
        self, schema_path: Path, kinds: tuple[type[Any], ...], *, packed: bool = False
    ) -> None:
        """Makes a codec.

        Args:
          schema_path: The schema, with an `Envelope`.
          kinds: All messages in its union.
          packed: Whether zero bytes are left out, which costs a little processor time and takes
            half of the bytes where messages are mostly small numbers.
        """
        self._packed = packed
        # The parser owns the memory of its schemas: were it collected, the first message would
        # crash the process with a segmentation fault. So it is kept for as long as the codec.
        self._parser = capnp.SchemaParser()
        self._envelope = self._parser.load(str(schema_path), imports=[]).Envelope
        self._plans = {kind: _make_plan(kind) for kind in kinds}
        self._by_union_name = {plan.union_name: plan for plan in self._plans.values()}

    def encode(self, sender: str, message: Any) -> bytes:
        """Returns the bytes of one message.

        Raises:
          CodecError: if a value does not fit its field, such as a number beyond 64 bits.
        """
        plan = self._plans[type(message)]
        envelope = self._envelope.new_message()
        try:
            envelope.version = PROTOCOL_VERSION
            envelope.sender = sender
            _write(envelope.init(plan.union_name), plan, message)
            encoded: bytes = envelope.to_bytes_packed() if self._packed else envelope.to_bytes()
        except (capnp.KjException, ValueError, OverflowError, TypeError) as error:
            raise CodecError(f"{type(message).__name__}: {error}") from error
        if len(encoded) > MAX_MESSAGE_BYTES:
            raise CodecError(f"{type(message).__name__}: {len(encoded)} bytes are too many")
        return encoded

    def decode(self, data: bytes) -> tuple[str, Any]:
        """Returns the sender and the message in `data`, which must be one whole encoded message.

        Raises:
          CodecError: if it is damaged, of another protocol version or of an unknown kind.
        """
        try:
            if self._packed:
                envelope = self._envelope.from_bytes_packed(data)
                return envelope.sender, self._read_envelope(envelope)
            with self._envelope.from_bytes(data) as envelope:
                return envelope.sender, self._read_envelope(envelope)
        except (capnp.KjException, ValueError, AttributeError) as error:
            raise CodecError(str(error).splitlines()[0]) from error

    def _read_envelope(self, envelope: Any) -> Any:
        version = envelope.version
        if version != PROTOCOL_VERSION:
            raise CodecError(f"protocol version {version} instead of {PROTOCOL_VERSION}")
        union_name = envelope._which_str()
        plan = self._by_union_name.get(union_name)
        if plan is None:
            raise CodecError(f"unknown kind of message: {union_name}")
        return _read(getattr(envelope, union_name), plan)


def _write(builder: Any, plan: _Plan, values: Any) -> None:
    for field, value in zip(plan.fields, values, strict=True):
        if field.element is not None:
            structs = builder.init(field.name, len(value))
            for index, element in enumerate(value):
                _write(structs[index], field.element, element)
        else:
            setattr(builder, field.name, list(value) if field.is_list else value)


def _read(reader: Any, plan: _Plan) -> Any:
    return plan.kind(*[_read_field(reader, field) for field in plan.fields])


def _read_field(reader: Any, field: _Field) -> Any:
    value = getattr(reader, field.name)
    if not field.is_list:
        return value
    element = field.element
    if element is None:
        return tuple(value)
    return tuple(_read(item, element) for item in value)


def _make_plan(kind: type[Any]) -> _Plan:
    hints = get_type_hints(kind)
    fields = tuple(_make_field(name, hints[name]) for name in kind._fields)
    name = kind.__name__
    return _Plan(kind=kind, union_name=name[0].lower() + name[1:], fields=fields)


def _make_field(name: str, hint: Any) -> _Field:
    first, *rest = name.split("_")
    camel = first + "".join(part.capitalize() for part in rest)
    if get_origin(hint) is not tuple:
        return _Field(name=camel, is_list=False, element=None)
    item = get_args(hint)[0]
    return _Field(name=camel, is_list=True, element=None if item is str else _make_plan(item))


# The import hook would make `import anything` look for `anything.capnp` along the whole path.
capnp.remove_import_hook()

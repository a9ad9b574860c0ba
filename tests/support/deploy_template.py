"""Renders the template of a gateway's settings as the platform does."""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.json.tmpl"


def render(fields: Mapping[str, object]) -> str:
    """Returns the settings file of a host.

    Args:
      fields: Values by the path that placeholders name; a section without a value is left out.
    """

    def section(match: re.Match[str]) -> str:
        return match[2] if match[1] in fields else ""

    def value(match: re.Match[str]) -> str:
        return msgspec.json.encode(fields[match[1].removesuffix("|json")]).decode()

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, TEMPLATE.read_text(), flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", value, text)

"""The ``status`` sub-command: fetches and formats the status of a MySQL proxy."""

import aiohttp
import msgspec

from heatherpier._status import GroupSummary, ProxyStatus

TIMEOUT_S = 5.0


class StatusError(Exception):
    """The admin endpoint did not return a status."""


async def fetch_status_lines(address: str) -> list[str]:
    """Returns the status of the proxy at ``address`` as lines of a table.

    Args:
        address: ``IP:port`` of the admin endpoint.

    Raises:
        StatusError: The endpoint does not answer, or not with a status.
    """
    try:
        body = await _fetch(f"http://{address}/status")
        status = msgspec.json.decode(body, type=ProxyStatus)
    except (aiohttp.ClientError, OSError, ValueError, msgspec.MsgspecError) as exc:
        raise StatusError(f"no status from {address!r}: {exc}") from exc
    return _lines(status)


async def _fetch(url: str) -> bytes:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout, raise_for_status=True) as http,
        http.get(url) as answer,
    ):
        return await answer.read()


def _lines(status: ProxyStatus) -> list[str]:
    ready = "ready" if status.ready else "not ready"
    lines = [
        f"{status.proxy} in {status.data_centre}, version {status.version}, {ready}, "
        f"{status.callers} callers, configuration {status.configuration}"
    ]
    for group in status.groups:
        lines += _group_lines(group)
    return lines


def _group_lines(group: GroupSummary) -> list[str]:
    primary = group.primary or "none"
    lines = [f"{group.name}: primary {primary}, term {group.term}"]
    for item in group.instances:
        age = "age not known" if item.age_ms is None else f"age {item.age_ms} ms"
        lines.append(
            f"  {item.name}: {item.role}, term {item.term}, index {item.index}, {age}, "
            f"{item.connections} of {item.connection_limit} connections"
        )
    return lines

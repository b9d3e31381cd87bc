"""Log lines contain the fields that are bound to their task."""

import asyncio
import io
import json

from heatherpier.telemetry import JsonHandler, bind_log_fields, get_logger


async def serve(session, *, trace):
    bind_log_fields(session=session, trace=trace)
    await asyncio.sleep(1)
    get_logger("callers").info("served", rows=3)


async def test_line_contains_the_fields_of_its_own_task():
    stream = io.StringIO()
    fields = {"proxy": "proxy-1", "data_centre": "north-a"}
    handler = JsonHandler(stream=stream, fields=fields)
    with handler.applicationbound():
        await asyncio.gather(serve("desk-1", trace="t1"), serve("desk-2", trace=""))
    first, second = (json.loads(line) for line in stream.getvalue().splitlines())
    assert first["session"] == "desk-1"
    assert first["trace"] == "t1"
    assert first["proxy"] == "proxy-1"
    assert (first["message"], first["rows"]) == ("served", 3)
    assert second["session"] == "desk-2"
    assert "trace" not in second

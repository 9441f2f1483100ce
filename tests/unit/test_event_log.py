"""The event log on standard output: bounded and non-blocking."""

import asyncio
import os

import orjson

from burdockfront import timeline
from burdockfront_node.internal import event_log


def _event(kind: str, request: str = "", **detail: object) -> timeline.Event:
    return timeline.Event(1 << 16, "n1", "dc1", kind, request, detail)


def _lines(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while part := os.read(descriptor, 65_536):
            data += part
    except BlockingIOError:
        pass
    return [orjson.loads(line) for line in data.splitlines()]


def test_event_is_one_line_with_its_details():
    async def scenario() -> None:
        reading, writing = os.pipe()
        log = event_log.EventLog(writing)
        log.write_event(_event("call.refused", "r-1", level=300, slots=8))
        log.flush()
        (line,) = _lines(reading)
        assert line["kind"] == "call.refused"
        assert line["request"] == "r-1"
        assert line["level"] == 300
        assert line["node"] == "n1"

    asyncio.run(scenario())


def test_steps_repeated_by_another_line_are_not_printed():
    async def scenario() -> None:
        reading, writing = os.pipe()
        log = event_log.EventLog(writing)
        recorder = timeline.Recorder("n1", "dc1", 10, log.write_event)
        recorder.note(1.0, "entry.accepted", "r-1")
        recorder.record(1.1, "entry.answered", "r-1", outcome="done")
        log.flush()
        assert [line["kind"] for line in _lines(reading)] == ["entry.answered"]
        known = recorder.select(timeline.Filter(request="r-1"), 10)
        assert [e.kind for e in known] == ["entry.accepted", "entry.answered"]

    asyncio.run(scenario())


def test_flood_of_successes_leaves_room_for_a_failure():
    # Failure: among thousands of successes per second one request is lost, and
    # the line rate limit drops the line of that request.
    async def scenario() -> None:
        reading, writing = os.pipe()
        log = event_log.EventLog(writing)
        for number in range(2000):
            log.write_event(
                _event("entry.answered", f"r-{number}", outcome="done")
            )
        log.write_event(_event("entry.answered", "lost", outcome="unknown"))
        log.flush()
        lines = _lines(reading)
        assert any(line.get("request") == "lost" for line in lines)
        assert len(lines) < 400
        assert lines[-1] == {"kind": "log.dropped", "lines": log.dropped}
        assert log.dropped >= 1600

    asyncio.run(scenario())


def test_stalled_reader_does_not_block_the_process():
    async def scenario() -> None:
        reading, writing = os.pipe()
        log = event_log.EventLog(writing)
        wide = "x" * 4000
        for number in range(290):
            log.write_event(_event("member.alive", f"r-{number}", text=wide))
        log.flush()
        log.flush()
        assert log.dropped > 0, "the buffer is bounded"
        os.close(reading)
        log.flush()

    asyncio.run(scenario())

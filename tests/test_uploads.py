"""Tests of long uploads whose endpoints read slowly or not at all."""

import asyncio
from collections.abc import Iterable

import pytest

from larkcrank.core import interface as api
from larkcrank.routing.last_byte_clock import LastByteClock
from tests import bed as b
from tests import crossing as x
from tests import hostile_bed, upload_plays
from tests.upload_plays import RATE, SLOW, STUCK, Upload

SEND_BUFFER = 1000
HANG_S = 8.0  # a client whose final answer has not come so long after its last byte gets none


def clock_at(*observations: tuple[float, int, bool], since: float = 0.0) -> LastByteClock:
    """Return a clock that has seen (time, received bytes, whether the window was open)."""
    clock = LastByteClock(SEND_BUFFER)
    clock.fall_behind(since, 0)
    for now, received_bytes, is_window_open in observations:
        clock.observe(now, received_bytes, None, is_window_open)
    return clock


@pytest.mark.parametrize(
    ("observations", "earliest_at"),
    [
        ([], 0.0),
        (
            [(100.0, 500, False), (200.0, 500, False), (300.0, 1000, False)],
            0.0,
        ),  # all could wait at the client
        (
            [(100.0, 500, False), (200.0, 900, False), (300.0, 1600, False)],
            100.0,
        ),  # 100 bytes too many for that
        ([(100.0, 500, False), (200.0, 5000, False), (300.0, 9000, False)], 200.0),
        ([(100.0, 500, True), (200.0, 501, False), (300.0, 502, False)], 100.0),  # nothing waited at 100
        ([(100.0, 500, True), (200.0, 501, True), (300.0, 502, True)], 200.0),
        ([(100.0, 500, True), (200.0, 500, True), (300.0, 500, True)], 0.0),  # nothing more came
    ],
)
def test_the_last_byte_counts_from_when_it_can_have_been_written(
    observations: Iterable[tuple[float, int, bool]], earliest_at: float
) -> None:
    assert clock_at(*observations).earliest_at == earliest_at


def test_a_client_that_must_still_have_more_has_not_written_its_last_byte() -> None:
    clock = clock_at((100.0, 500, False))
    clock.observe(200.0, 600, SEND_BUFFER + 1, False)
    assert clock.earliest_at == 200.0
    clock.observe(300.0, 700, SEND_BUFFER, False)
    assert clock.earliest_at == 200.0
    clock.catch_up()
    assert not clock.is_behind


@pytest.mark.parametrize(
    ("memory_mb", "upload"),
    [
        (32, Upload(STUCK, 1_974_670, is_chunked=True)),
        (64, Upload(STUCK, 1_974_670, is_chunked=True)),
        (48, Upload(STUCK, 1_974_670)),
        (32, Upload(STUCK, 1_974_670, is_chunked=True, seconds=4.9)),
        (192, Upload(STUCK, 6_000_000, is_chunked=True)),
        (48, Upload(SLOW, 2_000_000)),
        (64, Upload(SLOW, 5_000_000)),
    ],
)
def test_an_upload_that_its_endpoint_does_not_read_gets_a_final_answer(
    memory_mb: float, upload: Upload
) -> None:
    async def work() -> None:
        async with hostile_bed.stage(memory_mb) as stage:
            stage.is_honest_client_paused = True
            answers = await asyncio.gather(*(upload_plays.send(stage.port, upload, HANG_S) for _ in range(2)))
            assert all(answer.is_whole for answer in answers)
            assert {answer.status for answer in answers} <= {503, 504}
            assert not stage.runs()
            assert (await stage.counters())["uploads_expired"]

    asyncio.run(work())


def test_uploads_that_take_longer_than_their_clients_wait_are_not_cut() -> None:
    target = RATE.format(700_000)
    uploads = [
        Upload(target, 1_500_000, is_chunked=True, seconds=4.9, deadline_s=3.0),
        Upload(target, 1_500_000, seconds=4.9, deadline_s=3.0),
        Upload(target, 1_500_000, is_chunked=True, seconds=4.9, deadline_s=3.0, pieces=300),
        Upload(RATE.format(12_000_000), 32_000_000, deadline_s=4.0),
    ]

    async def work() -> None:
        async with hostile_bed.stage(64.0) as stage:
            stage.is_honest_client_paused = True
            answers = await asyncio.gather(*(upload_plays.send(stage.port, upload) for upload in uploads))
            assert [answer.status for answer in answers] == [200] * len(uploads)

    asyncio.run(work())


def test_an_upload_that_waits_for_an_endpoint_is_refused_when_its_time_is_up() -> None:
    async def work() -> None:
        async with b.bed(b.Endpoint("s-1"), memory_mb=24.0) as bed:
            client = await bed.client()
            balancer = x.ManualBalancer(bed)
            # Decided in the event, as the balancer does: 10 ms later the driver fails the request by itself.
            balancer.on_uploaded = lambda uploaded: [api.Refuse(uploaded.id)]
            client.writer.write(
                b"POST /take/1 HTTP/1.1\r\nHost: a\r\nReq-Id: waits\r\nReq-Kind: take\r\n"
                b"Req-Deadline: 0.2\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"10000\r\n%s\r\n"
                % bytes(0x10000)
                * 40
            )
            number = await balancer.wait_for_request()
            await b.until(lambda: bool(balancer.events_of(api.Uploaded)))
            (uploaded,) = balancer.events_of(api.Uploaded)
            assert uploaded.id == number and uploaded.time_left_ms <= 0.0
            assert (await client.read_response()).status == 503
            assert bed.sidecar.counters.uploads_expired == 1

    b.run(work())


@pytest.mark.parametrize("is_chunked", [True, False])
def test_an_upload_that_is_unfinished_when_its_process_ends_gets_an_answer(is_chunked: bool) -> None:
    upload = Upload("/reserve/1", 400_000, is_chunked, seconds=20.0, deadline_s=1.0)

    async def work() -> None:
        grades = [grade | {"deadline-ms": 300.0, "aim-ms": 200.0} for grade in hostile_bed.CLASSES]
        async with hostile_bed.stage(grades=grades) as stage:
            stage.is_honest_client_paused = True
            sending = asyncio.create_task(upload_plays.send(stage.port, upload, wait_s=0.0))
            await asyncio.sleep(0.5)
            stage.processes[-1].terminate()
            answer = await sending
            assert (answer.status, answer.is_whole) == (503, True)
            assert not stage.runs()

    asyncio.run(work())

"""What operators are shown of closes, retries, refusals and attempts, and probes that find no socket."""

import asyncio
import errno
import socket
import struct
from typing import cast

import pytest

from larkcrank.core.interface import Result
from larkcrank.program.counters import Counters
from larkcrank.protocol import http1
from larkcrank.routing import trace
from larkcrank.routing.probes import Prober
from larkcrank.transport.descriptors import DescriptorBudget
from larkcrank.transport.memory import MemoryUse
from tests import bed as testbed


def test_closes_retries_and_refusals_are_counted_by_reason_and_attempts_recorded() -> None:
    async def scenario() -> None:
        declining = [testbed.Endpoint(name, testbed.respond_declined) for name in ("s-1", "s-2")]
        async with testbed.bed(*declining) as bed:
            client = await bed.client()
            assert (await client.call("take")).status == 503
            counters = bed.sidecar.counters
            assert counters.retries == {"rejected": counters.sends - 1} and counters.sends > 1
            assert counters.refusals == {"rejected": 1} and counters.failures == {}
            assert counters.closes == {"rejected": counters.sends}
            records = bed.sidecar._servers.recent_attempts.as_list()
            assert [record["attempt"] for record in records] == list(range(counters.sends))
            assert {(record["result"], record["position"]) for record in records} == {("rejected", 1)}
            assert len({record["connection"] for record in records}) == counters.sends <= trace.MAX_RECORDS

    testbed.run(scenario())


def test_recorded_attempts_tell_how_long_their_connection_rested_and_their_answer_took() -> None:
    async def respond(endpoint: testbed.Endpoint, request: http1.Request, writer: testbed.Writer) -> None:
        await asyncio.sleep(0.02)
        await testbed.respond_ok(endpoint, request, writer)

    async def scenario() -> None:
        endpoint = testbed.Endpoint("s-1", respond)
        async with testbed.bed(endpoint) as bed:
            client = await bed.client()
            await client.call("view")
            await asyncio.sleep(0.3)
            await client.call("view")
            first, second = bed.sidecar._servers.recent_attempts.as_list()
            assert (first["position"], second["position"]) == (1, 2)
            assert first["host_port"] == second["host_port"] == f"127.0.0.1:{endpoint.port}"
            assert first["rested_ms"] == 0.0 and cast(float, second["rested_ms"]) >= 290.0
            assert all(cast(float, record["answer_ms"]) >= 15.0 for record in (first, second))

    testbed.run(scenario())


@pytest.mark.parametrize(("is_reset", "reason"), [(True, "reset"), (False, "early end")])
def test_an_answer_that_was_cut_is_logged_with_its_reason(is_reset: bool, reason: str) -> None:
    async def cut(endpoint: testbed.Endpoint, request: http1.Request, writer: testbed.Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + bytes(100_000))
        await writer.drain()
        if is_reset:
            sock: socket.socket = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def scenario() -> None:
        async with testbed.bed(testbed.Endpoint("s-1", cut)) as bed:
            client = await bed.client()
            with pytest.raises(ConnectionError):
                await client.call("view")
            await testbed.until(lambda: bool(bed.sidecar.counters.cuts))
            assert bed.sidecar.counters.cuts == {reason: 1}
            (event,) = [line for line in bed.log_lines() if line["event"] == "answer_cut"]
            assert (event["reason"], event["server"]) == (reason, b"s-1".hex())
            assert event["request"] == f"r{testbed.Client.requests_sent}"

    testbed.run(scenario())


def test_a_failed_request_and_a_change_of_the_list_are_logged() -> None:
    async def scenario() -> None:
        endpoints = [testbed.Endpoint("s-1", testbed.respond_error), testbed.Endpoint("s-2")]
        endpoints[1].lifecycle = "Terminating"
        async with testbed.bed(*endpoints) as bed:
            client = await bed.client()
            assert (await client.call("take")).status == 502
            (failed,) = [line for line in bed.log_lines() if line["event"] == "request_failed"]
            assert (failed["status"], failed["attempts"], failed["last_result"]) == (502, 1, "error")
            endpoints[1].lifecycle, endpoints[0].lifecycle = "Ready", "Terminating"
            bed.discovery.announce(*endpoints)
            await testbed.until(lambda: "servers_changed" in bed.log_events())
            (change,) = [line for line in bed.log_lines() if line["event"] == "servers_changed"]
            assert (change["source"], change["generation"]) == ("discovery", 2)
            assert (change["added"], change["removed"]) == ([b"s-2".hex()], [b"s-1".hex()])

    testbed.run(scenario())


def test_a_probe_that_gets_no_socket_has_failed_to_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    def refuse(*_: object) -> socket.socket:
        raise OSError(errno.EADDRNOTAVAIL, "no address")

    async def scenario() -> None:
        counters = Counters()
        prober = Prober(DescriptorBudget(64), 250.0, (), counters, lambda *_: None)
        monkeypatch.setattr("larkcrank.transport.connection.socket.socket", refuse)
        result, _ = await prober.probe(b"s-1", ("127.0.0.1", 9))
        monkeypatch.undo()
        assert result is Result.CONNECT_FAILED and counters.crashed == 0

    testbed.run(scenario())


def test_why_connections_of_clients_close_and_requests_are_turned_away_is_counted() -> None:
    async def work() -> None:
        async with testbed.bed(testbed.Endpoint("s-1")) as bed:
            counters, memory = bed.sidecar.counters, bed.sidecar.memory
            client = await bed.client()
            client.writer.write(b"GET /nothing/1 HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\n\r\n")
            assert (await client.read_response()).status == 404
            last = await bed.client()
            assert (await last.call("view", 8.0, "", b"Connection: close")).status == 200
            held_bytes = int(memory.capacity_bytes)
            memory.reserve(held_bytes, MemoryUse.STREAM)
            refused = await bed.client()
            assert (await refused.call("view")).status == 503
            memory.release(held_bytes, MemoryUse.STREAM)
            (await bed.client()).close()
            await testbed.until(lambda: sum(counters.client_closes.values()) == 4)
            assert counters.client_closes == {
                "invalid request": 1,
                "last response": 2,
                "closed by peer": 1,
            }
            assert counters.turned_away_memory == 1
            bed.sidecar.log_diagnostics()
            logged = bed.log_lines()[-1]
            assert logged["event"] == "counters"
            assert logged["memory"]["held"]["streams"] == 0 and logged["memory"]["pressure"] == "none"

    testbed.run(work())

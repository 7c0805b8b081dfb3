"""Runs one scenario: starts all processes, generates load, injects faults, checks the rules, cleans up."""

import asyncio
import math
import os
import resource
import secrets
import shutil
import signal
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import psutil
import uvloop

from larkcrank.config.settings import convert
from larkcrank.core.interface import RequestClass
from larkcrank.lab import rules
from larkcrank.lab.clients import Clients
from larkcrank.lab.endpoints import Endpoint, IdempotencyKeys, StrayAnswers
from larkcrank.lab.ledger import Ledger
from larkcrank.lab.links import DatagramRelay, Link, LinkDirection, open_datagram_relays
from larkcrank.lab.processes import ProcessError, SidecarProcess
from larkcrank.lab.registry import Registry
from larkcrank.lab.scenario import LINK_FAULTS, Fault, ProcessOverride, Scenario, SettleCheck, resolve_members
from larkcrank.lab.settings import BASE_SETTINGS, merge_settings

Node = tuple[str, int]  # kind ("sidecars", "endpoints" or "discovery") and index
LAG_SAMPLE_INTERVAL_S = 0.02
MAX_CONCURRENT_STARTS = 8  # on a busy machine, more concurrent starts make all of them late
SETTLE_POLL_INTERVAL_S = 0.05
TEMP_FOLDER_PREFIX = "larkcrank-fleet-"  # followed by the bench's process id; in the temporary directory
SHARED_LINK = -1  # in place of a sidecar's index: the link is shared by all sidecars
DATAGRAM_PORT_RANGE = (20000, 32000)  # for the members' datagram sockets; below the kernel's ephemeral ports
LOOPBACK_SUBNET_START = 64  # second byte of the lowest loopback address used for datagrams
SEED_MEMBERS = 3  # number of members that others may use as seeds
MAX_DESCRIPTORS = 1 << 16  # where the hard limit on file descriptors is infinite


class BenchError(Exception):
    """The bench itself failed, so its results are invalid."""


class SettleResult(msgspec.Struct, frozen=True):
    """How long the members of one settle check took to report the expected state."""

    at: float
    call: str  # the ops call, or the counter if one was named
    took: float  # seconds; infinite if not within the time limit
    course: list[tuple[float, float]] = []  # time and share of members that agreed


class ResourceUsage(msgspec.Struct, frozen=True):
    """Machine resources that the run used."""

    processes: int
    ready_s: float  # seconds until all processes were ready
    memory_mb: float  # total unshared memory of the processes
    cpu_s: float  # total CPU time of the processes while the load ran
    bench_cpu_s: float  # CPU time of the bench in the same period
    bench_mb: float  # resident memory of the bench


class RunOutcome(msgspec.Struct):
    """The results of a run, from which `report.py` makes its summary."""

    ledger: Ledger
    breaches: list[rules.Breach]
    settled: list[SettleResult]
    use: ResourceUsage
    counters: dict[str, Any]  # summed over the processes that run at the end
    lag_s: float  # maximum delay of the bench's event loop
    most_connections: int  # maximum open at one endpoint at a time


class Bench:
    """Owns the sidecar processes, the links and the stand-ins of one run."""

    def __init__(self, scenario: Scenario, folder: Path, progress: Callable[[str], None]) -> None:
        self._scenario, self._folder, self._progress = scenario, folder, progress
        self._rng = Random(scenario.seed)
        self._ledger = Ledger()
        settings = merge_settings(BASE_SETTINGS, scenario.fleet.settings)
        settings |= {"n-instances": scenario.fleet.processes, "zones": scenario.fleet.zones}
        self._settings = settings
        self._site = convert(settings)
        self._classes: dict[str, RequestClass] = {cls.name: cls for cls in self._site.decisions.classes}
        self._directions: dict[tuple[Node, Node], LinkDirection] = {}
        self._active_faults: dict[tuple[Node, Node], list[Fault]] = {}  # faults in effect per direction
        self._links: dict[tuple[int, Node], Link] = {}
        self._endpoints: list[Endpoint] = []
        self._children: list[SidecarProcess] = []
        self._client_groups: list[Clients] = []
        self._lists_at_exit: dict[int, dict[str, Any]] = {}  # by sidecar: the last list before it ended
        self._replacement_count = 0  # endpoints replaced so far; part of the new endpoint's name
        self._max_lag_s = 0.0
        self._settle_results: list[SettleResult] = []
        self._pending_counter_checks = 0  # settle checks on counters that have not ended
        self._loop_errors: list[str] = []
        self._relays: list[DatagramRelay] = []
        self._undo_tasks: list[asyncio.Task[Any]] = []
        unix_start_time = time.time()
        self._registry = Registry(
            scenario.discovery.work_ms, self._endpoint_port, self._ledger, unix_start_time
        )

    async def run(self) -> RunOutcome:
        """Run the scenario. Raises `ProcessError` if a process does not start or ends by itself."""
        try:
            return await self._run()
        finally:
            await self._close()

    async def _run(self) -> RunOutcome:
        scenario, loop = self._scenario, asyncio.get_running_loop()
        _raise_descriptor_limit()
        loop.set_exception_handler(self._record_loop_error)
        self._build()
        if scenario.fleet.datagrams:
            self._relays = await open_datagram_relays(
                scenario.fleet.processes,
                lambda source_index, target_index: self._direction(
                    ("sidecars", source_index), ("sidecars", target_index)
                ),
            )
        started_at = loop.time()
        self._progress(f"starting {scenario.fleet.processes} processes")
        start_slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start(child: SidecarProcess) -> None:
            async with start_slots:
                initial_list = self._registry.initial_list(child.index) if scenario.discovery.known else None
                await self._start_sidecar(child, initial_list)

        await self._run_concurrently(
            [start(child) for child in self._children[: scenario.fleet.at_first or None]]
        )
        ready_s = loop.time() - started_at
        self._restart_clock()
        cpu_s = sum(child.usage()[1] for child in self._children)
        bench_process = psutil.Process()
        bench_cpu_s = sum(bench_process.cpu_times()[:2])
        self._progress(f"ready after {ready_s:.1f} s; load for {scenario.seconds:g} s")
        await self._run_load()
        usages = [child.usage() for child in self._children]
        memory_mb, cpu_s = sum(usage[0] for usage in usages), sum(usage[1] for usage in usages) - cpu_s
        resource_usage = ResourceUsage(
            scenario.fleet.processes,
            ready_s,
            memory_mb,
            max(cpu_s, 0.0),
            sum(bench_process.cpu_times()[:2]) - bench_cpu_s,
            bench_process.memory_info().rss / (1 << 20),
        )
        counters = await self._total_counters()
        self._ledger.datagrams = sum(relay.forwarded_count for relay in self._relays)
        if self._loop_errors:
            raise BenchError("; ".join(self._loop_errors[:3]))
        breaches = self._check_rules()
        most_connections = max(endpoint.most_connections for endpoint in self._endpoints)
        return RunOutcome(
            self._ledger,
            breaches,
            self._settle_results,
            resource_usage,
            counters,
            self._max_lag_s,
            most_connections,
        )

    def _record_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self._loop_errors.append(repr(context.get("exception") or context.get("message")))
        loop.default_exception_handler(context)

    def _check_rules(self) -> list[rules.Breach]:
        decisions, scenario = self._site.decisions, self._scenario
        return rules.find_breaches(
            self._ledger,
            self._classes,
            scenario.grace_ms / 1000.0,
            # The bench's own delays must not count against the processes.
            max(scenario.slack_ms / 1000.0, 2 * self._max_lag_s),
            decisions.only_draining_binds,
            decisions.key_quiet_ms / 1000.0,
            decisions.second_copies,
            decisions.max_attempts,
        )

    def _build(self) -> None:
        """Create the endpoints, the processes, their links and their clients; start nothing."""
        scenario, zones = self._scenario, self._scenario.fleet.zones
        idempotency_keys = IdempotencyKeys()
        for index in range(scenario.endpoints.count):
            zone = zones[index % len(zones)]
            rng = Random(self._rng.getrandbits(64))
            endpoint = Endpoint(
                index,
                f"s-{index}",
                zone,
                scenario.endpoints,
                self._classes,
                idempotency_keys,
                rng,
                self._ledger,
                self._update_endpoint_links,
            )
            self._endpoints.append(endpoint)
        for index in range(scenario.fleet.processes):
            command = next(
                (override.command for override in self._overrides_for(index) if override.command),
                scenario.fleet.command,
            )
            self._children.append(SidecarProcess(index, self._folder, command, self._ledger.record_event))
            self._add_link(
                index,
                ("discovery", 0),
                lambda connection, sidecar=index: self._registry.accept(connection, sidecar),  # type: ignore[misc]
            )
            link_owner = self._link_owner(index)
            for endpoint in self._endpoints:
                endpoint_node = ("endpoints", endpoint.index)
                if (link_owner, endpoint_node) not in self._links:
                    self._add_link(
                        link_owner,
                        endpoint_node,
                        lambda connection, sidecar=link_owner, target=endpoint: target.accept(  # type: ignore[misc]
                            connection, sidecar
                        ),
                    )
            child = self._children[-1]
            rng = Random(self._rng.getrandbits(64))
            client_address = lambda child=child: child.client_address  # noqa: E731
            slack_s = scenario.slack_ms / 1000.0
            load = scenario.load
            if load.heavy_one_in and index % load.heavy_one_in == 0:
                load = msgspec.structs.replace(load, rate=load.rate * load.heavy_times)
            clients = Clients(index, load, self._classes, client_address, rng, self._ledger, slack_s)
            self._client_groups.append(clients)
        for endpoint in self._endpoints:
            self._registry.set_lifecycle(endpoint, "Ready")

    def _add_link(self, sidecar: int, far_node: Node, make_handler: Callable[[Any], Any]) -> None:
        near_node: Node = ("sidecars", sidecar)
        forward, backward = self._direction(near_node, far_node), self._direction(far_node, near_node)
        self._links[sidecar, far_node] = Link(forward, backward, make_handler, self._ledger.now)

    def _link_owner(self, sidecar: int) -> int:
        """Return the index under which a sidecar's links to endpoints are kept."""
        return SHARED_LINK if self._scenario.endpoints.shared else sidecar

    def _links_to(self, endpoint: int) -> list[Link]:
        return [link for (_, far_node), link in self._links.items() if far_node == ("endpoints", endpoint)]

    def _direction(self, source: Node, target: Node) -> LinkDirection:
        if (source, target) not in self._directions:
            self._directions[source, target] = LinkDirection(Random(self._rng.getrandbits(64)))
        return self._directions[source, target]

    def _endpoint_port(self, sidecar: int, endpoint: int, address_index: int) -> int:
        """Return the port of a sidecar's link to an endpoint; past ports have lower indices."""
        return self._links[self._link_owner(sidecar), ("endpoints", endpoint)].ports[address_index]

    def _restart_clock(self) -> None:
        """Set the clock to 0 at the start of the load; events of the startup get negative times."""
        elapsed_s = self._ledger.now()
        self._ledger.restart_clock()
        self._registry.unix_start_time = time.time()
        for delivered_list in self._ledger.tolds:
            delivered_list.at -= elapsed_s
        for event in self._ledger.events:
            event.at -= elapsed_s
        self._registry.shift_clock(elapsed_s)
        self._ledger.list_calls.clear()
        self._ledger.connections = 0

    def _config(self, child: SidecarProcess, initial_list: dict[str, Any] | None) -> dict[str, Any]:
        """Build a process's configuration: the bench's part, then the fleet's, then the overrides."""
        fleet, index = self._scenario.fleet, child.index
        settings = self._settings | {"ordinal": index, "az": index % len(fleet.zones)}
        port = self._links[index, ("discovery", 0)].ports[-1]
        config = {
            "name": f"n{index}",
            "discovery": f"127.0.0.1:{port}",
            "seed": f"{self._scenario.seed * 1000 + index:x}",
            "limits": {"sockets": 1024},
            "kept": str(child.kept_path),
            "settings": merge_settings(settings, fleet.config.get("settings", {})),
        }
        if initial_list is not None:
            config["known"] = initial_list
        placeholders = {"i": str(index), "files": str(child.kept_path)}
        if self._relays:
            placeholders["own"] = "{}:{}".format(*(self._relays[index].member_address or ()))
            placeholders["public"] = "{}:{}".format(*self._relays[index].public_address)
            placeholders |= {
                f"seed{i}": "{}:{}".format(*seed_relay.public_address)
                for i, seed_relay in enumerate(self._relays[:SEED_MEMBERS])
            }
            placeholders["all"] = ",".join("{}:{}".format(*relay.public_address) for relay in self._relays)
        extra_config = {key: value for key, value in fleet.config.items() if key != "settings"}
        config = merge_settings(config, _substitute(extra_config, placeholders))
        for override in self._overrides_for(index):
            config = merge_settings(config, _substitute(override.config, placeholders))
        return config

    def _overrides_for(self, index: int) -> list[ProcessOverride]:
        overrides = self._scenario.fleet.own
        return [
            override
            for override in overrides
            if index in resolve_members(override.who, self._scenario)["sidecars"]
        ]

    async def _start_sidecar(self, child: SidecarProcess, initial_list: dict[str, Any] | None) -> None:
        if self._relays:  # a new port each time: the port of a dead process isn't reserved
            self._relays[child.index].member_address = _free_datagram_address()
        await child.start(self._config(child, initial_list))

    async def _run_load(self) -> None:
        scenario, loop = self._scenario, asyncio.get_running_loop()
        # A counter may only advance under load, so the load goes on until all counter checks have ended. On a
        # slow machine that can be after the scenario's end.
        self._pending_counter_checks = sum(bool(check.counter) for check in scenario.settles)
        keep_going = lambda: self._pending_counter_checks > 0  # noqa: E731
        jobs = [clients.run(scenario.seconds, keep_going) for clients in self._client_groups]
        jobs += [self._play_fault(fault) for fault in scenario.faults]
        jobs += [self._run_settle_check(check) for check in scenario.settles]
        lag_task = loop.create_task(self._watch_lag())
        progress_task = loop.create_task(self._report_progress())
        crashes: list[asyncio.Future[Any]] = [child.crashed for child in self._children]
        all_jobs = loop.create_task(self._run_concurrently([*jobs, self._sleep_until(scenario.seconds)]))
        try:
            awaited: list[asyncio.Future[Any]] = [all_jobs, *crashes]
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            for crash in crashes:
                if crash.done():
                    raise ProcessError(crash.result())
            await all_jobs
            for clients in self._client_groups:
                await clients.finish()
        finally:
            for task in (all_jobs, lag_task, progress_task):
                task.cancel()
            await asyncio.gather(all_jobs, lag_task, progress_task, return_exceptions=True)

    async def _run_concurrently(self, coroutines: Iterable[Any]) -> None:
        async with asyncio.TaskGroup() as group:
            for coroutine in coroutines:
                group.create_task(coroutine)

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(at - self._ledger.now(), 0.0))

    async def _watch_lag(self) -> None:
        """Record the maximum delay of the bench's own event loop."""
        while True:
            sleep_start = time.monotonic()
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
            self._max_lag_s = max(self._max_lag_s, time.monotonic() - sleep_start - LAG_SAMPLE_INTERVAL_S)

    async def _report_progress(self) -> None:
        while True:
            await asyncio.sleep(5.0)
            requests = self._ledger.asks
            served = sum(request.status == 200 for request in requests)
            self._progress(f"{self._ledger.now():6.1f} s: {len(requests)} requests, {served} served")

    async def _run_settle_check(self, check: SettleCheck) -> None:
        """Poll the members of a settle check until all agree or its time limit is over."""
        await self._sleep_until(check.at)
        unsettled = set(resolve_members(check.who, self._scenario)["sidecars"])
        total, agreement = len(unsettled), list[tuple[float, float]]()
        while unsettled and self._ledger.now() - check.at < check.within:
            polled = sorted(unsettled)
            answers = await asyncio.gather(
                *(self._matching_answer(self._children[sidecar], check) for sidecar in polled)
            )
            prefix_counts = Counter(" ".join(answer.split()[: check.alike]) for answer in answers if answer)
            agreeing = max(prefix_counts.values(), default=0) if check.alike else sum(prefix_counts.values())
            if not check.alike:
                unsettled -= {index for index, answer in zip(polled, answers, strict=True) if answer}
                agreeing = total - len(unsettled)
            elif agreeing == total:
                unsettled.clear()
            share = agreeing / total
            if not agreement or agreement[-1][1] != share:
                agreement.append((self._ledger.now(), share))
            if unsettled:
                await asyncio.sleep(SETTLE_POLL_INTERVAL_S)
        self._pending_counter_checks -= bool(check.counter)
        took = math.inf if unsettled else self._ledger.now() - check.at
        self._settle_results.append(SettleResult(check.at, check.counter or check.call, took, agreement))

    async def _matching_answer(self, child: SidecarProcess, check: SettleCheck) -> str:
        """Return the process's answer or counter if it meets the check, else an empty string."""
        if not check.counter:
            answer = await child.call_ops(check.call)
            return answer if answer.startswith(check.answer) else ""
        try:
            counter_value = _flatten_counters(await child.read_counters()).get(check.counter)
        except TimeoutError:
            return ""
        return str(counter_value) if counter_value is not None and counter_value >= check.least else ""

    # Faults

    async def _play_fault(self, fault: Fault) -> None:
        await self._sleep_until(fault.at)
        affected = fault.who or [" ".join(side) for side in fault.between]
        self._ledger.record_event("fault", " / ".join(affected), fault.what)
        self._progress(f"{self._ledger.now():6.1f} s: {fault.what} {' / '.join(affected)}")
        if fault.what in LINK_FAULTS or fault.what == "silence":
            self._set_link_fault(fault, True)
            undo: Callable[[], Any] | None = lambda: self._set_link_fault(fault, False)  # noqa: E731
        else:
            undo = await self._apply_member_fault(fault)
        if undo is not None and fault.last < math.inf:
            await self._sleep_until(fault.at + fault.last)
            self._ledger.record_event("over", " / ".join(affected), fault.what)
            undo()

    def _affected_directions(self, fault: Fault) -> list[tuple[Node, Node]]:
        if fault.what == "silence":
            endpoint_nodes = [
                ("endpoints", endpoint)
                for endpoint in resolve_members(fault.who, self._scenario)["endpoints"]
            ]
            sidecar_nodes = [
                ("sidecars", sidecar)
                for sidecar in sorted(
                    {self._link_owner(sidecar) for sidecar in range(self._scenario.fleet.processes)}
                )
            ]
            sides = [sidecar_nodes, endpoint_nodes]
        else:
            sides = []
            for side in fault.between:
                members_by_kind = resolve_members(side, self._scenario)
                sides.append(
                    [(kind, index) for kind in members_by_kind for index in sorted(members_by_kind[kind])]
                )
        pairs = [(source, target) for source in sides[0] for target in sides[1] if source != target]
        if self._scenario.endpoints.shared:
            pairs = list(
                dict.fromkeys((_shared_link_node(*pair), _shared_link_node(*pair[::-1])) for pair in pairs)
            )
        if not fault.one_way:
            pairs += [(target, source) for source, target in pairs]
        return pairs

    def _set_link_fault(self, fault: Fault, starts: bool) -> None:
        """Start or end a link fault; recompute each direction from the faults that are still in effect."""
        for pair in self._affected_directions(fault):
            active = self._active_faults.setdefault(pair, [])
            if starts:
                active.append(fault)
            else:
                active.remove(fault)
            direction = self._direction(*pair)
            direction.clear()
            for active_fault in active:
                _add_fault(direction, active_fault)
            (kind, index), far_node = sorted(pair, key=lambda node: node[0] != "sidecars")
            if kind == "sidecars" and (link := self._links.get((index, far_node))) is not None:
                link.apply_faults()

    async def _apply_member_fault(self, fault: Fault) -> Callable[[], Any] | None:
        """Apply a fault to members. Return a function that undoes it, or None if it has no duration."""
        members_by_kind = resolve_members(fault.who or ["discovery"], self._scenario)
        children = [self._children[index] for index in sorted(members_by_kind["sidecars"])]
        endpoints = [self._endpoints[index] for index in sorted(members_by_kind["endpoints"])]
        registry = self._registry
        match fault.what:
            case "hush" | "deny":
                attribute = "silent" if fault.what == "hush" else "denies"
                return self._set_registry(attribute, True, False)
            case "drag":
                return self._set_registry("work_ms", fault.work_ms, registry.work_ms)
            case "empty":
                return self._set_registry("empty", True, False)
            case "anew":
                self._registry.restart_generations()
            case "lag":
                return self._set_registry("behind_s", fault.by, registry.behind_s)
            case "hide":
                sidecar_side, hidden_side = (resolve_members(side, self._scenario) for side in fault.between)
                hidden = dict.fromkeys(sidecar_side["sidecars"], hidden_side["endpoints"])
                return self._set_registry("hidden", hidden, {})
            case "crowd":
                self._slow_down(endpoints, fault.times)
                return lambda: self._slow_down(endpoints, 1.0)
            case "stray":
                stray = StrayAnswers(
                    fault.share, fault.delay_ms / 1000.0, fault.jitter_ms / 1000.0, fault.answer
                )
                self._set_stray_answers(endpoints, stray)
                return lambda: self._set_stray_answers(endpoints, None)
            case "drain":
                await self._apply_to_each(fault, endpoints, self._drain_endpoint)
            case "replace":
                await self._apply_to_each(
                    fault, endpoints, lambda member: self._replace_endpoint(member, fault.address)
                )
            case "kill" | "end" | "restart":
                if members_by_kind["discovery"]:
                    registry.start() if fault.what == "restart" else registry.stop()
                    self._update_discovery_links()
                await self._apply_to_each(
                    fault, endpoints, lambda member: self._change_endpoint(member, fault)
                )
                await self._apply_to_each(fault, children, lambda member: self._change_sidecar(member, fault))
                if fault.what != "restart":
                    restart = msgspec.structs.replace(fault, what="restart", at=0.0)
                    return lambda: self._run_in_background(self._apply_member_fault(restart))
            case "stop":
                for child in children:
                    child.pause()
                return lambda: self._resume(children)
            case "continue":
                self._resume(children)
        return None

    @staticmethod
    def _slow_down(endpoints: list[Endpoint], slowdown: float) -> None:
        for endpoint in endpoints:
            endpoint.slowdown = slowdown

    @staticmethod
    def _set_stray_answers(endpoints: list[Endpoint], stray: StrayAnswers | None) -> None:
        for endpoint in endpoints:
            endpoint.stray_answers = stray

    @staticmethod
    def _resume(children: list[SidecarProcess]) -> None:
        for child in children:
            child.resume()

    def _run_in_background(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._undo_tasks.append(task)

    def _set_registry(self, attribute: str, value: Any, restored_value: Any) -> Callable[[], None]:
        """Set an attribute of the discovery stand-in and return a function that restores it."""

        def assign(new_value: Any) -> None:
            setattr(self._registry, attribute, new_value)
            self._registry.notify_waiters()

        assign(value)
        return lambda: assign(restored_value)

    async def _apply_to_each(self, fault: Fault, targets: list[Any], action: Callable[[Any], Any]) -> None:
        """Apply `action` to all targets at once, or evenly spread over `fault.spread` seconds."""
        if not fault.spread or len(targets) < 2:
            await asyncio.gather(*(action(target) for target in targets))
            return
        interval_s = fault.spread / (len(targets) - 1)

        async def run_after(delay_s: float, target: Any) -> None:
            await asyncio.sleep(delay_s)
            await action(target)

        await asyncio.gather(*(run_after(interval_s * index, target) for index, target in enumerate(targets)))

    async def _change_sidecar(self, child: SidecarProcess, fault: Fault) -> None:
        """Kill, terminate or restart a sidecar process."""
        if fault.what in ("kill", "end") or child.pid is not None:
            self._lists_at_exit[child.index] = self._registry.last_delivered_list(child.index)
            await (child.kill() if fault.what == "kill" else child.terminate())
        if fault.what == "restart":
            initial_list = self._lists_at_exit.get(child.index) if fault.keeps == "list" else None
            if fault.keeps == "nothing":
                for path in [child.kept_path, *self._folder.glob(f"{child.kept_path.name}.*")]:
                    path.unlink(missing_ok=True)
            await self._start_sidecar(child, initial_list)

    async def _change_endpoint(self, endpoint: Endpoint, fault: Fault) -> None:
        """Kill or restart an endpoint under its name, and update discovery."""
        if fault.what != "restart":
            self._registry.set_lifecycle(endpoint, "Gone")
            endpoint.crash()
            return
        if endpoint.running:
            endpoint.crash()
        if fault.address == "new":
            self._move_endpoint(endpoint)
        endpoint.start()
        self._registry.set_lifecycle(endpoint, "Ready")

    async def _replace_endpoint(self, endpoint: Endpoint, address: str) -> None:
        """Replace an endpoint by one with a new name, at the same address or a new one."""
        self._registry.set_lifecycle(endpoint, "Gone")
        endpoint.crash()
        self._replacement_count += 1
        if address == "new":
            self._move_endpoint(endpoint)
        endpoint.start(f"t-{self._replacement_count}")
        self._registry.set_lifecycle(endpoint, "Ready")

    async def _drain_endpoint(self, endpoint: Endpoint) -> None:
        self._registry.set_lifecycle(endpoint, "Terminating")
        self._ledger.record_event("draining", endpoint.name)

    def _move_endpoint(self, endpoint: Endpoint) -> None:
        for link in self._links_to(endpoint.index):
            link.move_to_new_port()
        endpoint.address_index += 1

    def _update_endpoint_links(self, endpoint: Endpoint) -> None:
        """Make an endpoint's links refuse or listen after it went down or came up."""
        for link in self._links_to(endpoint.index):
            link.far_end_listening = endpoint.running
            link.apply_faults()

    def _update_discovery_links(self) -> None:
        for sidecar in range(self._scenario.fleet.processes):
            link = self._links[sidecar, ("discovery", 0)]
            link.far_end_listening = self._registry.running
            link.apply_faults()

    async def _total_counters(self) -> dict[str, Any]:
        """Return the counters of all running processes, added up."""
        total: dict[str, Any] = {}
        reads = [child.read_counters() for child in self._children if child.pid is not None]
        for counters in await asyncio.gather(*reads, return_exceptions=True):
            if isinstance(counters, TimeoutError):
                continue  # the process is stopped or very busy
            if isinstance(counters, BaseException):
                raise counters
            for key, value in _flatten_counters(counters).items():
                total[key] = total.get(key, 0) + value
        return total

    async def _close(self) -> None:
        for task in self._undo_tasks:
            task.cancel()
        for clients in self._client_groups:
            clients.close()
        await asyncio.gather(*(child.close() for child in self._children), return_exceptions=True)
        for link in self._links.values():
            link.close()
        for relay in self._relays:
            if relay.transport is not None:
                relay.transport.close()


def _shared_link_node(node: Node, peer: Node) -> Node:
    """Return `node`, or the node of the shared link if it is a sidecar and `peer` an endpoint."""
    return ("sidecars", SHARED_LINK) if node[0] == "sidecars" and peer[0] == "endpoints" else node


def _flatten_counters(counters: dict[str, Any]) -> dict[str, int]:
    """Return the integer counters of a process; nested ones get keys of the form `section.name`."""
    flattened = {key: value for key, value in counters.items() if type(value) is int}
    for section, nested in counters.items():
        if isinstance(nested, dict):
            flattened |= {f"{section}.{key}": value for key, value in _flatten_counters(nested).items()}
    return flattened


def _free_datagram_address() -> tuple[str, int]:
    """Return a datagram address that is free at the moment; the process that is to bind it starts at once.

    The port is outside the kernel's ephemeral range, from which another process could get it before ours has
    started. The loopback address is derived from this bench's process id, so that another bench on the same
    machine can't take the port either.
    """
    pid = os.getpid()
    # A process id has at most 22 bits, so the second byte stays within 64 to 127.
    loopback_host = f"127.{LOOPBACK_SUBNET_START + (pid >> 16)}.{pid >> 8 & 255}.{pid & 255}"
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            try:
                sock.bind(
                    (
                        loopback_host,
                        DATAGRAM_PORT_RANGE[0]
                        + secrets.randbelow(DATAGRAM_PORT_RANGE[1] - DATAGRAM_PORT_RANGE[0]),
                    )
                )
            except OSError:
                continue
            host, port = sock.getsockname()
            return host, port


def _substitute(value: Any, placeholders: dict[str, str]) -> Any:
    """Return `value` with the `{name}` placeholders in all of its strings replaced."""
    if isinstance(value, str):
        for name, replacement in placeholders.items():
            value = value.replace("{" + name + "}", replacement)
        return value
    if isinstance(value, dict):
        return {key: _substitute(item, placeholders) for key, item in value.items()}
    return [_substitute(item, placeholders) for item in value] if isinstance(value, list) else value


def _add_fault(direction: LinkDirection, fault: Fault) -> None:
    """Add a fault to a direction. Delays and losses add up; the lower of two bandwidths applies."""
    match fault.what:
        case "cut" | "silence":
            direction.cut = True
        case "refuse":
            direction.refuse = True
        case "slow":
            direction.delay_s += fault.delay_ms / 1000.0
            direction.jitter_s += fault.jitter_ms / 1000.0
        case "lose":
            direction.loss = 1.0 - (1.0 - direction.loss) * (1.0 - fault.share)
        case "duplicate":
            direction.duplicate = max(direction.duplicate, fault.share)
        case "reorder":
            direction.reorder = max(direction.reorder, fault.share)
        case "narrow":
            direction.bytes_per_s = min(direction.bytes_per_s or math.inf, fault.bytes_per_s)


def _raise_descriptor_limit() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted_limit = hard if hard != resource.RLIM_INFINITY else MAX_DESCRIPTORS
    if soft < wanted_limit:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted_limit, hard))


def _remove_abandoned_folders() -> None:
    """Remove the temporary folders of benches that were killed, whose process no longer exists."""
    for folder in Path(tempfile.gettempdir()).glob(f"{TEMP_FOLDER_PREFIX}*-*"):
        owner_pid = folder.name.removeprefix(TEMP_FOLDER_PREFIX).partition("-")[0]
        if owner_pid.isdecimal() and not psutil.pid_exists(int(owner_pid)):
            shutil.rmtree(folder, ignore_errors=True)


def run_scenario(scenario: Scenario, progress: Callable[[str], None]) -> RunOutcome:
    """Run a scenario in an event loop of its own. Raises `ProcessError`, OSError."""
    _remove_abandoned_folders()
    with tempfile.TemporaryDirectory(prefix=f"{TEMP_FOLDER_PREFIX}{os.getpid()}-") as folder:

        async def run_bench() -> RunOutcome:
            loop = asyncio.get_running_loop()
            task = asyncio.current_task()
            assert task is not None
            loop.add_signal_handler(signal.SIGTERM, task.cancel)  # cancelling reaps the child processes
            return await Bench(scenario, Path(folder), progress).run()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run_bench())

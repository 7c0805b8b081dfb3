"""The sidecar's parts put together, its start and its end."""

import asyncio
import gc
import signal
import socket
import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from larkcrank.config.sidecar import Config, ConfigError
from larkcrank.core.balancer import DISCOVERY_SPREAD_PER_INSTANCE_MS, Balancer
from larkcrank.program import handover, kept
from larkcrank.program.clock import Clock
from larkcrank.program.counters import Counters
from larkcrank.program.log import Log
from larkcrank.program.ops import Operators
from larkcrank.protocol.discovery import ListUpdate, NameTable
from larkcrank.protocol.ops import Call
from larkcrank.routing.clients import Clients
from larkcrank.routing.discovery import Discovery
from larkcrank.routing.driver import Driver
from larkcrank.routing.life import Life, Phase
from larkcrank.routing.servers import Servers
from larkcrank.transport.budget import BufferBudget
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from larkcrank.transport.listener import Listener
from larkcrank.transport.pool import ConnectionPool

if TYPE_CHECKING:
    from larkcrank.program.together import Together

ACCEPT_ON_S = 0.55  # after SIGTERM new connections go on coming for up to 0.4 s
LEAVE_IDLE_S = 0.4  # and clients go on using those that they have
REST_S = 0.2  # but one just answered may bring its next request any moment
LEAVE_PASSED_S = 1.0  # where a successor serves, most clients are sent there by an answer, not by a close
LIST_S = 2.5  # a process whose predecessor can't be heard waits so long for discovery
LONGEST_MS = 3000.0  # the platform waits for the longest deadline, but no longer than this, ...
LAST_MS = 500.0  # ... and 0.7 s before it kills: by then nothing may be open ...
CUT_MS = 650.0  # ... and what then still reads or writes is ended
LOOK_S = 0.05


class Sidecar:
    def __init__(
        self, config: Config, log: Log, reread: Callable[[], Config], passed: socket.socket | None = None
    ) -> None:
        self.log = log
        self._config, self._reread = config, reread
        self.counters = Counters()
        self._clock = Clock()
        self._rng = Random(config.seed)
        site = config.site
        self.descriptors = DescriptorBudget(config.sockets, has_operators=config.ops is not None)
        self.budget = BufferBudget(config.memory_mb * (1 << 20))
        self.pool = ConnectionPool(self.descriptors, site.keepalive_ms)
        self._servers = servers = Servers(
            self.pool,
            self.descriptors,
            site.connect_timeout_ms,
            site.load_fields,
            config.max_body,
            self.budget,
            self._clock,
            self.counters,
            log.failure,
            site.decisions.only_draining_binds,
        )
        self._names = NameTable(list(site.zones), list(site.kinds))
        self._discovery = Discovery(
            config.discovery,
            self.descriptors,
            self._names,
            site.connect_timeout_ms,
            not site.decisions.must_ask,
            Random(self._rng.getrandbits(64)),
            self.counters,
            log.failure,
            DISCOVERY_SPREAD_PER_INSTANCE_MS * site.decisions.instances / 1000.0
            if site.decisions.must_ask
            else 0.0,
            config.elsewhere,
            config.watch_ms,
        )
        balancer = Balancer(site.decisions, Random(self._rng.getrandbits(64)), self._clock())
        self._balancer = balancer
        self._driver = Driver(
            balancer,
            self._clock,
            servers,
            self._discovery,
            site.max_open,
            site.grace_ms,
            self.counters,
            log,
        )
        self.life = Life()
        self.life.changed = self._life_changed
        self.clients = Clients(
            site.decisions,
            self._driver,
            self.life,
            self._clock.earliest,
            self.descriptors,
            self.budget,
            config.max_body,
            self.counters,
            log.failure,
        )
        self._listener = Listener(config.listen, self.descriptors, self.clients.accept, passed_socket=passed)
        self._others = [0, 0]  # processes of this sidecar that live beside this one: before it, after it
        self._predecessor: handover.Predecessor | None = None
        self._successors: handover.Successors | None = None
        self._operators: Listener | None = None
        if config.ops is not None:
            operators = Operators(self.life, self.descriptors, self._called, log.failure, self._view)
            self._operators = Listener(config.ops, self.descriptors, operators.accept, SocketUse.OPERATOR)
        self._sending_away: asyncio.Task[None] | None = None
        self._together = self._make_together()
        self._always_watch = not site.decisions.must_ask
        self._known = config.known
        self._known_count = 0
        self._ending = asyncio.Event()

    @property
    def place(self) -> tuple[str, int]:
        return self._listener.host_port

    @property
    def ops_place(self) -> tuple[str, int]:
        assert self._operators is not None
        return self._operators.host_port

    async def begin(self) -> None:
        """Serve as soon as that can be done by a list that is current enough.

        A process that serves already hands over its list and what it learnt. Where one is there and can't be
        heard, this one waits for discovery, but not long: a slow one must not keep it from its work.
        """
        if not self._listener.uses_passed_socket:
            self.start()
            return
        if self._operators is not None:
            self._operators.start()  # operators are told that it is not ready yet
        path = handover.path_in(tempfile.gettempdir(), self._config.name)
        handed, wait = None, False
        try:
            self._predecessor = await handover.find(path)
            if self._predecessor is not None:
                handed = handover.decode(await self._predecessor.read(), self._config.name, self._marks())
        except handover.HandoverError as error:
            wait = True
            self.log.event("handover_unusable", message=str(error))
        if self._predecessor is not None:
            self._shares(0, 1)
            self._predecessor.watch(self._predecessor_gone)
        self._learn_list(handed)
        if wait:
            until = asyncio.get_running_loop().time() + LIST_S
            while not self.counters.lists and asyncio.get_running_loop().time() < until:
                await asyncio.sleep(LOOK_S)
        await self._await_successors(path)
        self._open_door()

    async def _await_successors(self, path: Path) -> None:
        self._successors = handover.Successors(path, self._told, lambda count: self._shares(1, count))
        try:
            await self._successors.start()
        except OSError as error:  # the next process starts cold, this one serves all the same
            self.log.event("handover_unavailable", message=str(error))

    def _told(self) -> bytes:
        self.log.event("handed_over", servers=len(self._servers.places()))
        handed = handover.Handed(
            self._config.name,
            self._marks(),
            self._discovery.generation,
            self._names.zones,
            self._names.kinds,
            self._servers.places(),
            self._balancer.export_state(),
        )
        return handover.encode(handed)

    def _marks(self) -> str:
        """What two processes must have in common to mean the same by what they learnt."""
        return repr(self._config.site)

    def _shares(self, where: int, count: int) -> None:
        """The limits are those of one sidecar: its processes share them evenly while more than one lives."""
        self._others[where] = count
        self.descriptors.set_other_processes(sum(self._others))
        self.budget.set_other_processes(sum(self._others))
        self.log.event("processes", beside=sum(self._others))

    def _predecessor_gone(self) -> None:
        self._shares(0, 0)
        if self.life.phase is not Phase.STARTING:
            self._join()

    def _make_together(self) -> "Together | None":
        """The fleet's part, where one is configured and the platform lets sidecars talk."""
        config = self._config
        if config.fleet is None:
            return None
        if not config.site.may_talk:
            self.log.event("fleet_off", reason="settings.bounds.peers is false: sidecars may not talk")
            return None
        from larkcrank.program.together import Together  # a plain sidecar's start does not pay for it

        rng = Random(self._rng.getrandbits(64))
        return Together(config, self._names, self._clock, self.log, self._driver, rng)

    def _join(self) -> None:
        """Two processes of one sidecar are one member: the first speaks until it is gone."""
        if self._together is not None and not self._others[0]:
            self._together.attach(self._discovery)
            self._together.start()

    def _view(self) -> str | None:
        return None if self._together is None else self._together.view()

    def start(self) -> None:
        """Serve from now on, by the list as last held until discovery answers."""
        if self._operators is not None:
            self._operators.start()
        self._learn_list(None)
        self._open_door()

    def _learn_list(self, handed: handover.Handed | None) -> None:
        known: ListUpdate | None = None
        if self._together is not None and self._predecessor is None:  # beside one it asks for itself
            self._together.attach(self._discovery)
        if handed is not None:
            self._balancer.import_state(handed.learnt)
            self._names.zones[:], self._names.kinds[:] = handed.zones, handed.kinds
            endpoints = tuple(server.endpoint for server in handed.learnt.servers)
            known = ListUpdate(handed.generation or 0, True, endpoints, handed.places)
            self._discovery.go_on_from(handed.generation)
            self._discovery.doubt()  # the process before may have had no answer of late
            self.log.event("taken_over", known=len(endpoints), taken=handed.learnt.known[1])
        else:
            self._take_up(self._config.kept)
            known = self._discovery.start_from(self._known) if self._known else None
            if self._together is not None:
                known = self._together.known(known)
                self._discovery.go_on_from(known.generation if known is not None else None)
        if known is None:
            known = ListUpdate(0, True, ())
        # Also where none is known: the balancer sets its timer, by which it asks, on its first event.
        self._driver.told(known, cached=True)
        if self._always_watch:
            self._discovery.watch()
        self._clock.beat()
        self._known_count = len(known.endpoints)

    def _open_door(self) -> None:
        self._listener.start()
        self.life.start()
        self._join()
        host, port = self.place
        more = {"ops": "{}:{}".format(*self.ops_place)} if self._operators is not None else {}
        self.log.event("ready", listen=f"{host}:{port}", known=self._known_count, **more)

    def _called(self, call: Call, done: bool) -> None:
        self.counters.operators_calls += 1
        if call not in (Call.PING, Call.VIEW):  # these come again and again
            self.log.event("operators_call", call=call.name, done=done, now=self.life.phase.value)

    def _life_changed(self) -> None:
        if self.life.phase is Phase.DRAINING and self._sending_away is None:
            self._sending_away = asyncio.get_running_loop().create_task(self._send_away())

    async def _send_away(self) -> None:
        """While draining: close what rests, once clients have had the time to look elsewhere."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while self.life.phase is Phase.DRAINING:
            await asyncio.sleep(LOOK_S)
            if loop.time() - began >= LEAVE_IDLE_S:
                self.clients.close_idle(REST_S)
        self._sending_away = None

    def _take_up(self, path: str) -> None:
        """Begin with what was kept. A file that can't be used is logged, and the start is a cold one."""
        if not path:
            return
        try:
            usual = kept.read(Path(path), self._clock(), self._config.site.decisions.classes)
        except kept.KeptError as error:
            self.log.event("kept_unusable", message=str(error))
            return
        self._balancer.restore_answer_times(usual)
        self.log.event("kept_taken", classes=len(usual))

    def keep(self) -> None:
        """Write what was learnt, where the configuration names a file."""
        if not self._config.kept:
            return
        classes, usual = self._config.site.decisions.classes, self._balancer.usual_answer_times()
        try:
            kept.write(Path(self._config.kept), self._clock(), classes, usual)
        except OSError as error:
            self.log.event("kept_not_written", message=str(error.strerror))

    def end(self) -> None:
        """Ask for the planned end."""
        self._ending.set()

    def _loop_failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """An exception that ended a callback: the loop goes on."""
        self.counters.crashed += 1
        error = context.get("exception") or RuntimeError(str(context.get("message")))
        self.log.failure("loop", error)

    def reload(self) -> None:
        """Follow the configuration as it is now: discovery's address; the other keys are for a start."""
        try:
            new = self._reread()
        except ConfigError as error:
            self.log.event("bad_configuration", message=str(error), kept=True)
            return
        host, port = new.discovery
        self.log.event("reloaded", discovery=f"{host}:{port}", needs_restart=self._config.fixed_changes(new))
        self._discovery.move(new.discovery, new.elsewhere)

    def show_counters(self) -> None:
        more = {} if self._together is None else self._together.counters()
        self.log.event("counters", **self.counters.shown(), **more)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.end)
        loop.add_signal_handler(signal.SIGUSR1, self.show_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))  # blocked since the file was read
        loop.set_exception_handler(self._loop_failed)
        self.log.take_over()
        beginning = loop.create_task(self.begin())
        ending = loop.create_task(self._ending.wait())
        await asyncio.wait((beginning, ending), return_when=asyncio.FIRST_COMPLETED)
        if beginning.done():
            beginning.result()
            gc.collect()
            gc.freeze()  # what lives as long as the program need not be looked through again
        await ending
        beginning.cancel()  # ended before it began
        await asyncio.wait(
            (beginning,)
        )  # what it has half set up is whole, or given back, before all is closed
        await self.wind_down()
        self.keep()
        self.show_counters()
        self.log.event("ended")

    async def stop_listening(self) -> None:
        """Take what the kernel has accepted, then nothing more. Answers make room where there is none."""
        while not self._listener.accept_remaining_and_close():
            await asyncio.sleep(LOOK_S)
            self.clients.close_idle()

    def close(self) -> None:
        """Give back what a sidecar holds besides its clients' connections."""
        for listener in (self._listener, self._operators, self._together):
            if listener is not None:
                listener.close()
        if self._sending_away is not None:
            self._sending_away.cancel()
        for other in (self._predecessor, self._successors):
            if other is not None:
                other.close()
        self._discovery.close()
        self.pool.close()

    async def wind_down(self) -> None:
        """Serve on while clients still come, then answer what was taken, then go."""
        self.log.event("winding_down", connections=self.clients.open)
        if self._together is not None and not self._others[1]:  # else this member goes on in the successor
            self._together.leave()
        loop = asyncio.get_running_loop()
        began = loop.time()
        longest = max(cls.deadline_ms for cls in self._config.site.decisions.classes)
        last_ms = min(longest, LONGEST_MS) + LAST_MS
        self.life.end(self._clock() + last_ms)
        self._driver.end_by(self.life.latest)
        if self._listener.uses_passed_socket:
            await self.stop_listening()  # what waits there is the successor's
        while (spent := loop.time() - began) < (
            LEAVE_PASSED_S if self._listener.uses_passed_socket else ACCEPT_ON_S
        ):
            await asyncio.sleep(LOOK_S)
            if spent >= LEAVE_IDLE_S and not self._listener.uses_passed_socket:
                self.clients.close_idle(REST_S)  # a request that crosses this finds the listener still open
        await self.stop_listening()
        rest_s = REST_S if self._listener.uses_passed_socket else 0.0
        while self.clients.open:
            await asyncio.sleep(LOOK_S)  # what the last accept brought is read first
            self.clients.close_idle(rest_s)
            if loop.time() - began > (last_ms + CUT_MS - LAST_MS) / 1000.0:
                self.clients.cut()
        self.close()

"""The sidecar's parts put together, its start and its end."""

import asyncio
import gc
import signal
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from larkcrank.config.sidecar import Config, ConfigError
from larkcrank.core.balancer import Balancer
from larkcrank.program import kept
from larkcrank.program.clock import Clock
from larkcrank.program.counters import Counters
from larkcrank.program.log import Log
from larkcrank.program.ops import Operators
from larkcrank.protocol.discovery import Listing, Names
from larkcrank.protocol.ops import Call
from larkcrank.routing.clients import Clients
from larkcrank.routing.discovery import Discovery
from larkcrank.routing.driver import Driver
from larkcrank.routing.life import Life, Phase
from larkcrank.routing.servers import Servers
from larkcrank.transport.descriptors import Descriptors, Use
from larkcrank.transport.listener import Listener
from larkcrank.transport.pool import Pool

ACCEPT_ON_S = 0.55  # after SIGTERM new connections go on coming for up to 0.4 s
LEAVE_IDLE_S = 0.4  # and clients go on using those that they have
REST_S = 0.2  # but one just answered may bring its next request any moment
LAST_MS = 500.0  # the platform waits for the longest deadline and 0.7 s: nothing may be open by then
LOOK_S = 0.05


class Sidecar:
    def __init__(self, config: Config, log: Log, reread: Callable[[], Config]) -> None:
        self.log = log
        self._config, self._reread = config, reread
        self.counters = Counters()
        self._clock = Clock()
        self._rng = Random(config.seed)
        site = config.site
        self.descriptors = Descriptors(config.sockets, operators=config.ops is not None)
        self.pool = Pool(self.descriptors, site.keepalive_ms)
        servers = Servers(
            self.pool,
            self.descriptors,
            site.connect_timeout_ms,
            site.load_fields,
            config.max_answer,
            self._clock,
            self.counters,
            log.failure,
        )
        self._discovery = Discovery(
            config.discovery,
            self.descriptors,
            Names(list(site.zones), list(site.kinds)),
            site.connect_timeout_ms,
            not site.decisions.must_ask,
            Random(self._rng.getrandbits(64)),
            self.counters,
            log.failure,
        )
        balancer = Balancer(site.decisions, Random(self._rng.getrandbits(64)), self._clock())
        self._balancer = balancer
        self._take_up(config.kept)
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
            self.counters,
            log.failure,
        )
        self._listener = Listener(config.listen, self.descriptors, self.clients.accept)
        self._operators: Listener | None = None
        if config.ops is not None:
            operators = Operators(self.life, self.descriptors, self._called, log.failure)
            self._operators = Listener(config.ops, self.descriptors, operators.accept, Use.OPERATOR)
        self._sending_away: asyncio.Task[None] | None = None
        self._always_watch = not site.decisions.must_ask
        self._known = config.known
        self._ending = asyncio.Event()

    @property
    def place(self) -> tuple[str, int]:
        return self._listener.place

    @property
    def ops_place(self) -> tuple[str, int]:
        assert self._operators is not None
        return self._operators.place

    def start(self) -> None:
        """Serve from now on, by the list as last held until discovery answers."""
        if self._operators is not None:
            self._operators.start()
        known = self._discovery.start_from(self._known) if self._known else None
        if known is None:
            known = Listing(0, True, ())
        # Also where none is known: the balancer sets its timer, by which it asks, on its first event.
        self._driver.told(known, cached=True)
        if self._always_watch:
            self._discovery.watch()
        self._clock.beat()
        self._listener.start()
        self.life.start()
        host, port = self.place
        more = {"ops": "{}:{}".format(*self.ops_place)} if self._operators is not None else {}
        self.log.event("ready", listen=f"{host}:{port}", known=len(known.endpoints), **more)

    def _called(self, call: Call, done: bool) -> None:
        self.counters.operators_calls += 1
        if call is not Call.PING:  # that one comes again and again
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
        self._balancer.start_from(usual)
        self.log.event("kept_taken", classes=len(usual))

    def keep(self) -> None:
        """Write what was learnt, where the configuration names a file."""
        if not self._config.kept:
            return
        classes, usual = self._config.site.decisions.classes, self._balancer.usual_times()
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
        self._discovery.move(new.discovery)

    def show_counters(self) -> None:
        self.log.event("counters", **self.counters.shown())

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.end)
        loop.add_signal_handler(signal.SIGUSR1, self.show_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))  # blocked since the file was read
        loop.set_exception_handler(self._loop_failed)
        self.log.take_over()
        self.start()
        gc.collect()
        gc.freeze()  # what lives as long as the program need not be looked through again
        await self._ending.wait()
        await self.wind_down()
        self.keep()
        self.show_counters()
        self.log.event("ended")

    async def stop_listening(self) -> None:
        """Take what the kernel has accepted, then nothing more. Answers make room where there is none."""
        while not self._listener.finish():
            await asyncio.sleep(LOOK_S)
            self.clients.close_idle()

    def close(self) -> None:
        """Give back what a sidecar holds besides its clients' connections."""
        for listener in (self._listener, self._operators):
            if listener is not None:
                listener.close()
        if self._sending_away is not None:
            self._sending_away.cancel()
        self._discovery.close()
        self.pool.close()

    async def wind_down(self) -> None:
        """Serve on while clients still come, then answer what was taken, then go."""
        self.log.event("winding_down", connections=self.clients.open)
        loop = asyncio.get_running_loop()
        began = loop.time()
        longest = max(cls.deadline_ms for cls in self._config.site.decisions.classes)
        self.life.end(self._clock() + longest + LAST_MS)
        while (spent := loop.time() - began) < ACCEPT_ON_S:
            await asyncio.sleep(LOOK_S)
            if spent >= LEAVE_IDLE_S:
                self.clients.close_idle(REST_S)  # a request that crosses this finds the listener still open
        await self.stop_listening()
        while True:
            await asyncio.sleep(LOOK_S)  # what the last accept brought is read first
            if not self.clients.close_idle():
                break
        await self.clients.finished()
        self.close()

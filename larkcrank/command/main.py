"""`larkcrank`: serve, check a configuration, play the fleet bench, measure by size.

Needs the extra `lab`, but for `serve`.
"""

import os
import socket
import sys
from importlib import import_module
from pathlib import Path
from typing import NoReturn

import click
import msgspec
import structlog

from larkcrank.config import sidecar

BAD_INPUT = 2
PROGRESS_WORLDS = 500
VIEW_S = 5.0


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Client-side load balancer, and the bench for fleets of it."""


@main.command()
def serve() -> None:
    """Run one sidecar, configured by PROXY_CONFIG."""
    from larkcrank.program.start import serve as run

    sys.exit(run())


@main.group()
def config() -> None:
    """Configuration files."""


@config.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def config_check(file: Path) -> None:
    """Say whether a sidecar would start with FILE; name the key that is wrong."""
    try:
        found = sidecar.parse(file.read_bytes(), os.environ)
    except OSError as error:
        _refuse(f"{file}: {error.strerror}")
    except sidecar.ConfigError as error:
        _refuse(f"{file}: {error}")
    classes = len(found.site.decisions.classes)
    click.echo(
        f"{file}: good; {found.name}, {classes} classes, discovery {':'.join(map(str, found.discovery))}"
    )


@main.group()
def fleet() -> None:
    """Many processes of the program, and faults between them."""


@fleet.command("run")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="In place of the scenario's own.")
@click.option("--repeat", type=click.IntRange(1, 1000), default=1, help="Runs, each with the next seed.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder for ledgers, results, tables, charts.")
def fleet_run(scenario: Path, seed: int | None, repeat: int, out: Path | None) -> None:
    """Play SCENARIO. Exit code 1: a rule broken or an expectation missed; 2: bad input; 3: cut short."""
    from larkcrank.lab import bench, report
    from larkcrank.lab import scenario as scenarios
    from larkcrank.lab.processes import ProcessError

    log = _log()
    try:
        first = scenarios.load(scenario, seed)
    except scenarios.ScenarioError as error:
        _refuse(str(error))
    results = []
    for number in range(repeat):
        one = msgspec.structs.replace(first, seed=first.seed + number)
        folder = None if out is None else out / f"{one.name}-{one.seed}"
        try:
            if folder is not None:
                folder.mkdir(parents=True, exist_ok=True)
                (folder / report.RESULT_FILE).unlink(missing_ok=True)
            log.info("playing", scenario=one.name, seed=one.seed, processes=one.fleet.processes)
            played = bench.play(one, lambda text: log.info("progress", text=text))
            if folder is not None:
                played.ledger.write(folder / "ledger.jsonl")
        except (ProcessError, bench.BenchError) as error:
            log.error("run_ended", reason=str(error))
            sys.exit(3)
        except BaseExceptionGroup as group:
            log.error("run_ended", reason="; ".join(str(error) for error in group.exceptions))
            sys.exit(3)
        except OSError as error:
            log.error("run_ended", reason=str(error))
            sys.exit(3)
        result = report.summarize(one, played)
        if folder is not None:
            report.write_result(result, folder)
        for breach in result.breaches[: report.MAX_SHOWN_BREACHES]:
            log.error("breach", rule=breach.rule, at=round(breach.at, 3), who=breach.who, text=breach.text)
        log.info("played", seed=one.seed, passed=result.passed, served=round(result.served, 3))
        results.append(result)
    click.echo(report.to_markdown(results), nl=False)
    if out is not None:
        report.write_tables(results, out)
    sys.exit(0 if all(result.passed for result in results) else 1)


@fleet.command("report")
@click.argument("folders", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="Folder for the tables and the chart.")
def fleet_report(folders: tuple[Path, ...], out: Path | None) -> None:
    """Tables and a chart of runs of one scenario from the FOLDERS that they left."""
    from larkcrank.lab import report

    try:
        results = [report.read_result(folder / report.RESULT_FILE) for folder in folders]
    except ValueError as error:
        _refuse(str(error))
    if len({result.scenario for result in results}) > 1:
        _refuse("the runs are of different scenarios")
    click.echo(report.to_markdown(results), nl=False)
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        report.write_tables(results, out)


@fleet.command("cost")
@click.option("--count", type=click.IntRange(10, 1_000_000), default=20_000, help="Round trips.")
def fleet_cost(count: int) -> None:
    """What a link itself costs on this machine: round trips of 200 bytes without one and through one."""
    from larkcrank.lab import cost

    click.echo("| way | p50, us | p99, us | CPU, us |\n| --- | --- | --- | --- |")
    for name, one in zip(("direct", "through a link"), cost.measure(count), strict=True):
        click.echo(f"| {name} | {one.p50_us:.0f} | {one.p99_us:.0f} | {one.cpu_us:.0f} |")


@fleet.command("hunt")
@click.option("--seeds", type=click.IntRange(0), default=1000, help="Worlds drawn from a seed.")
@click.option("--first", type=click.IntRange(0), default=0, help="The first seed.")
@click.option("--depth", type=click.IntRange(0, 3), default=1, help="Spells of the bounded worlds; 0: none.")
@click.option("--jobs", type=click.IntRange(0), default=0, help="Side by side; 0: as many as processors.")
def fleet_hunt(seeds: int, first: int, depth: int, jobs: int) -> None:
    """Search worlds in virtual time for one in which the view does not settle. Exit code 1: found."""
    from larkcrank.lab import worlds

    log, done, findings = _log(), 0, 0
    for done, found in worlds.search(range(first, first + seeds), depth, jobs):
        findings += len(found)
        for one in found:
            log.error("finding", world=one.reproducer, what=one.problem)
        if done % PROGRESS_WORLDS == 0:
            log.info("progress", played=done, found=findings)
    click.echo(f"{done} worlds, {findings} findings")
    sys.exit(1 if findings else 0)


@fleet.command("settling")
@click.option("--members", type=click.IntRange(2), multiple=True, default=(10, 100), help="Sizes.")
@click.option("--seed", type=int, default=1)
def fleet_settling(members: tuple[int, ...], seed: int) -> None:
    """How long the view takes to settle and what it costs, by size, in virtual time."""
    from larkcrank.lab import settling

    click.echo("| members | what | figure | |\n| --- | --- | --- | --- |")
    for count in members:
        for part in (settling.convergence_times, settling.steady_state_traffic, settling.false_death_rates):
            for row in part(count, seed):
                click.echo(f"| {row.members} | {row.quantity} | {row.value:.2f} | {row.unit} |")


@fleet.command("view")
@click.argument("place")
def fleet_view(place: str) -> None:
    """The fleet as the sidecar at PLACE (host:port of its operators' address) sees it."""
    from larkcrank.protocol.discovery import host_port

    try:
        host, port = host_port(place)
        with socket.create_connection((host, port), timeout=VIEW_S) as sock:
            sock.sendall(b"VIEW\n")
            told = b"".join(iter(lambda: sock.recv(65536), b"")).decode("utf-8", "replace")
    except ValueError as error:
        _refuse(str(error))
    except OSError as error:
        click.echo(f"{place}: {error}", err=True)
        sys.exit(1)
    code, _, text = told.partition(" ")
    if code != "200":
        click.echo(f"{place}: {text.strip() or 'no answer'}", err=True)
        sys.exit(1)
    head, _, members = text.partition(" [")
    click.echo(f"{head}\n\n| member | standing | place | zone | incarnation | life |\n|{' --- |' * 6}")
    for one in msgspec.json.decode("[" + members):
        row = (one[key] for key in ("name", "standing", "place", "zone", "incarnation", "life"))
        click.echo(f"| {' | '.join(map(str, row))} |")


class _Scale(click.Group):
    """`run`, and the commands that modules of the lab hold; one is loaded only when it is asked for."""

    modules = ("path", "plan", "view")

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), *self.modules])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name in self.modules:
            found: click.Command = getattr(import_module(f"larkcrank.lab.scale.{name}"), name)
            return found
        return super().get_command(context, name)


@main.group(cls=_Scale)
def scale() -> None:
    """What one cost becomes by size: measured, fitted, and reckoned on."""


@scale.command("run")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("docs/scale"),
    show_default=True,
    help="Folder for raw points (runs/), slopes (slopes/) and the chart.",
)
def scale_run(file: Path, out: Path) -> None:
    """Measure the series in FILE and fit its slopes. Exit code 2: bad input; 3: cut short."""
    from larkcrank.lab.processes import ProcessError
    from larkcrank.lab.scale import runs, series
    from larkcrank.lab.scale.children import ChildError
    from larkcrank.lab.scale.machine import LimitError
    from larkcrank.lab.scale.measure import MeasureError

    log = _log()
    try:
        found = series.load(file)
    except series.SeriesError as error:
        _refuse(str(error))
    log.info("measuring", series=found.name, by=found.by, sizes=found.sizes, repeats=found.repeats)
    try:
        fitted = runs.run(found, file, out, lambda text: log.info("progress", text=text))
    except (ChildError, LimitError, MeasureError, ProcessError, OSError) as error:
        log.error("run_ended", reason=str(error))
        sys.exit(3)
    except KeyboardInterrupt:
        log.error("run_ended", reason="interrupted")
        sys.exit(3)
    runs.charts(fitted, out / f"{found.name}.png")
    click.echo(runs.table(fitted), nl=False)


def _log() -> structlog.typing.FilteringBoundLogger:
    """One JSON object a line on standard error, as the sidecar has it."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.add_log_level,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
    log: structlog.typing.FilteringBoundLogger = structlog.get_logger()
    return log


def _refuse(text: str) -> NoReturn:
    click.echo(text, err=True)
    sys.exit(BAD_INPUT)

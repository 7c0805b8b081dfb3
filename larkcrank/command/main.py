"""The `larkcrank` command: serve, check a configuration, run fleet tests, measure scaling.

All commands need the optional dependencies `lab`. Without them, `python -m larkcrank` still runs a sidecar.
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

EXIT_BAD_INPUT = 2
PROGRESS_INTERVAL_WORLDS = 500  # simulated fleets between two progress messages
VIEW_TIMEOUT_S = 5.0


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Client-side load balancer, and a test bench for fleets of it."""


@main.command()
def serve() -> None:
    """Run one sidecar, configured by PROXY_CONFIG."""
    from larkcrank.program.start import serve as run_sidecar

    sys.exit(run_sidecar())


@main.group()
def config() -> None:
    """Configuration files."""


@config.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def config_check(file: Path) -> None:
    """Check whether a sidecar would start with FILE, and name the invalid key if not."""
    try:
        parsed = sidecar.parse(file.read_bytes(), os.environ)
    except OSError as error:
        _exit_bad_input(f"{file}: {error.strerror}")
    except sidecar.ConfigError as error:
        _exit_bad_input(f"{file}: {error}")
    class_count = len(parsed.site.decisions.classes)
    click.echo(
        f"{file}: good; {parsed.name}, {class_count} classes, "
        f"discovery {':'.join(map(str, parsed.discovery))}"
    )


@main.group()
def fleet() -> None:
    """Run and inspect fleets of sidecars."""


@fleet.command("run")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="Overrides the scenario's seed.")
@click.option(
    "--repeat", type=click.IntRange(1, 1000), default=1, help="Number of runs, each with the next seed."
)
@click.option(
    "--out", type=click.Path(path_type=Path), help="Directory for ledgers, results, tables and charts."
)
def fleet_run(scenario: Path, seed: int | None, repeat: int, out: Path | None) -> None:
    """Run SCENARIO. Exit code 1: a rule or an expectation failed; 2: bad input; 3: aborted."""
    from larkcrank.lab import bench, report
    from larkcrank.lab import scenario as scenarios
    from larkcrank.lab.processes import ProcessError

    log = _configure_log()
    try:
        first_scenario = scenarios.load_scenario(scenario, seed)
    except scenarios.ScenarioError as error:
        _exit_bad_input(str(error))
    results = []
    for run_index in range(repeat):
        run_scenario = msgspec.structs.replace(first_scenario, seed=first_scenario.seed + run_index)
        directory = None if out is None else out / f"{run_scenario.name}-{run_scenario.seed}"
        try:
            if directory is not None:
                directory.mkdir(parents=True, exist_ok=True)
                (directory / report.RESULT_FILE).unlink(missing_ok=True)
            log.info(
                "playing",
                scenario=run_scenario.name,
                seed=run_scenario.seed,
                processes=run_scenario.fleet.processes,
            )
            recording = bench.run_scenario(run_scenario, lambda text: log.info("progress", text=text))
            if directory is not None:
                recording.ledger.write(directory / "ledger.jsonl")
        except (ProcessError, bench.BenchError) as error:
            log.error("run_ended", reason=str(error))
            sys.exit(3)
        except BaseExceptionGroup as group:
            log.error("run_ended", reason="; ".join(str(error) for error in group.exceptions))
            sys.exit(3)
        except OSError as error:
            log.error("run_ended", reason=str(error))
            sys.exit(3)
        result = report.summarize(run_scenario, recording)
        if directory is not None:
            report.write_result(result, directory)
        for breach in result.breaches[: report.MAX_SHOWN_BREACHES]:
            log.error("breach", rule=breach.rule, at=round(breach.at, 3), who=breach.who, text=breach.text)
        log.info("played", seed=run_scenario.seed, passed=result.passed, served=round(result.served, 3))
        results.append(result)
    click.echo(report.to_markdown(results), nl=False)
    if out is not None:
        report.write_tables(results, out)
    sys.exit(0 if all(result.passed for result in results) else 1)


@fleet.command("report")
@click.argument("folders", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="Directory for the tables and the chart.")
def fleet_report(folders: tuple[Path, ...], out: Path | None) -> None:
    """Print tables and a chart of runs of one scenario, from their output directories FOLDERS."""
    from larkcrank.lab import report

    try:
        results = [report.read_result(folder / report.RESULT_FILE) for folder in folders]
    except ValueError as error:
        _exit_bad_input(str(error))
    if len({result.scenario for result in results}) > 1:
        _exit_bad_input("the runs are of different scenarios")
    click.echo(report.to_markdown(results), nl=False)
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        report.write_tables(results, out)


@fleet.command("cost")
@click.option("--count", type=click.IntRange(10, 1_000_000), default=20_000, help="Round trips.")
def fleet_cost(count: int) -> None:
    """Measure the overhead of the bench's links: round trips of 200 bytes, direct and through a link."""
    from larkcrank.lab import cost

    click.echo("| way | p50, us | p99, us | CPU, us |\n| --- | --- | --- | --- |")
    for name, round_trips in zip(("direct", "through a link"), cost.measure_link_cost(count), strict=True):
        click.echo(
            f"| {name} | {round_trips.p50_us:.0f} | {round_trips.p99_us:.0f} | {round_trips.cpu_us:.0f} |"
        )


@fleet.command("hunt")
@click.option(
    "--seeds", type=click.IntRange(0), default=1000, help="Number of random worlds, one for each seed."
)
@click.option("--first", type=click.IntRange(0), default=0, help="The first seed.")
@click.option(
    "--depth",
    type=click.IntRange(0, 3),
    default=1,
    help="Fault periods per world of the exhaustive search; 0: no such search.",
)
@click.option("--jobs", type=click.IntRange(0), default=0, help="Parallel jobs; 0: one for each processor.")
def fleet_hunt(seeds: int, first: int, depth: int, jobs: int) -> None:
    """Search simulated fleets (worlds) for one whose view does not converge. Exit code 1: found."""
    from larkcrank.lab import worlds

    log, worlds_done, finding_count = _configure_log(), 0, 0
    for worlds_done, new_findings in worlds.search(range(first, first + seeds), depth, jobs):
        finding_count += len(new_findings)
        for finding in new_findings:
            log.error("finding", world=finding.reproducer, what=finding.problem)
        if worlds_done % PROGRESS_INTERVAL_WORLDS == 0:
            log.info("progress", played=worlds_done, found=finding_count)
    click.echo(f"{worlds_done} worlds, {finding_count} findings")
    sys.exit(1 if finding_count else 0)


@fleet.command("settling")
@click.option("--members", type=click.IntRange(2), multiple=True, default=(10, 100), help="Fleet sizes.")
@click.option("--seed", type=int, default=1)
def fleet_settling(members: tuple[int, ...], seed: int) -> None:
    """Measure in virtual time how fast the view converges and what it costs, for each fleet size."""
    from larkcrank.lab import settling

    click.echo("| members | what | figure | |\n| --- | --- | --- | --- |")
    for member_count in members:
        for measure in (
            settling.convergence_times,
            settling.steady_state_traffic,
            settling.false_death_rates,
        ):
            for row in measure(member_count, seed):
                click.echo(f"| {row.members} | {row.quantity} | {row.value:.2f} | {row.unit} |")


@fleet.command("view")
@click.argument("place")
def fleet_view(place: str) -> None:
    """Print the fleet as seen by the sidecar whose operators' address is PLACE (host:port)."""
    from larkcrank.protocol.discovery import parse_host_port

    try:
        host, port = parse_host_port(place)
        with socket.create_connection((host, port), timeout=VIEW_TIMEOUT_S) as sock:
            sock.sendall(b"VIEW\n")
            answer = b"".join(iter(lambda: sock.recv(65536), b"")).decode("utf-8", "replace")
    except ValueError as error:
        _exit_bad_input(str(error))
    except OSError as error:
        click.echo(f"{place}: {error}", err=True)
        sys.exit(1)
    status, _, text = answer.partition(" ")
    if status != "200":
        click.echo(f"{place}: {text.strip() or 'no answer'}", err=True)
        sys.exit(1)
    summary, _, members = text.partition(" [")
    click.echo(f"{summary}\n\n| member | standing | place | zone | incarnation | life |\n|{' --- |' * 6}")
    for member in msgspec.json.decode("[" + members):
        row = (member[key] for key in ("name", "standing", "place", "zone", "incarnation", "life"))
        click.echo(f"| {' | '.join(map(str, row))} |")


class _LazyGroup(click.Group):
    """Imports each command in `lazy_commands` from `larkcrank.lab.scale` only when it is used."""

    lazy_commands = ("path", "plan", "view")

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), *self.lazy_commands])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name in self.lazy_commands:
            command: click.Command = getattr(import_module(f"larkcrank.lab.scale.{name}"), name)
            return command
        return super().get_command(context, name)


@main.group(cls=_LazyGroup)
def scale() -> None:
    """Measure how costs grow with size, and extrapolate."""


@scale.command("run")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("docs/scale"),
    show_default=True,
    help="Directory for raw points (runs/), slopes (slopes/) and the chart.",
)
def scale_run(file: Path, out: Path) -> None:
    """Measure the series in FILE and fit its slopes. Exit code 2: bad input; 3: aborted."""
    from larkcrank.lab.processes import ProcessError
    from larkcrank.lab.scale import runs, series
    from larkcrank.lab.scale.children import ChildError
    from larkcrank.lab.scale.machine import LimitError
    from larkcrank.lab.scale.measure import MeasureError

    log = _configure_log()
    try:
        loaded_series = series.load(file)
    except series.SeriesError as error:
        _exit_bad_input(str(error))
    log.info(
        "measuring",
        series=loaded_series.name,
        by=loaded_series.by,
        sizes=loaded_series.sizes,
        repeats=loaded_series.repeats,
    )
    try:
        fitted_slopes = runs.run_series(
            loaded_series, file, out, lambda text: log.info("progress", text=text)
        )
    except (ChildError, LimitError, MeasureError, ProcessError, OSError) as error:
        log.error("run_ended", reason=str(error))
        sys.exit(3)
    except KeyboardInterrupt:
        log.error("run_ended", reason="interrupted")
        sys.exit(3)
    runs.draw_charts(fitted_slopes, out / f"{loaded_series.name}.png")
    click.echo(runs.markdown_table(fitted_slopes), nl=False)


def _configure_log() -> structlog.typing.FilteringBoundLogger:
    """Return a log that writes one JSON object per line to standard error, like the sidecar's log."""
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


def _exit_bad_input(text: str) -> NoReturn:
    click.echo(text, err=True)
    sys.exit(EXIT_BAD_INPUT)

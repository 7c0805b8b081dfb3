"""What a run brought, as figures, tables and a chart. A run that was cut short leaves no result."""

import csv
import io
import math
from collections import Counter
from pathlib import Path
from statistics import median

import matplotlib
import msgspec
from hdrh.histogram import HdrHistogram

from larkcrank.config.settings import convert
from larkcrank.lab.bench import ResourceUsage, RunOutcome, SettleResult
from larkcrank.lab.endpoints import excess_in_sqrt_units, limit_utilisation
from larkcrank.lab.ledger import Ask
from larkcrank.lab.rules import Breach
from larkcrank.lab.scenario import Scenario, resolve_members
from larkcrank.lab.settings import BASE_SETTINGS, merge_settings

matplotlib.use("Agg")
import matplotlib.pyplot as plt

RESULT = "result.json"
VERSION = 1
MOST_US = 120_000_000
SHOWN_BREACHES = 20


class Share(msgspec.Struct, frozen=True):
    name: str
    served: float
    asked: int
    at_least: float


class Result(msgspec.Struct):
    """One run. Shares are of what clients meant to ask, latencies in ms from the intended time."""

    version: int
    scenario: str
    seed: int
    passed: bool
    asked: int
    served: float
    refused: int
    failed: int
    unreached: int
    p50_ms: float
    p99_ms: float
    connections: int
    most_connections: int
    list_calls: int
    list_calls_most: int  # in one second
    datagrams: int
    breaches: list[Breach]
    by_rule: dict[str, int]
    windows: list[Share]
    settled: list[SettleResult]
    unsettled: int
    use: ResourceUsage
    lag_ms: float
    seconds: list[float]  # served share of each second; -1: nobody asked
    faults: list[tuple[float, str, str]]
    counters: dict[str, int]
    came_back: int = 0  # tries of clients that had been refused
    came_back_served: float = -1.0  # share of them that were served
    cold: dict[str, tuple[float, float]] = {}  # by endpoint: calls in its worst window while cold, and N


def aims(scenario: Scenario) -> dict[str, float]:
    """Seconds from the intended time within which an answer earns, by class."""
    decisions = convert(merge_settings(BASE_SETTINGS, scenario.fleet.settings)).decisions
    return {cls.name: cls.aim_ms / 1000.0 for cls in decisions.classes}


def summary(scenario: Scenario, played: RunOutcome) -> Result:
    ledger, aim = played.ledger, aims(scenario)
    meant: dict[str, tuple[Ask, bool]] = {}  # each intention once, however often its client came back
    latencies = HdrHistogram(1, MOST_US, 3)
    for ask in ledger.asks:
        took = ask.ended_at - ask.meant_at
        good = ask.status == 200 and took <= aim[ask.cls]
        first, was = meant.get(ask.first, (ask, False))
        meant[ask.first] = (first, was or good)
        if ask.status == 200:
            latencies.record_value(min(max(int(took * 1e6), 1), MOST_US))

    def share(since: float, to: float, who: set[int]) -> tuple[float, int]:
        those = [good for ask, good in meant.values() if since <= ask.meant_at < to and ask.sidecar in who]
        return (sum(those) / len(those) if those else -1.0), len(those)

    everyone = set(range(scenario.fleet.processes))
    windows = []
    for window in scenario.windows:
        served, asked = share(window.since, window.to, resolve_members(window.who, scenario)["sidecars"])
        windows.append(Share(window.name, served, asked, window.at_least))
    served, asked = share(-math.inf, math.inf, everyone)
    back = [ask for ask in ledger.asks if ask.first != ask.id]
    calls = Counter(int(at) for at, _ in ledger.list_calls)
    unsettled = sum(math.isinf(one.took) for one in played.settled)
    short = [one for one in windows if one.served < one.at_least]
    return Result(
        VERSION,
        scenario.name,
        scenario.seed,
        not played.breaches and not unsettled and not short,
        asked,
        served,
        sum(ask.status in (429, 503) for ask in ledger.asks),
        sum(ask.status not in (0, 200, 429, 503) for ask in ledger.asks),
        sum(ask.why == "unreached" for ask in ledger.asks),
        latencies.get_value_at_percentile(50.0) / 1000.0,
        latencies.get_value_at_percentile(99.0) / 1000.0,
        ledger.connections,
        played.most_connections,
        len(ledger.list_calls),
        max(calls.values(), default=0),
        ledger.datagrams,
        played.breaches,
        dict(Counter(breach.rule for breach in played.breaches)),
        windows,
        [msgspec.structs.replace(one, took=-1.0) if math.isinf(one.took) else one for one in played.settled],
        unsettled,
        played.use,
        played.lag_s * 1000.0,
        [share(second, second + 1, everyone)[0] for second in range(math.ceil(scenario.seconds))],
        [(event.at, event.text, event.who) for event in ledger.events if event.what == "fault"],
        {key: value for key, value in played.counters.items() if isinstance(value, int)},
        len(back),
        sum(ask.status == 200 for ask in back) / len(back) if back else -1.0,
        ledger.worst_cold_windows,
    )


def figures(result: Result) -> dict[str, float]:
    """What is compared from run to run."""
    found = {
        "served": result.served,
        "p50 ms": result.p50_ms,
        "p99 ms": result.p99_ms,
        "refused": float(result.refused),
        "failed": float(result.failed),
        "unreached": float(result.unreached),
        "connections": float(result.connections),
        "most connections at one endpoint": float(result.most_connections),
        "list calls": float(result.list_calls),
        "list calls, most in a second": float(result.list_calls_most),
        "datagrams": float(result.datagrams),
        "breaches": float(len(result.breaches)),
    }
    if result.came_back:
        found |= {"came back": float(result.came_back), "served, of those": result.came_back_served}
    if result.cold:
        calls, allowed = max(result.cold.values(), key=lambda one: limit_utilisation(*one))
        found["calls at a cold endpoint, in the worst window"] = calls
        found["N then"] = allowed
        found["beyond N, in roots of N"] = excess_in_sqrt_units(calls, allowed)
        shares = [limit_utilisation(*one) for one in result.cold.values()]
        found["share of N and chance, worst"] = max(shares)
        found["share of N and chance, median of the cold ones"] = median(shares)
    found |= {f"served, {one.name}": one.served for one in result.windows}
    for index, one in enumerate(result.settled):
        found[f"settled {index} ({one.call}), s"] = one.took
    found |= {
        "memory of the processes, MB": result.use.memory_mb,
        "CPU of the processes, s": result.use.cpu_s,
        "CPU of the bench, s": result.use.bench_cpu_s,
        "seconds until ready": result.use.ready_s,
        "bench at most late, ms": result.lag_ms,
    }
    return found


def rows(results: list[Result]) -> list[list[str]]:
    """A header, then a row a figure: each run's, and where there are several least, median and most."""
    several = len(results) > 1
    head = ["figure", *(f"seed {result.seed}" for result in results)]
    table = [head + (["least", "median", "most"] if several else [])]
    columns = [figures(result) for result in results]
    for name in columns[0]:
        values = [column.get(name, math.nan) for column in columns]
        shown = values + ([min(values), median(values), max(values)] if several else [])
        table.append([name, *(f"{value:.3f}".rstrip("0").rstrip(".") for value in shown)])
    verdicts = ["passed" if result.passed else "FAILED" for result in results]
    same = "same" if len(set(verdicts)) == 1 else "differs"
    table.append(["verdict", *verdicts, *([same, "", ""] if several else [])])
    return table


def markdown(results: list[Result]) -> str:
    first, *rest = rows(results)
    lines = [
        f"# {results[0].scenario}",
        "",
        "Real processes; endpoints, discovery and clients are stand-ins.",
        "",
    ]
    lines += [f"| {' | '.join(first)} |", "|" + " --- |" * len(first)]
    lines += [f"| {' | '.join(row)} |" for row in rest]
    lines += ["", "| at, s | fault | who |", "| --- | --- | --- |"]
    lines += [f"| {at:.2f} | {what} | {who} |" for at, what, who in results[0].faults]
    for result in results:
        if result.breaches:
            rules = ", ".join(f"{rule} {count}" for rule, count in sorted(result.by_rule.items()))
            lines += ["", f"Breaches with seed {result.seed} ({rules}):", ""]
            shown = result.breaches[:SHOWN_BREACHES]
            lines += [f"- {one.at:.3f} s, {one.rule}, {one.who}: {one.text}" for one in shown]
    return "\n".join(lines) + "\n"


def comma_separated(results: list[Result]) -> str:
    out = io.StringIO()
    csv.writer(out, lineterminator="\n").writerows(rows(results))
    return out.getvalue()


def chart(results: list[Result], path: Path) -> None:
    """Served share by second, each run a line, with the faults; SVG or PNG by the path's ending."""
    figure, axes = plt.subplots(figsize=(10, 4.2))
    for result in results:
        spots = [(second + 0.5, share) for second, share in enumerate(result.seconds) if share >= 0.0]
        axes.plot(*zip(*spots, strict=True), linewidth=1.2, label=f"seed {result.seed}")
    for number, settled in enumerate(one for result in results for one in result.settled):
        ends = [*settled.course, *([(settled.at + settled.took, 1.0)] if settled.took >= 0.0 else [])]
        label = "members that agree" if not number else None
        axes.step(
            *zip(*ends, strict=True), where="post", color="0.4", linestyle="--", linewidth=0.9, label=label
        )
    for index, (at, what, who) in enumerate(results[0].faults):
        axes.axvline(at, color="0.6", linestyle=":", linewidth=1.0)
        axes.text(at, 0.02 + 0.07 * (index % 6), f" {what} {who}", fontsize=7, color="0.3", clip_on=True)
    axes.set(
        xlabel="seconds", ylabel="served, of what was meant", ylim=(0.0, 1.02), title=results[0].scenario
    )
    axes.set_xlim(0.0, max(len(result.seconds) for result in results))
    axes.legend(fontsize=7, loc="lower right")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def write(result: Result, folder: Path) -> None:
    """The result in one step, last of all that a run leaves. Raises OSError."""
    beside = folder / f"{RESULT}.part"
    beside.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
    beside.replace(folder / RESULT)


def read(path: Path) -> Result:
    """Raises ValueError with the file's name where it holds no result."""
    try:
        result = msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(f"{path}: {error}") from None
    if result.version != VERSION:
        raise ValueError(f"{path}: version {result.version}, not {VERSION}")
    return result


def write_tables(results: list[Result], folder: Path) -> None:
    (folder / "report.md").write_text(markdown(results))
    (folder / "report.csv").write_text(comma_separated(results))
    chart(results, folder / "report.svg")
    chart(results, folder / "report.png")

"""Turns the record of a run into a result file, tables and a chart. An interrupted run writes no result."""

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

RESULT_FILE = "result.json"
RESULT_VERSION = 1  # format of the result file
MAX_LATENCY_US = 120_000_000  # upper bound of the latency histogram
MAX_SHOWN_BREACHES = 20


class Share(msgspec.Struct, frozen=True):
    """The share of requests served in time within one window of the scenario."""

    name: str
    served: float  # share served in time; -1: no request
    asked: int
    at_least: float  # the share that the scenario expects


class Result(msgspec.Struct):
    """The result of one run, as it is written to the result file.

    Shares are of the requests that clients intended to send; latencies count from the intended send time.
    """

    version: int
    scenario: str
    seed: int
    passed: bool
    asked: int
    served: float
    refused: int
    failed: int
    unreached: int  # requests that never got to a sidecar
    p50_ms: float
    p99_ms: float
    connections: int
    most_connections: int  # highest number at one endpoint
    list_calls: int
    list_calls_most: int  # highest number in one second
    datagrams: int
    breaches: list[Breach]
    by_rule: dict[str, int]
    windows: list[Share]
    settled: list[SettleResult]
    unsettled: int
    use: ResourceUsage
    lag_ms: float  # longest delay of the bench's own event loop
    seconds: list[float]  # served share of each second; -1: no request in that second
    faults: list[tuple[float, str, str]]  # time in s, fault, affected members
    counters: dict[str, int]
    came_back: int = 0  # repeated tries of clients after a refusal
    came_back_served: float = -1.0  # share of those tries that were served; -1: there were none
    # By endpoint: the calls in its worst window while cold, and N, the number that the rule allowed then.
    cold: dict[str, tuple[float, float]] = {}


def target_latencies_s(scenario: Scenario) -> dict[str, float]:
    """By request class: the latency from the intended send time up to which an answer is in time."""
    decisions = convert(merge_settings(BASE_SETTINGS, scenario.fleet.settings)).decisions
    return {request_class.name: request_class.aim_ms / 1000.0 for request_class in decisions.classes}


def summarize(scenario: Scenario, played: RunOutcome) -> Result:
    """Computes the result of a finished run."""
    ledger, target_s = played.ledger, target_latencies_s(scenario)
    # By id of the first try: that request, and whether any of its tries was served in time.
    first_tries: dict[str, tuple[Ask, bool]] = {}
    latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
    for ask in ledger.asks:
        latency_s = ask.ended_at - ask.meant_at
        in_time = ask.status == 200 and latency_s <= target_s[ask.cls]
        first_try, was_in_time = first_tries.get(ask.first, (ask, False))
        first_tries[ask.first] = (first_try, was_in_time or in_time)
        if ask.status == 200:
            latencies.record_value(min(max(int(latency_s * 1e6), 1), MAX_LATENCY_US))

    def share(start: float, end: float, sidecars: set[int]) -> tuple[float, int]:
        """Of the requests intended in [start, end): the share that was served in time, and their number."""
        in_time_flags = [
            in_time
            for ask, in_time in first_tries.values()
            if start <= ask.meant_at < end and ask.sidecar in sidecars
        ]
        return (sum(in_time_flags) / len(in_time_flags) if in_time_flags else -1.0), len(in_time_flags)

    all_sidecars = set(range(scenario.fleet.processes))
    windows = []
    for window in scenario.windows:
        served, asked = share(window.since, window.to, resolve_members(window.who, scenario)["sidecars"])
        windows.append(Share(window.name, served, asked, window.at_least))
    served, asked = share(-math.inf, math.inf, all_sidecars)
    later_tries = [ask for ask in ledger.asks if ask.first != ask.id]
    list_calls_by_second = Counter(int(at) for at, _ in ledger.list_calls)
    unsettled_count = sum(math.isinf(settled.took) for settled in played.settled)
    missed_windows = [measured for measured in windows if measured.served < measured.at_least]
    return Result(
        RESULT_VERSION,
        scenario.name,
        scenario.seed,
        not played.breaches and not unsettled_count and not missed_windows,
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
        max(list_calls_by_second.values(), default=0),
        ledger.datagrams,
        played.breaches,
        dict(Counter(breach.rule for breach in played.breaches)),
        windows,
        [
            msgspec.structs.replace(settled, took=-1.0) if math.isinf(settled.took) else settled
            for settled in played.settled
        ],
        unsettled_count,
        played.use,
        played.lag_s * 1000.0,
        [share(second, second + 1, all_sidecars)[0] for second in range(math.ceil(scenario.seconds))],
        [(event.at, event.text, event.who) for event in ledger.events if event.what == "fault"],
        {key: value for key, value in played.counters.items() if isinstance(value, int)},
        len(later_tries),
        sum(ask.status == 200 for ask in later_tries) / len(later_tries) if later_tries else -1.0,
        ledger.worst_cold_windows,
    )


def comparison_metrics(result: Result) -> dict[str, float]:
    """The metrics that are compared between runs, by their name in the tables."""
    metrics = {
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
        metrics |= {"came back": float(result.came_back), "served, of those": result.came_back_served}
    if result.cold:
        # N is the number of calls that the cold-start rule allows in a window.
        worst_calls, allowed = max(result.cold.values(), key=lambda window: limit_utilisation(*window))
        metrics["calls at a cold endpoint, in the worst window"] = worst_calls
        metrics["N then"] = allowed
        metrics["beyond N, in roots of N"] = excess_in_sqrt_units(worst_calls, allowed)
        limit_shares = [limit_utilisation(*window) for window in result.cold.values()]
        metrics["share of N and chance, worst"] = max(limit_shares)
        metrics["share of N and chance, median of the cold ones"] = median(limit_shares)
    metrics |= {f"served, {window.name}": window.served for window in result.windows}
    for index, settled in enumerate(result.settled):
        metrics[f"settled {index} ({settled.call}), s"] = settled.took
    metrics |= {
        "memory of the processes, MB": result.use.memory_mb,
        "CPU of the processes, s": result.use.cpu_s,
        "CPU of the bench, s": result.use.bench_cpu_s,
        "seconds until ready": result.use.ready_s,
        "bench at most late, ms": result.lag_ms,
    }
    return metrics


def table_rows(results: list[Result]) -> list[list[str]]:
    """A header and one row per metric, with a column per run.

    With several runs, columns for the minimum, median and maximum follow.
    """
    has_several_runs = len(results) > 1
    header = ["figure", *(f"seed {result.seed}" for result in results)]
    table = [header + (["least", "median", "most"] if has_several_runs else [])]
    metrics_by_run = [comparison_metrics(result) for result in results]
    for name in metrics_by_run[0]:
        values = [metrics.get(name, math.nan) for metrics in metrics_by_run]
        shown_values = values + ([min(values), median(values), max(values)] if has_several_runs else [])
        table.append([name, *(f"{value:.3f}".rstrip("0").rstrip(".") for value in shown_values)])
    verdicts = ["passed" if result.passed else "FAILED" for result in results]
    agreement = "same" if len(set(verdicts)) == 1 else "differs"
    table.append(["verdict", *verdicts, *([agreement, "", ""] if has_several_runs else [])])
    return table


def to_markdown(results: list[Result]) -> str:
    header, *body_rows = table_rows(results)
    lines = [
        f"# {results[0].scenario}",
        "",
        "The sidecars are real processes; endpoints, discovery and clients are simulated.",
        "",
    ]
    lines += [f"| {' | '.join(header)} |", "|" + " --- |" * len(header)]
    lines += [f"| {' | '.join(row)} |" for row in body_rows]
    lines += ["", "| at, s | fault | who |", "| --- | --- | --- |"]
    lines += [f"| {at:.2f} | {fault} | {who} |" for at, fault, who in results[0].faults]
    for result in results:
        if result.breaches:
            rules = ", ".join(f"{rule} {count}" for rule, count in sorted(result.by_rule.items()))
            lines += ["", f"Breaches with seed {result.seed} ({rules}):", ""]
            shown_breaches = result.breaches[:MAX_SHOWN_BREACHES]
            lines += [
                f"- {breach.at:.3f} s, {breach.rule}, {breach.who}: {breach.text}"
                for breach in shown_breaches
            ]
    return "\n".join(lines) + "\n"


def to_csv(results: list[Result]) -> str:
    buffer = io.StringIO()
    csv.writer(buffer, lineterminator="\n").writerows(table_rows(results))
    return buffer.getvalue()


def draw_chart(results: list[Result], path: Path) -> None:
    """Plots the served share per second as one line per run, and marks the faults.

    The suffix of the path selects SVG or PNG.
    """
    figure, axes = plt.subplots(figsize=(10, 4.2))
    for result in results:
        points = [(second + 0.5, share) for second, share in enumerate(result.seconds) if share >= 0.0]
        axes.plot(*zip(*points, strict=True), linewidth=1.2, label=f"seed {result.seed}")
    for settled_index, settled in enumerate(one for result in results for one in result.settled):
        agreement_steps = [
            *settled.course,
            *([(settled.at + settled.took, 1.0)] if settled.took >= 0.0 else []),
        ]
        label = "share of members that agree" if not settled_index else None
        axes.step(
            *zip(*agreement_steps, strict=True),
            where="post",
            color="0.4",
            linestyle="--",
            linewidth=0.9,
            label=label,
        )
    for index, (at, fault, who) in enumerate(results[0].faults):
        axes.axvline(at, color="0.6", linestyle=":", linewidth=1.0)
        axes.text(at, 0.02 + 0.07 * (index % 6), f" {fault} {who}", fontsize=7, color="0.3", clip_on=True)
    axes.set(
        xlabel="seconds",
        ylabel="share of intended requests served",
        ylim=(0.0, 1.02),
        title=results[0].scenario,
    )
    axes.set_xlim(0.0, max(len(result.seconds) for result in results))
    axes.legend(fontsize=7, loc="lower right")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def write_result(result: Result, folder: Path) -> None:
    """Writes the result file atomically, as the last file of a run. Raises OSError."""
    temporary_path = folder / f"{RESULT_FILE}.part"
    temporary_path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
    temporary_path.replace(folder / RESULT_FILE)


def read_result(path: Path) -> Result:
    """Reads a result file. Raises ValueError, with the path, if it holds no valid result."""
    try:
        result = msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(f"{path}: {error}") from None
    if result.version != RESULT_VERSION:
        raise ValueError(f"{path}: result has version {result.version}; expected {RESULT_VERSION}")
    return result


def write_tables(results: list[Result], folder: Path) -> None:
    """Writes the Markdown and CSV tables and the charts of these runs to the folder."""
    (folder / "report.md").write_text(to_markdown(results))
    (folder / "report.csv").write_text(to_csv(results))
    draw_chart(results, folder / "report.svg")
    draw_chart(results, folder / "report.png")

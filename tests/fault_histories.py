"""Random histories of joined faults for a small fleet of real sidecar processes.

`python -m tests.fault_histories FIRST COUNT` plays the histories of many seeds and prints what each broke.
"""

import math
import sys
from collections import Counter
from random import Random

from larkcrank.lab import bench
from larkcrank.lab.processes import ProcessError
from larkcrank.lab.rules import Breach
from larkcrank.lab.scenario import EndpointSettings, Fault, FleetSettings, LoadSettings, Scenario

SIDECARS, ENDPOINTS = 3, 6
HISTORY_S = 8.0
FAULTS_PER_HISTORY = (1, 4)
STRAY_DELAYS_MS = (0.0, 2.0, 10.0, 50.0, 80.0, 150.0, 300.0, 800.0)
STRAY_SHARES = (0.02, 0.1, 0.3)
STRAY_KINDS = ("copy", "other", "rejection")
OTHER_FAULTS = (
    "cut",
    "refuse",
    "slow",
    "lose",
    "narrow",
    "silence",
    "crowd",
    "drain",
    "replace",
    "kill endpoint",
    "kill sidecar",
    "end sidecar",
    "stop sidecar",
    "hush",
    "deny",
    "lag",
)


def stray_fault(answer: str, delay_ms: float, share: float, at: float = 0.0, last: float = math.inf) -> Fault:
    """Return a fault of all endpoints; it lasts until the end unless `last` (seconds) is shorter."""
    return Fault(at, "stray", ["endpoints"], answer=answer, delay_ms=delay_ms, share=share, last=last)  # type: ignore[arg-type]


def make_scenario(seed: int, faults: list[Fault], seconds: float = HISTORY_S, rate: float = 40.0) -> Scenario:
    """Return a fleet of a few sidecars and endpoints under the given faults."""
    return Scenario(
        name=f"history-{seed}",
        seconds=seconds,
        seed=seed,
        fleet=FleetSettings(SIDECARS, zones=["a", "b"]),
        endpoints=EndpointSettings(ENDPOINTS, service_ms=40.0, spread="exponential", handshake_ms=3.0),
        load=LoadSettings(rate, {"look": 4.0, "order": 4.0, "pay": 1.0, "step": 1.0}, subjects=30, repeats=1),
        faults=faults,
    )


def draw_faults(rng: Random) -> list[Fault]:
    """Draw stray answers of one or two kinds and some other faults beside them."""
    faults = [
        stray_fault(
            answer, rng.choice(STRAY_DELAYS_MS), rng.choice(STRAY_SHARES), round(rng.uniform(0, 3), 2)
        )
        for answer in rng.sample(STRAY_KINDS, rng.choice((1, 1, 2)))
    ]
    faults += [_draw_other_fault(rng) for _ in range(rng.randint(*FAULTS_PER_HISTORY))]
    return faults


def _draw_other_fault(rng: Random) -> Fault:
    kind = rng.choice(OTHER_FAULTS)
    at, last = round(rng.uniform(0.5, HISTORY_S - 3.0), 2), round(rng.uniform(0.3, 2.5), 2)
    endpoint, sidecar = f"endpoints:{rng.randrange(ENDPOINTS)}", f"sidecars:{rng.randrange(SIDECARS)}"
    match kind:
        case "cut" | "refuse":
            return Fault(at, kind, between=[[sidecar], [endpoint]], last=last)
        case "slow":
            delay_ms = rng.choice((5.0, 20.0, 60.0))
            return Fault(
                at, kind, between=[["sidecars"], [endpoint]], last=last, delay_ms=delay_ms, jitter_ms=10.0
            )
        case "lose":
            return Fault(at, kind, between=[["sidecars"], [endpoint]], last=last, share=0.1)
        case "narrow":
            return Fault(at, kind, between=[[sidecar], ["endpoints"]], last=last, bytes_per_s=20_000.0)
        case "silence" | "drain":
            return Fault(at, kind, [endpoint], last=last)
        case "crowd":
            return Fault(at, kind, [endpoint], last=last, times=6.0)
        case "replace":
            return Fault(at, kind, [endpoint], address=rng.choice(("same", "new")))
        case "kill endpoint":
            return Fault(at, "kill", [endpoint], last=last)
        case "kill sidecar" | "end sidecar" | "stop sidecar":
            return Fault(at, kind.partition(" ")[0], [sidecar], last=last)
        case "lag":
            return Fault(at, kind, ["discovery"], last=last, by=1.0)
    return Fault(at, kind, ["discovery"], last=last)


def play(scenario: Scenario) -> bench.RunOutcome:
    return bench.run_scenario(scenario, lambda _: None)


def broken_rules(breaches: list[Breach]) -> Counter[str]:
    return Counter(breach.rule for breach in breaches)


def main() -> None:
    first, count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, first + count):
        scenario = make_scenario(seed, draw_faults(Random(seed)))
        described = ", ".join(
            f"{fault.what} {fault.answer} {fault.delay_ms:g} ms {fault.share:g}"
            if fault.what == "stray"
            else fault.what
            for fault in scenario.faults
        )
        try:
            outcome = play(scenario)
        except (ProcessError, bench.BenchError) as error:
            print(f"{seed}: {described}: {error!r}", flush=True)
            continue
        asks = outcome.ledger.asks
        served = sum(ask.status == 200 for ask in asks) / len(asks)
        counters = {name: outcome.counters.get(name) for name in ("connects", "reuses", "crashed")}
        print(
            f"{seed}: {described}: {dict(broken_rules(outcome.breaches))} served {served:.3f} {counters}",
            flush=True,
        )
        for breach in outcome.breaches[:6]:
            print(f"    {breach.at:.3f} {breach.rule} {breach.who}: {breach.text}", flush=True)


if __name__ == "__main__":
    main()

"""`make bench`: runs measurements, prints their tables and saves them as JSON."""

import argparse
from pathlib import Path

from . import calls, decisions, fleets, idle, policies, rates, slottable, unequal
from .results import Row, format_table, save_results

PARTS = {
    "decisions": lambda seed: decisions.measure_decisions(),
    "policies": policies.measure_policies,
    "owners": policies.measure_owner_counts,
    "unequal": unequal.measure_unequal_engines,
    "teams": policies.measure_team_policies,
    "sizes": policies.measure_large_requests,
    "slots": lambda seed: slottable.measure_slot_table(seed),
    "rates": rates.measure_rate_limits,
    "calls": lambda seed: calls.measure_calls(),
    "harm": lambda seed: (
        row
        for shape in fleets.DEPLOYMENT_SHAPES
        for row in fleets.measure_batch_interference(shape)
    ),
    "fairness": lambda seed: (
        row
        for shape in fleets.DEPLOYMENT_SHAPES
        for row in fleets.measure_fairness(shape)
    ),
    "refusals": lambda seed: (
        row
        for shape in fleets.DEPLOYMENT_SHAPES
        for row in fleets.measure_refusals(shape)
    ),
    "relay": lambda seed: fleets.measure_relay_overhead(),
    "control": lambda seed: fleets.measure_idle_cost(),
    "idle": lambda seed: idle.measure_idle_daemons(),
}


def main() -> None:
    """Run the parts given on the command line, by default all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", help=f"of {', '.join(PARTS)}")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", default="build/bench.json")
    args = parser.parse_args()
    rows: list[Row] = []
    for part in args.parts or PARTS:
        print(f"\n## {part}\n", flush=True)
        part_rows = list(PARTS[part](args.seed))
        print(format_table(part_rows), flush=True)
        rows += part_rows
    save_results(rows, Path(args.out), args.seed)


if __name__ == "__main__":
    main()

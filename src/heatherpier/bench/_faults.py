"""Runs seeded fault plans and prints each violated guarantee."""

from heatherpier.bench._fault_run import FaultRun, run_seed


def run_faults(*, first: int, count: int) -> int:
    """Runs ``count`` seeds from ``first`` and returns how many of them failed."""
    runs = [_run_and_print(seed) for seed in range(first, first + count)]
    failed = [run.seed for run in runs if run.failed()]
    print(
        f"{count} seeds from {first}: "
        f"{sum(run.acknowledged for run in runs)} writes acknowledged, "
        f"{sum(run.not_run for run in runs)} not run, "
        f"{sum(run.unknown for run in runs)} unknown; "
        f"{sum(len(run.violations) for run in runs)} broken promises, "
        f"{sum(not run.recovered for run in runs)} runs without writes at the end"
    )
    if failed:
        print(f"failed seeds: {failed}")
    return len(failed)


def _run_and_print(seed: int) -> FaultRun:
    run = run_seed(seed)
    if not run.failed():
        return run
    print(f"seed {seed} FAILED; replay: heatherpier bench faults --seed={seed}")
    for fault in run.plan:
        end_s = fault.at_s + fault.duration_s
        print(
            f"  {fault.at_s:6.3f} to {end_s:6.3f} s  {fault.kind.value}, "
            f"number {fault.target + 1}, size {fault.size:.2f}"
        )
    for item in run.violations:
        print(f"  VIOLATION {item.fault.value}: {item.facts}")
    if not run.recovered:
        print("  no write is served after the last fault")
    return run
